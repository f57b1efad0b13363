package quota

import (
	"maps"
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// demandTime is the time constant of the moving average of a tenant's demand.
	demandTime = 8 * time.Second
	// minDemandTime is the least time that the average covers at the begin of a demand.
	minDemandTime = time.Second
	// idleRequests bounds the demand of a tenant without requests for some time to this
	// number divided by that time: a larger demand would cause a request in this time with
	// a probability of 95%.
	idleRequests = 3
	// minDemand is the demand in thousandths of a request per second below which a tenant
	// is left out of reports. One request decays to it within about 26 s.
	minDemand = 5
	// demandChange is the relative change of a tenant's demand that hastens the next
	// report. Changes of less than minDemandChange thousandths of a request per second
	// do not.
	demandChange    = 0.25
	minDemandChange = 500

	// reportInterval, shortInterval and urgentInterval are the times between reports in
	// general, if a share is to change, and if a tenant has no share. With more than
	// fullRateHosts hosts they grow in proportion up to maxReportInterval, which leaves a
	// share valid if one report is lost.
	reportInterval    = 3 * time.Second
	shortInterval     = time.Second
	urgentInterval    = 100 * time.Millisecond
	maxReportInterval = 5 * time.Second
	fullRateHosts     = 100
	// releaseTime is the time without requests after which a host gives up the share of a
	// tenant that it isn't responsible for.
	releaseTime = time.Second
	// answerTimeout is the time after which a report counts as lost.
	answerTimeout = 500 * time.Millisecond
)

// Verdict is the decision about a request.
type Verdict uint8

// Verdicts.
const (
	// Admitted means that the request may be sent. Its end must be reported by Refund or
	// Complete.
	Admitted Verdict = iota + 1
	// Refused means that the tenant exceeds its limit.
	Refused
	// Pending means that the host has no share yet and its floor is used up.
	Pending
)

// Decision is the answer of Admit.
type Decision struct {
	Verdict Verdict
	// Floor is set if the request was admitted by the floor.
	Floor bool
	// RetryAfter is the time until the bucket has a token, for a refused request.
	RetryAfter time.Duration
}

// Charge identifies the bucket that has admitted a request. The zero value stands for
// none.
type Charge struct {
	tenant mesh.Tenant
	floor  bool
}

// ChargeOf returns the charge of an admitted request.
func ChargeOf(tenant mesh.Tenant, d Decision) Charge { return Charge{tenant, d.Floor} }

// tenantBucket is the state of one limited tenant at this host.
type tenantBucket struct {
	id         ID
	configured catalog.Quota
	limit      catalog.Quota // enforced
	share      Parts
	base       float64 // fraction of the limit that the host holds without a grant
	bonus      Parts
	validUntil mesh.Time // of the share; zero if the host has none
	shared     bucket
	floor      bucket
	returns    bucket // tokens of other hosts that may be returned
	// queued is the number of requests that wait for a token.
	queued   float64
	queuedAt mesh.Time

	demand   float64 // moving average of requests per second at demandAt
	demandAt mesh.Time
	// activeSince is the time of the first request of the current demand, zero if there is
	// none, and requestAt that of the latest.
	activeSince, requestAt mesh.Time
	reported               uint32 // demand in the latest report
	// denied is set if the latest answer gave no share although demand was reported.
	denied bool
}

// Limiter admits the requests of limited tenants at one host. It is not safe for
// concurrent use. Its memory is bounded by the number of tenants.
type Limiter struct {
	host        mesh.HostID
	incarnation mesh.Incarnation
	bounds      Bounds
	hosts       int // known hosts, at least one
	started     mesh.Time
	tenants     map[mesh.Tenant]*tenantBucket
	byID        map[ID][]*tenantBucket

	term     uint64 // highest known term
	sequence uint64
	sentAt   mesh.Time // time of the latest report, zero for none
	answered bool      // the latest report was answered by a coordinator
	// answeredAt is the time of the latest answer of a coordinator.
	answeredAt mesh.Time
	soon       bool      // a share is to change
	urgent     bool      // a request waits for a first share
	notAfter   mesh.Time // latest time of the next report as set by Expedite, zero for none
}

