package quota

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// minChange is the relative difference from its target up to which a host's share is
	// left as it is, so that noise in the demand moves no shares.
	minChange = 0.125
	// quorumTime is the time, in addition to the interval of reports, in which at least
	// half of the known hosts must report.
	quorumTime = 2 * time.Second
	// shortTime is the time after a grant that falls short of its target by more than
	// minChange for which all other hosts' shares are lowered to their targets. It
	// exceeds the longest time between two reports of a host.
	shortTime = 6 * time.Second
	// baseDemand is added to the demand of each host, in thousandths of a request per
	// second, but no more than maxBaseFraction of the mean demand of the hosts. A host with
	// the whole demand then still gets three quarters of the limit, which exceeds the
	// typical demand of 1/1.6 of the limit.
	baseDemand      = 1000
	maxBaseFraction = 0.6
	// A first share is at most the part of what is free that a host needs for
	// firstShareRate requests per second, so that all hosts to which a tenant turns within
	// a short time get one, but up to 1/minFirstShares for tenants with a small limit.
	firstShareRate = 10
	minFirstShares = 4
	// firstReports is the time after the first report about a tenant within which most
	// hosts with demand report. Until then the demand of the others is unknown, and a share
	// rises by no more than a first share.
	firstReports = time.Second
	// targetSum is the part of the limit that is handed out by demand. The rest stays free
	// for hosts that are new to a tenant: it may take until the next reports of the others
	// before these give back a part of theirs.
	targetSum = Whole / 20 * 19
)

// reservation is what the coordinator knows about one tenant at one host.
type reservation struct {
	demand uint32
	// share and bonus are reserved: the largest of what the host has confirmed and what
	// was granted since. confirmed is the bonus that the host has confirmed.
	share, bonus, confirmed Parts
	// active is set while the host counts towards the demand of the tenant.
	active   bool
	sequence uint64 // of the latest report that named the tenant
}

// hostState is what the coordinator knows about one host.
type hostState struct {
	incarnation  mesh.Incarnation
	sequence     uint64
	seenAt       mesh.Time // time of the latest report
	reservations map[ID]*reservation
}

// tenantState holds the sums over all hosts for one tenant.
type tenantState struct {
	id           ID
	since        mesh.Time // time of the first report about the tenant
	demand       uint64    // of the active hosts
	active       int
	share, bonus Parts // reserved
	// shortUntil is the time until which some host counts as short of its target.
	shortUntil mesh.Time
	// cooling is the bonus released in the current epoch and in the one before. An epoch
	// lasts one window. A bonus that was released may have been spent in the same window
	// in which another host's bucket starts with it, so it is not granted again before
	// the window has passed.
	cooling [2]Parts
	epoch   int64
	// pool holds the tokens of the part of the limit that no host holds. A rise of a share
	// takes its part of them along.
	pool bucket
}

// Coordinator grants the shares during one term. It is not safe for concurrent use. Its
// memory is bounded by the number of hosts that have reported within reservationTime
// times the number of tenants of each.
type Coordinator struct {
	bounds  Bounds
	limits  map[ID]catalog.Quota
	term    uint64
	beganAt mesh.Time
	// settled is set once shares may be granted beyond those that hosts report.
	settled bool
	stopsAt mesh.Time
	hosts   map[mesh.HostID]*hostState
	tenants map[ID]*tenantState
	holders int // hosts that are expected to hold shares
	// quorumLost is set if at least half of the known hosts have reported in a time of
	// quorumTime before, and fewer in the latest.
	quorumLost, quorumSeen bool
}

// NewCoordinator returns a coordinator without a term.
func NewCoordinator(bounds Bounds) *Coordinator {
	return &Coordinator{bounds: bounds, limits: make(map[ID]catalog.Quota), holders: 1}
}

// Configure sets the limits of all tenants.
func (c *Coordinator) Configure(tenants []catalog.Tenant) {
	clear(c.limits)
	for i := range tenants {
		if t := &tenants[i]; t.Quota.Limited() {
			c.limits[IDOf(t.Name)] = c.bounds.enforced(t.Quota)
		}
	}
}

