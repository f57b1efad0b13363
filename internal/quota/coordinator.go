package quota

import (
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
	maxBaseFraction = 0.3
	// bonusGrowthDelay is the time since the demand of the latest host began before which
	// no bonus grows, so that it is left for further hosts.
	bonusGrowthDelay = 6 * time.Second
	// firstBonusTokens bounds the bonus of a host that is new to a tenant. Its bucket
	// starts with these tokens, while a later rise of its bonus adds none.
	firstBonusTokens = 2
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
	demand       uint64 // of the active hosts
	active       int
	share, bonus Parts // reserved
	// shortUntil is the time until which some host counts as short of its target.
	shortUntil  mesh.Time
	activatedAt mesh.Time // time at which the latest host became active
	// cooling is the bonus released in the current epoch and in the one before. An epoch
	// lasts one window. A bonus that was released may have been spent in the same window
	// in which another host's bucket starts with it, so it is not granted again before
	// the window has passed.
	cooling [2]Parts
	epoch   int64
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
	known   int // known hosts
	// quorumLost is set if at least half of the known hosts have reported in a time of
	// quorumTime before, and fewer in the latest.
	quorumLost, quorumSeen bool
}

// NewCoordinator returns a coordinator without a term.
func NewCoordinator(bounds Bounds) *Coordinator {
	return &Coordinator{bounds: bounds, limits: make(map[ID]catalog.Quota), known: 1}
}

// Configure sets the limits of all tenants.
func (c *Coordinator) Configure(tenants []catalog.Tenant) {
	clear(c.limits)
	for i := range tenants {
		if t := &tenants[i]; t.Quota.Limited() {
			c.limits[IDOf(t.Name)] = t.Quota
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

// Tick forgets hosts that have not reported for reservationTime. The list of known hosts
// decides when a new term may grant more than the hosts report: once each of them has
// reported and the bonus of earlier terms has been spent for a window, or after
// reservationTime.
func (c *Coordinator) Tick(now mesh.Time, known []mesh.HostID) {
	if c.term == 0 {
		return
	}
	c.known = max(len(known), 1)
	heard, since := 0, now.Add(-scaled(reportInterval, c.known)-quorumTime)
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
	quorum := 2*heard >= c.known
	c.quorumSeen = c.quorumSeen || quorum
	c.quorumLost = c.quorumSeen && !quorum
	if c.settled {
		return
	}
	age := now.Sub(c.beganAt)
	c.settled = age >= reservationTime || age >= c.bounds.Window && c.allReported(known)
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
		t = &tenantState{epoch: int64(now) / int64(c.bounds.Window)}
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
	active := r.active
	t.deactivate(r)
	r.demand = e.Demand
	if r.demand == 0 {
		return
	}
	maxHolders := c.maxHolders(e.Tenant)
	// A host whose demand is below the average gives way if there are too many.
	surplus := t.active >= maxHolders && uint64(r.demand)*uint64(t.active) < t.demand
	if t.active < maxHolders || active && !surplus {
		t.activate(r)
		if !active {
			t.activatedAt = now
		}
	}
}

// maxHolders returns the number of hosts that may hold a share of a tenant: each of them
// gets a bonus of at least one token, and one more such bonus stays free.
func (c *Coordinator) maxHolders(id ID) int {
	return max(1, int(c.bounds.bonus(c.limits[id]))-1)
}

// target returns the share of an active host. Shares are proportional to the demand, to
// which up to baseDemand is added for each host: the moving average of a demand of a few
// requests a second varies by a third by chance.
func (t *tenantState) target(r *reservation) Parts {
	base := min(baseDemand, uint64(maxBaseFraction*float64(t.demand)/float64(t.active)))
	total := t.demand + uint64(t.active)*base
	return max(1, Parts(uint64(Whole)*(uint64(r.demand)+base)/max(total, 1)))
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
	share, bonus := r.share, r.bonus
	oneToken := oneTokenOf(c.bounds.bonus(limit))
	switch free, freeBonus := t.freeShare(), t.freeBonus(); {
	case r.share == 0:
		share = min(target, (free+1)/2)
		first := max(oneToken, min(firstBonusTokens*oneToken, Whole/Parts(c.known+1)))
		bonus = max(oneToken, min(first, freeBonus/2))
		if share == 0 || bonus > freeBonus {
			return TenantGrant{Tenant: id}, true
		}
	case target > r.share:
		// What is free goes to the hosts that are short of their target first.
		if now >= t.shortUntil || target-r.share > slightly(target) {
			share = min(target, r.share+free)
		}
	case now < t.shortUntil || r.share-target > slightly(r.share):
		share = target
	}
	if r.share > 0 {
		bonus = max(oneToken, Whole/Parts(t.active+1))
		if now.Sub(t.activatedAt) < bonusGrowthDelay {
			bonus = min(bonus, max(oneToken, r.bonus))
		}
		bonus = min(bonus, r.bonus+t.freeBonus())
	}
	g = TenantGrant{Tenant: id, Share: share, Bonus: bonus}
	short := target > share && target-share > slightly(target)
	if short {
		t.shortUntil = now.Add(shortTime)
	}
	changes = short || share < r.share
	t.share += max(share, r.share) - r.share
	t.bonus += max(bonus, r.bonus) - r.bonus
	r.share, r.bonus = max(share, r.share), max(bonus, r.bonus)
	return g, changes
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