// NewLimiter returns a limiter without shares.
func NewLimiter(now mesh.Time, host mesh.HostID, incarnation mesh.Incarnation, bounds Bounds) *Limiter {
	return &Limiter{host: host, incarnation: incarnation, bounds: bounds, hosts: 1, started: now,
		tenants: make(map[mesh.Tenant]*tenantBucket), byID: make(map[ID][]*tenantBucket)}
}

// SetHosts sets the number of known hosts, including this one.
func (l *Limiter) SetHosts(hosts int) { l.hosts = max(hosts, 1) }

// Configure sets the limits of all tenants. A lower limit takes effect immediately.
func (l *Limiter) Configure(now mesh.Time, tenants []catalog.Tenant) {
	limited := make(map[mesh.Tenant]bool, len(tenants))
	for i := range tenants {
		if t := &tenants[i]; t.Quota.Limited() {
			limited[t.Name] = true
			l.tenant(now, t.Name, t.Quota)
		}
	}
	maps.DeleteFunc(l.tenants, func(name mesh.Tenant, _ *tenantBucket) bool { return !limited[name] })
	clear(l.byID)
	for _, t := range l.tenants {
		l.byID[t.id] = append(l.byID[t.id], t)
	}
}

// tenant returns the state of a tenant at the given time under the given limit.
func (l *Limiter) tenant(now mesh.Time, name mesh.Tenant, limit catalog.Quota) *tenantBucket {
	t := l.tenants[name]
	if t == nil {
		t = &tenantBucket{id: IDOf(name), configured: limit, limit: l.bounds.enforced(limit), demandAt: now, shared: bucket{at: now}, floor: bucket{at: l.started}}
		l.tenants[name] = t
		l.byID[t.id] = append(l.byID[t.id], t)
	}
	l.advance(now, t)
	if t.configured != limit {
		t.configured, t.limit = limit, l.bounds.enforced(limit)
		t.shared.clamp(l.capacity(t))
	}
	return t
}

// fraction returns the fraction of the limit that the host holds.
func (l *Limiter) fraction(t *tenantBucket) float64 { return t.share.of(l.bounds.granted()) + t.base }

// capacity returns the capacity of the bucket of the share.
func (l *Limiter) capacity(t *tenantBucket) float64 {
	return l.fraction(t)*t.limit.Burst + t.bonus.of(l.bounds.bonus(t.limit))
}

// floorPart returns this host's part of the floor in a window.
func (l *Limiter) floorPart(t *tenantBucket) float64 {
	return floorFraction * l.bounds.slack(t.limit) / float64(l.hosts)
}

// advance refills the buckets until now and ends a share that has expired.
func (l *Limiter) advance(now mesh.Time, t *tenantBucket) {
	if t.share > 0 {
		t.shared.advance(min(now, t.validUntil), l.fraction(t)*t.limit.RatePerSecond, l.capacity(t))
		if now >= t.validUntil {
			l.dropShare(now, t)
		}
	}
	if t.base > 0 {
		t.shared.advance(now, l.fraction(t)*t.limit.RatePerSecond, l.capacity(t))
	}
	half := l.floorPart(t) / 2
	t.floor.advance(now, half/l.bounds.Window.Seconds(), half)
	half = returnFraction * l.bounds.slack(t.limit) / 2
	t.returns.advance(now, half/l.bounds.Window.Seconds(), half)
}

func (l *Limiter) dropShare(now mesh.Time, t *tenantBucket) {
	t.share, t.bonus, t.validUntil = 0, 0, 0
	if t.base > 0 {
		t.shared.clamp(l.capacity(t))
		return
	}
	t.shared.restart(now, 0)
}

// SetBases sets for each tenant whether the host holds the base of its failure domain.
func (l *Limiter) SetBases(now mesh.Time, holds func(mesh.Tenant) bool) {
	for name, t := range l.tenants {
		base := 0.0
		if holds(name) {
			base = l.bounds.base()
		}
		if base == t.base {
			continue
		}
		l.advance(now, t)
		if t.base == 0 && t.share == 0 {
			t.shared.restart(now, 0)
		}
		t.base = base
		t.shared.clamp(l.capacity(t))
	}
}