// BeginTerm begins a term at now. All reservations of earlier terms are forgotten. The
// first term of a deployment has no predecessor whose shares it has to wait for.
func (c *Coordinator) BeginTerm(now mesh.Time, term uint64, stopsAt mesh.Time) {
	c.term, c.beganAt, c.settled, c.stopsAt = term, now, term == 1, stopsAt
	c.quorumLost, c.quorumSeen = false, false
	c.hosts, c.tenants = make(map[mesh.HostID]*hostState), make(map[ID]*tenantState)
}

// Renew sets the time at which the coordinator stops granting.
func (c *Coordinator) Renew(stopsAt mesh.Time) { c.stopsAt = max(c.stopsAt, stopsAt) }

// EndTerm ends the term and releases its memory.
func (c *Coordinator) EndTerm() {
	c.term, c.settled, c.stopsAt, c.hosts, c.tenants = 0, false, 0, nil, nil
}

// StopsAt returns the time from which the coordinator grants nothing.
func (c *Coordinator) StopsAt() mesh.Time { return c.stopsAt }

// Term returns the current term, zero for none.
func (c *Coordinator) Term() uint64 { return c.term }

// Settled reports whether shares are granted beyond those that hosts report.
func (c *Coordinator) Settled() bool { return c.settled }

// Tick forgets hosts that have not reported for reservationTime. The list of the hosts that
// may hold shares decides when a new term may grant more than the hosts report: once each of
// them has reported, or after reservationTime. hosts is the number of all known hosts, of which
// half must report.
func (c *Coordinator) Tick(now mesh.Time, known []mesh.HostID, holders, hosts int) {
	if c.term == 0 {
		return
	}
	c.holders = max(holders, 1)
	heard, since := 0, now.Add(-scaled(reportInterval, hosts)-quorumTime)
	for host, h := range c.hosts {
		if h.seenAt >= since {
			heard++
		}
		if now.Sub(h.seenAt) > reservationTime {
			c.forget(now, h)
			delete(c.hosts, host)
		}
	}
	for id, t := range c.tenants {
		if t.cool(now, c.bounds.Window, 0); t.unused() {
			delete(c.tenants, id)
		}
	}
	quorum := 2*heard >= hosts
	c.quorumSeen = c.quorumSeen || quorum
	c.quorumLost = c.quorumSeen && !quorum
	if c.settled {
		return
	}
	c.settled = now.Sub(c.beganAt) >= reservationTime || c.allReported(known)
}

// QuorumLost reports whether more than half of the known hosts have ceased to report. A
// coordinator that is cut off from them leaves its lease to another one. One that never
// heard of half of the hosts doesn't, because the others may have stopped.
func (c *Coordinator) QuorumLost() bool { return c.quorumLost }

func (c *Coordinator) allReported(known []mesh.HostID) bool {
	for _, host := range known {
		if c.hosts[host] == nil {
			return false
		}
	}
	return true
}

// forget releases all reservations of a host.
func (c *Coordinator) forget(now mesh.Time, h *hostState) {
	for id, r := range h.reservations {
		t := c.tenants[id]
		t.deactivate(r)
		c.reserve(now, t, r, 0, 0, r.bonus)
	}
	h.reservations = make(map[ID]*reservation)
}

// reserve changes a reservation. used is the bonus that the host may have used; what it
// exceeds the new bonus by cools down.
func (c *Coordinator) reserve(now mesh.Time, t *tenantState, r *reservation, share, bonus, used Parts) {
	t.advancePool(now, c.limits[t.id], c.bounds.granted())
	if used > bonus {
		t.cool(now, c.bounds.Window, used-bonus)
	}
	t.share += share - r.share
	t.bonus += bonus - r.bonus
	r.share, r.bonus, r.confirmed = share, bonus, bonus
}

// cool adds a released bonus and ends the cooling of those released at least a window ago.
func (t *tenantState) cool(now mesh.Time, window time.Duration, released Parts) {
	switch epoch := int64(now) / int64(window); epoch - t.epoch {
	case 0:
	case 1:
		t.cooling, t.epoch = [2]Parts{0, t.cooling[0]}, epoch
	default:
		t.cooling, t.epoch = [2]Parts{}, epoch
	}
	t.cooling[0] += released
}