// Admit decides on a request of a tenant with a limit.
func (l *Limiter) Admit(now mesh.Time, name mesh.Tenant, limit catalog.Quota) Decision {
	t := l.tenant(now, name, limit)
	t.decayDemand(now)
	t.demand += 1 / demandTime.Seconds()
	t.requestAt = now
	if t.activeSince == 0 {
		t.activeSince = now
	}
	return l.decide(now, t, false)
}

// Readmit decides again on a request that has waited since Admit.
func (l *Limiter) Readmit(now mesh.Time, name mesh.Tenant, limit catalog.Quota) Decision {
	return l.decide(now, l.tenant(now, name, limit), true)
}

func (l *Limiter) decide(now mesh.Time, t *tenantBucket, again bool) Decision {
	if l.fraction(t) > 0 {
		return l.decideByShare(now, t, again)
	}
	if t.floor.take() {
		return Decision{Verdict: Admitted, Floor: true}
	}
	l.urgent = l.urgent || !t.denied
	return Decision{Verdict: Pending}
}

// MaxWait is the longest time for which a refused request should wait for a token.
const MaxWait = 250 * time.Millisecond

// decideByShare admits a request if there is a token for it beside those for the requests
// that wait. Otherwise it returns the time until a token is expected. A request that finds
// it short enough waits too.
func (l *Limiter) decideByShare(now mesh.Time, t *tenantBucket, again bool) Decision {
	// Requests that wait may be cancelled, so their number decays. No more of them can be
	// served than get a token within MaxWait.
	t.queued *= math.Exp(-now.Sub(t.queuedAt).Seconds() / MaxWait.Seconds())
	t.queued = min(t.queued, l.fraction(t)*t.limit.RatePerSecond*MaxWait.Seconds())
	t.queuedAt = now
	ahead := t.queued
	if again {
		ahead = 0
	}
	if t.shared.level >= 1+ahead-rounding && t.shared.take() {
		if again {
			t.queued = max(t.queued-1, 0)
		}
		return Decision{Verdict: Admitted}
	}
	d := Decision{Verdict: Refused, RetryAfter: l.timeFor(t, 1-t.shared.level+ahead)}
	if !again && d.RetryAfter <= MaxWait {
		t.queued++
	}
	return d
}

// maxRetryAfter bounds the time that a refused client is asked to wait.
const maxRetryAfter = 30 * time.Second

// timeFor returns the time in which the bucket of the share gets the given number of tokens.
func (l *Limiter) timeFor(t *tenantBucket, tokens float64) time.Duration {
	seconds := tokens / (l.fraction(t) * t.limit.RatePerSecond)
	return min(max(time.Duration(math.Ceil(seconds*1000))*time.Millisecond, time.Millisecond), maxRetryAfter)
}

// Refund returns the token of a request that ended without having run.
func (l *Limiter) Refund(now mesh.Time, c Charge) {
	t := l.tenants[c.tenant]
	if t == nil {
		return
	}
	l.advance(now, t)
	t.bucketOf(c).refund()
}

// Return takes back tokens that another host was given and has not used. A returned token
// may exceed what the bucket would hold if it had never been taken, so their number in a
// window is bounded.
func (l *Limiter) Return(now mesh.Time, name mesh.Tenant, tokens int) {
	t := l.tenants[name]
	if t == nil {
		return
	}
	l.advance(now, t)
	accepted := min(float64(tokens), t.returns.level)
	t.returns.level -= accepted
	t.shared.level += accepted
	t.shared.clamp(l.capacity(t))
}

// Complete ends a request that has run or may have run.
func (l *Limiter) Complete(c Charge) {
	if t := l.tenants[c.tenant]; t != nil {
		t.bucketOf(c).complete()
	}
}

func (t *tenantBucket) bucketOf(c Charge) *bucket {
	if c.floor {
		return &t.floor
	}
	return &t.shared
}