func (t *tenantState) unused() bool {
	return t.active == 0 && t.share == 0 && t.bonus == 0 && t.cooling == [2]Parts{}
}

func (t *tenantState) freeBonus() Parts { return Whole - min(Whole, t.bonus+t.cooling[0]+t.cooling[1]) }

func (t *tenantState) freeShare() Parts { return Whole - min(Whole, t.share) }

func (t *tenantState) activate(r *reservation) {
	if !r.active {
		r.active = true
		t.active++
		t.demand += uint64(r.demand)
	}
}

func (t *tenantState) deactivate(r *reservation) {
	if r.active {
		r.active = false
		t.active--
		t.demand -= uint64(r.demand)
	}
}

// HandleReport records the report of a host and returns the answer. The answer grants
// nothing after StopsAt, to a report that came out of order, and to one of another term:
// a host may have got shares of an earlier term after a report that was sent before it
// knew the current one.
func (c *Coordinator) HandleReport(now mesh.Time, r *Report) Grant {
	if c.term == 0 || now >= c.stopsAt || r.Term != c.term || len(r.Entries) > maxEntries {
		return Grant{}
	}
	h := c.hosts[r.Host]
	if h == nil {
		h = &hostState{incarnation: r.Incarnation, reservations: make(map[ID]*reservation)}
		c.hosts[r.Host] = h
	}
	if r.Incarnation < h.incarnation || r.Incarnation == h.incarnation && r.Sequence <= h.sequence {
		return Grant{}
	}
	if r.Incarnation > h.incarnation {
		c.forget(now, h)
		h.incarnation = r.Incarnation
	}
	// Within this time, a host that demands a share but doesn't report the one of the last
	// grant never had it.
	recent := now.Sub(h.seenAt) < shareValidity-time.Second
	h.sequence, h.seenAt = r.Sequence, now
	g := Grant{Term: c.term, Sequence: r.Sequence, Shares: make([]TenantGrant, 0, len(r.Entries))}
	for i := range r.Entries {
		c.confirm(now, h, &r.Entries[i], recent)
	}
	for id, res := range h.reservations {
		if res.sequence != h.sequence {
			c.confirm(now, h, &Entry{Tenant: id}, false)
			delete(h.reservations, id)
		}
	}
	for i := range r.Entries {
		id := r.Entries[i].Tenant
		tg, changes := c.grant(now, id, c.tenants[id], h.reservations[id])
		g.Shares, g.Soon = append(g.Shares, tg), g.Soon || changes
	}
	return g
}

// confirm records what a host holds and demands for one tenant.
func (c *Coordinator) confirm(now mesh.Time, h *hostState, e *Entry, recent bool) {
	t, r := c.tenants[e.Tenant], h.reservations[e.Tenant]
	if t == nil {
		t = &tenantState{id: e.Tenant, since: now, epoch: int64(now) / int64(c.bounds.Window), pool: bucket{at: c.beganAt}}
		if c.term == 1 { // no host has used any tokens yet
			t.pool.level = c.bounds.granted() * c.limits[e.Tenant].Burst
		} else if now.Sub(c.beganAt) < c.bounds.Window {
			t.cooling[0] = Whole // the hosts may have spent the bonus of an earlier term
		}
		c.tenants[e.Tenant] = t
	}
	if r == nil {
		r = &reservation{}
		h.reservations[e.Tenant] = r
	}
	share, bonus := min(e.Share, Whole), min(e.Bonus, Whole)
	if e.LeftMillis == 0 {
		share, bonus = 0, 0
	}
	used := r.bonus
	if recent {
		used = r.confirmed
	}
	c.reserve(now, t, r, share, bonus, used)
	r.sequence = h.sequence
	t.deactivate(r)
	r.demand = e.Demand
	if r.demand == 0 {
		return
	}
	t.activate(r)
}

// target returns the share of an active host. Shares are proportional to the demand, to
// which up to baseDemand is added for each host: the moving average of a demand of a few
// requests a second varies by a third by chance.
func (t *tenantState) target(r *reservation) Parts {
	base := min(baseDemand, uint64(maxBaseFraction*float64(t.demand)/float64(t.active)))
	total := t.demand + uint64(t.active)*base
	return max(1, Parts(uint64(targetSum)*(uint64(r.demand)+base)/max(total, 1)))
}