func (t *tenantBucket) decayDemand(now mesh.Time) {
	if dt := now.Sub(t.demandAt); dt > 0 {
		t.demand *= math.Exp(-dt.Seconds() / demandTime.Seconds())
		t.demandAt = now
	}
}

// demandMillis returns the demand in thousandths of a request per second, zero if it is
// below minDemand. The average covers no time before the demand began, and it falls
// faster if the requests cease, so that a share follows a tenant that turns up elsewhere.
func (t *tenantBucket) demandMillis(now mesh.Time) uint32 {
	if t.activeSince == 0 {
		return 0
	}
	t.decayDemand(now)
	covered := max(now.Sub(t.activeSince), minDemandTime).Seconds()
	v := t.demand / (1 - math.Exp(-covered/demandTime.Seconds()))
	if idle := now.Sub(t.requestAt).Seconds(); idle > 0 {
		v = min(v, idleRequests/idle)
	}
	v = min(v*1000, math.MaxUint32/2)
	if v < minDemand {
		t.demand, t.activeSince = 0, 0
		return 0
	}
	return uint32(v)
}

// SeeTerm records that a term has begun. Grants of lower terms are ignored from now on.
func (l *Limiter) SeeTerm(term uint64) { l.term = max(l.term, term) }

// ApplyGrant applies the answer to the latest report. It reports whether it was applied.
func (l *Limiter) ApplyGrant(now mesh.Time, g *Grant) bool {
	if g.Term == 0 || g.Term < l.term || g.Sequence != l.sequence || l.answered {
		return false
	}
	l.term, l.answered, l.answeredAt, l.soon = g.Term, true, now, g.Soon
	validUntil := l.sentAt.Add(shareValidity)
	if now >= validUntil {
		return false
	}
	for _, s := range g.Shares {
		for _, t := range l.byID[s.Tenant] {
			l.applyShare(now, t, s, validUntil)
		}
	}
	return true
}

func (l *Limiter) applyShare(now mesh.Time, t *tenantBucket, s TenantGrant, validUntil mesh.Time) {
	l.advance(now, t)
	if s.Share == 0 || s.Share > Whole || s.Bonus > Whole {
		t.denied = t.reported > 0
		if t.share > 0 {
			l.dropShare(now, t)
		}
		return
	}
	started := t.share == 0
	t.share, t.bonus, t.validUntil, t.denied = s.Share, s.Bonus, validUntil, false
	if started && t.base == 0 {
		t.shared.restart(now, 0)
	}
	if started {
		t.shared.level += t.bonus.of(l.bounds.bonus(t.limit))
	}
	// A larger share raises the capacity. Its tokens come with the grant, so that a share
	// that moves between hosts doesn't bring its burst twice.
	t.shared.level += float64(s.Tokens) / 1000
	t.shared.clamp(l.capacity(t))
}

// Release gives up the shares of the tenants that this host is no longer responsible for and
// that have had no request for releaseTime.
func (l *Limiter) Release(now mesh.Time, responsible func(mesh.Tenant) bool) {
	for name, t := range l.tenants {
		if t.share > 0 && now.Sub(t.requestAt) >= releaseTime && !responsible(name) {
			l.dropShare(now, t)
			t.demand, t.activeSince = 0, 0
		}
	}
}

// Status describes the limiter for logs and metrics.
type Status struct {
	Term   uint64
	Shares int // tenants for which the host holds a valid share
	// OnFloor is set if the host has had no answer for the validity of a share while it
	// had requests of limited tenants.
	OnFloor bool
}

// Status returns the status at the given time.
func (l *Limiter) Status(now mesh.Time) Status {
	s := Status{Term: l.term}
	demand := false
	for _, t := range l.tenants {
		if t.share > 0 && now < t.validUntil {
			s.Shares++
		}
		demand = demand || t.demandMillis(now) > 0
	}
	s.OnFloor = demand && s.Shares == 0 && now.Sub(max(l.answeredAt, l.started)) >= shareValidity
	return s
}