// grant returns the new share of a host and reserves it. changes is set if the host has to
// confirm a lower share before another host gets the rest, or if it is to get more.
func (c *Coordinator) grant(now mesh.Time, id ID, t *tenantState, r *reservation) (g TenantGrant, changes bool) {
	limit, limited := c.limits[id]
	if !c.settled || !limited {
		return TenantGrant{Tenant: id, Share: r.share, Bonus: r.bonus}, false
	}
	if !r.active {
		return TenantGrant{Tenant: id}, r.share > 0 || r.demand > 0
	}
	target := t.target(r)
	share := r.share
	switch free := t.freeShare(); {
	case r.share == 0:
		share = min(target, free/c.firstShares(limit))
		if share == 0 {
			t.shortUntil = now.Add(shortTime)
			return TenantGrant{Tenant: id}, true
		}
	case target > r.share:
		// What is free goes to the hosts that are short of their target first.
		if now >= t.shortUntil || target-r.share > slightly(target) {
			if now.Sub(t.since) < firstReports {
				free /= c.firstShares(limit)
			}
			share = min(target, r.share+free)
		}
	case now < t.shortUntil || r.share-target > slightly(r.share):
		share = target
	}
	bonus := c.bonusOf(t, r, limit)
	g = TenantGrant{Tenant: id, Share: share, Bonus: bonus}
	short := target > share && target-share > slightly(target)
	if short {
		t.shortUntil = now.Add(shortTime)
	}
	changes = short || share < r.share
	if share > r.share {
		g.Tokens = t.takeTokens(now, share-r.share, limit, c.bounds.granted())
	}
	t.share += max(share, r.share) - r.share
	t.bonus += max(bonus, r.bonus) - r.bonus
	r.share, r.bonus = max(share, r.share), max(bonus, r.bonus)
	return g, changes
}

// advancePool refills the pool until now. It precedes each change of the reserved shares.
func (t *tenantState) advancePool(now mesh.Time, limit catalog.Quota, granted float64) {
	free := t.freeShare()
	t.pool.advance(now, free.of(granted*limit.RatePerSecond), free.of(granted*limit.Burst))
}

// takeTokens removes the tokens of a part of the limit from the pool and returns them, in
// thousandths.
func (t *tenantState) takeTokens(now mesh.Time, part Parts, limit catalog.Quota, granted float64) uint32 {
	t.advancePool(now, limit, granted)
	thousandths := math.Floor(t.pool.level * 1000 * float64(part) / float64(max(t.freeShare(), 1)))
	t.pool.level = max(t.pool.level-thousandths/1000, 0)
	return uint32(min(thousandths, math.MaxUint32))
}

// firstShares returns the number of hosts that a tenant is expected to turn to.
func (c *Coordinator) firstShares(limit catalog.Quota) Parts {
	return Parts(max(minFirstShares, min(limit.RatePerSecond/firstShareRate, float64(c.holders))))
}

// bonusOf returns the new bonus of a host. Half of the bonus of a tenant is divided among
// the hosts with a share. The rest is for hosts that are new to the tenant, whose buckets
// start with one token, while a later rise of a bonus adds none. Without a free token a
// host starts with an empty bucket.
func (c *Coordinator) bonusOf(t *tenantState, r *reservation, limit catalog.Quota) Parts {
	oneToken, free := oneTokenOf(c.bounds.bonus(limit)), t.freeBonus()
	if r.bonus == 0 {
		if oneToken > free {
			return 0
		}
		return oneToken
	}
	return min(max(oneToken, Whole/2/Parts(max(t.active, 1))), r.bonus+free)
}

// slightly returns the difference from a share that is left as it is.
func slightly(p Parts) Parts { return Parts(minChange * float64(p)) }

// oneTokenOf returns the fraction of the bonus that makes one token.
func oneTokenOf(bonus float64) Parts {
	if bonus <= 1 {
		return Whole
	}
	return Parts(float64(Whole)/bonus) + 1
}
