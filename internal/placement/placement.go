// Package placement chooses, for each attempt of a request, the instance with the
// shortest expected time to answer. It is designed for services whose instances differ
// in speed by more than a factor of two and are shared by many nodes: each node learns
// the speed and the failures of an instance from its answers, and the slots in use from
// load reports of the gates. It is deterministic and does no I/O: time and random seeds
// are arguments.
package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/egress"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

const (
	// loadLifetime is the time over which the weight of a reported load falls linearly
	// from one to zero. Otherwise an instance whose last report was full would never be
	// chosen again.
	loadLifetime = time.Second
	// slownessLifetime is the time over which the learned slowness of an instance
	// returns to neutral without new samples, so that a slow instance is tried again.
	slownessLifetime = 6 * time.Second
	// failureLifetime is the time over which the learned share of failures of an instance
	// or service returns to zero without new samples.
	failureLifetime = 4 * time.Second
	// slownessWeight is the weight of a new sample of slowness, failureWeight that of a
	// success or failure.
	slownessWeight = 0.15
	failureWeight  = 0.15
	// fullShareLifetime is the time over which the share of full gates returns to zero
	// without new samples, so that gates are probed for free slots again once a burst is
	// over. fullShareWeight is the weight of a new sample.
	fullShareLifetime = time.Second
	fullShareWeight   = 0.1
	// routeWeight is the weight of a new sample in the averages over all instances: the
	// duration and size of a route's answers, and the duration and failures of a service's
	// requests.
	routeWeight = 0.03
	// defaultDuration is the expected duration of a request on a route that has had no
	// answers yet.
	defaultDuration = 60 * time.Millisecond
	// crossDomainDelay is the cost, as a time, of leaving the failure domain for a small
	// answer: the round trip and the headers between the nodes.
	crossDomainDelay = 15 * time.Millisecond
	// crossDomainTargetFraction is the least cost of leaving the failure domain, as a
	// fraction of the time to the latency target. An instance in the node's own domain is
	// preferred if it is expected to answer later by no more than this. An answer within
	// the target is as good to the caller as an earlier one, and bandwidth between domains
	// is scarce.
	crossDomainTargetFraction = 0.15
	// crossDomainByteDelay is the cost per byte of the answer, which is added to
	// crossDomainDelay: 2.5 milliseconds per kilobyte. Bandwidth between domains is the
	// scarcest resource.
	crossDomainByteDelay = 2500 * time.Nanosecond
	// maxCrossDomainDelay bounds the sum of crossDomainDelay and the cost of the answer's
	// bytes. Routes with large answers have latency targets of 300 milliseconds and more.
	maxCrossDomainDelay = 220 * time.Millisecond
	// failureCost is the cost of a failure, in mean durations of the route, for an
	// idempotent request, and nonIdempotentFailureCost the cost for any other request.
	// expectedTime multiplies it by the instance's share of failures beyond that of its
	// service.
	failureCost              = 4
	nonIdempotentFailureCost = 12
	// failureDeviations is the number of standard deviations by which the failure share
	// of an instance must exceed that of its service before the excess counts.
	failureDeviations = 2
	// coldStartSlowness is the least slowness, relative to the mean duration of the
	// route, that is assumed for an instance during its cold start, which lasts for
	// routing.Instance.Ramp after its first announcement.
	coldStartSlowness = 2
	// maxRandomIncrease is the upper bound of a random increase of the expected time, as a
	// fraction of that time. It keeps nodes from choosing the same instance at the same
	// moment.
	maxRandomIncrease = 0.12
	// drainBackoff is the time for which an instance isn't chosen after its gate reported
	// that it drains.
	drainBackoff = time.Second
)

// Request describes a request to be placed.
type Request struct {
	Service    mesh.Service
	Route      mesh.Route
	Idempotent bool
	// TimeToTarget is the time until the latency target of the route, negative if it has
	// passed.
	TimeToTarget time.Duration
	// Work is the predicted work of the request as a multiple of the mean of its route.
	// Zero stands for the mean.
	Work float64
	// Excluded lists the instances that must not be chosen.
	Excluded []mesh.InstanceID
}

// Choice is the target of an attempt. The caller passes it to Done exactly once.
type Choice struct {
	routing.Instance
	// Found is false if there is no usable instance.
	Found bool
	// Full is set if the instance has no free slot by the estimate of its load.
	Full bool

	state *instance
	route mesh.Route
	work  float64 // as a multiple of the mean of the route
}

// Result is the end of an attempt.
type Result struct {
	// Served is set if the instance ran the request to its end. Failed is set if the
	// answer reports a failure, if it was lost or if the instance itself, not its gate,
	// refused the request.
	Served bool
	Failed bool
	// Draining is set if the gate accepts no new requests.
	Draining bool
	// Probed is set if the request was not allowed to queue at the gate. Full is set if
	// the gate had no free slot.
	Probed, Full bool
	// Duration is the time that the attempt took without its wait for a slot. Bytes is
	// the size of the answer. Both are valid when Served is set and Failed is not.
	Duration time.Duration
	Bytes    int
	// Backlog is the time for which a large answer currently waits for the network link
	// of the instance's host, valid when HasLoad is set.
	Backlog time.Duration
	// Load is the gate's load, valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
	// StartsIn is the time after which the gate expects a request that arrives now to
	// start, valid when HasStartsIn is set.
	StartsIn    time.Duration
	HasStartsIn bool
}

// average is an exponentially weighted moving average that returns linearly to a neutral
// value, within its lifetime, while it gets no samples. With a lifetime of zero it
// keeps its value.
type average struct {
	neutral   float64
	lifetime  time.Duration
	value     float64
	samples   int
	sampledAt mesh.Time // time of the last sample
}

func (a *average) add(now mesh.Time, v, weight float64) {
	a.value = a.valueAt(now)
	a.samples++
	// The first samples have equal weight, so that none dominates.
	a.value += (v - a.value) * max(weight, 1/float64(a.samples))
	a.sampledAt = now
}

// valueAt returns the average at a time.
func (a *average) valueAt(now mesh.Time) float64 {
	switch {
	case a.samples == 0:
		return a.neutral
	case a.lifetime == 0:
		return a.value
	}
	return a.neutral + (a.value-a.neutral)*max(0, 1-float64(now.Sub(a.sampledAt))/float64(a.lifetime))
}

// instance holds what this node has learned about an instance.
type instance struct {
	routing.Instance
	inFlight int // requests that this node has sent
	// otherRequests is the number of requests of other nodes at the instance, running or
	// queued, and backlog the wait of large answers, both from the load report of
	// reportedAt.
	otherRequests float64
	backlog       time.Duration
	reportedAt    mesh.Time
	// startsIn is the time after which a request was expected to start, valid if
	// hasStartsIn is set, and freeSlots the number of free slots, both as of reportedAt.
	// sentSince counts the requests that this node has sent since then.
	startsIn    time.Duration
	hasStartsIn bool
	freeSlots   int
	sentSince   int
	slowness    average // duration relative to the mean of the route over all instances
	failures    average // share of failures
	avoidUntil  mesh.Time
}

func newInstance() *instance {
	return &instance{
		slowness: average{neutral: 1, lifetime: slownessLifetime},
		failures: average{lifetime: failureLifetime},
	}
}

// load estimates the number of requests at the instance. Those of other nodes are taken
// from the last load report, with a weight that falls with its age.
func (i *instance) load(now mesh.Time) float64 {
	return float64(i.inFlight) + i.otherRequests*i.freshness(now)
}

// freshness is the weight of the last load report. It falls from one to zero over
// loadLifetime.
func (i *instance) freshness(now mesh.Time) float64 {
	return max(0, 1-float64(now.Sub(i.reportedAt))/float64(loadLifetime))
}

// route holds the averages over all instances for one route.
type route struct {
	duration average // nanoseconds
	bytes    average
}

// Table is the placement state of one node. It is not safe for concurrent use.
type Table struct {
	domain           mesh.FailureDomain
	instances        map[mesh.InstanceID]*instance
	services         map[mesh.Service]*service
	routes           map[mesh.Route]*route
	serviceDurations map[mesh.Service]*average // durations over all routes
	serviceFailures  map[mesh.Service]*average // share of failures over all instances
}

type service struct {
	shares routing.Shares
	usable []*instance // reachable and not draining, sorted by ID
	// fullShare is the share of probed gates that had no free slot.
	fullShare average
}

// New returns a Table for a node of the given failure domain.
func New(domain mesh.FailureDomain) *Table {
	return &Table{
		domain: domain, instances: make(map[mesh.InstanceID]*instance), services: make(map[mesh.Service]*service),
		routes: make(map[mesh.Route]*route), serviceDurations: make(map[mesh.Service]*average), serviceFailures: make(map[mesh.Service]*average),
	}
}

// SetInstances replaces the table of instances. What was learned about instances that
// remain is kept.
func (t *Table) SetInstances(all []routing.Instance) {
	old := t.instances
	t.instances = make(map[mesh.InstanceID]*instance, len(all))
	for _, s := range t.services {
		s.usable = s.usable[:0]
	}
	sorted := slices.SortedStableFunc(slices.Values(all), func(a, b routing.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, info := range sorted {
		if t.instances[info.ID] != nil {
			continue
		}
		inst := old[info.ID]
		if inst == nil || inst.Host != info.Host || inst.Service != info.Service || info.FirstAnnounced > inst.FirstAnnounced {
			inst = newInstance()
		}
		inst.Instance = info
		inst.Slots = max(1, info.Slots)
		t.instances[info.ID] = inst
		if !info.Draining && info.Reachable {
			s := t.service(info.Service)
			s.usable = append(s.usable, inst)
		}
	}
}

// SetShares replaces the shares of a service's versions.
func (t *Table) SetShares(s routing.Shares) { t.service(s.Service).shares = s }

func (t *Table) service(name mesh.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{fullShare: average{lifetime: fullShareLifetime}}
		t.services[name] = s
	}
	return s
}

func (t *Table) route(name mesh.Route) *route {
	r := t.routes[name]
	if r == nil {
		r = &route{duration: average{neutral: float64(defaultDuration)}}
		t.routes[name] = r
	}
	return r
}

// Choose draws a version and returns its instance with the shortest expected time, which
// includes the costs that expectedTime adds. The request counts as in flight at the
// instance until Done.
func (t *Table) Choose(now mesh.Time, seed uint64, req Request) Choice {
	s := t.services[req.Service]
	if s == nil {
		return Choice{}
	}
	source := random.New(seed)
	version, any := s.drawVersion(&source)
	best := t.fastest(now, &source, s, &req, func(i *instance) bool { return any || i.Version == version })
	if best == nil && !any {
		best = t.fastest(now, &source, s, &req, s.isFallback)
	}
	if best == nil {
		return Choice{}
	}
	full := best.load(now) >= float64(best.Slots)
	best.inFlight++
	best.sentSince++
	return Choice{Instance: best.Instance, Found: true, Full: full, state: best, route: req.Route, work: cmp.Or(req.Work, 1)}
}

// drawVersion returns a random version for the next request in proportion to the
// versions' shares. any is set if no shares are set and all versions may serve it.
func (s *service) drawVersion(r *random.Source) (version mesh.BackendVersion, any bool) {
	if len(s.shares.Versions) == 0 {
		return "", true
	}
	total := 0
	for _, v := range s.shares.Versions {
		total += int(v.Share)
	}
	if total == 0 {
		return s.shares.Fallback, false
	}
	at := r.Below(total)
	for _, v := range s.shares.Versions {
		if at -= int(v.Share); at < 0 {
			return v.Version, false
		}
	}
	return s.shares.Fallback, false
}

// isFallback reports whether an instance is of the fallback version, which gets the
// requests of a version without usable instances.
func (s *service) isFallback(i *instance) bool {
	return s.shares.Fallback != "" && i.Version == s.shares.Fallback
}

// fastest returns the instance with the shortest expected time, after a random increase,
// among the eligible ones that are neither excluded nor avoided, or nil if there is none.
func (t *Table) fastest(now mesh.Time, source *random.Source, s *service, req *Request, eligible func(*instance) bool) *instance {
	var best *instance
	bestTime := 0.0
	for _, inst := range s.usable {
		if !eligible(inst) || now < inst.avoidUntil || slices.Contains(req.Excluded, inst.ID) {
			continue
		}
		expected := t.expectedTime(now, inst, req) * (1 + maxRandomIncrease*source.Fraction())
		if best == nil || expected < bestTime {
			best, bestTime = inst, expected
		}
	}
	return best
}

// expectedTime returns the time in nanoseconds in which an instance is expected to
// answer, plus the costs of leaving the failure domain and of a likely failure.
func (t *Table) expectedTime(now mesh.Time, inst *instance, req *Request) float64 {
	r := t.route(req.Route)
	typical := r.duration.valueAt(now) * cmp.Or(req.Work, 1)
	slowness := inst.slowness.valueAt(now)
	if inst.inColdStart(now) {
		slowness = max(slowness, coldStartSlowness)
	}
	wait := t.expectedWait(now, inst, slowness)
	factor := float64(failureCost)
	if !req.Idempotent {
		factor = nonIdempotentFailureCost
	}
	// Failures that all instances share, such as those of a service further down the
	// call chain, are no reason to prefer another instance.
	failure := max(0, inst.failures.valueAt(now)-t.sharedFailureShare(now, inst.Service)) * factor * typical
	link := 0.0
	if egress.Large(int(r.bytes.value)) {
		link = float64(inst.backlog) * inst.freshness(now)
	}
	return wait + typical*slowness + failure + link + t.crossDomainCost(inst, r, req)
}

// crossDomainCost returns the cost, in nanoseconds, of leaving the failure domain for
// an answer of a route. It is zero for an instance of the node's own domain.
func (t *Table) crossDomainCost(inst *instance, r *route, req *Request) float64 {
	if inst.Domain == t.domain {
		return 0
	}
	transfer := min(float64(crossDomainDelay)+r.bytes.value*float64(crossDomainByteDelay), float64(maxCrossDomainDelay))
	return max(transfer, crossDomainTargetFraction*float64(req.TimeToTarget))
}

// sharedFailureShare returns the share of failures up to which the failures of an
// instance are not attributed to that instance: the mean over the service plus the
// random variation of such an average.
func (t *Table) sharedFailureShare(now mesh.Time, name mesh.Service) float64 {
	a := t.serviceFailures[name]
	if a == nil {
		return 0
	}
	mean := min(max(a.valueAt(now), 0), 1)
	return mean + failureDeviations*math.Sqrt(mean*(1-mean)*failureWeight/(2-failureWeight))
}

// meanServiceDuration returns the mean duration of the requests of a service over all
// its routes.
func (t *Table) meanServiceDuration(now mesh.Time, name mesh.Service) float64 {
	if a := t.serviceDurations[name]; a != nil {
		return a.valueAt(now)
	}
	return float64(defaultDuration)
}

func (i *instance) inColdStart(now mesh.Time) bool {
	return i.FirstAnnounced != 0 && now.Sub(i.FirstAnnounced) < i.Ramp
}

// ProbeCount returns the number of gates that a request probes for a free slot before it
// is sent with permission to queue. It is at most limit and falls as the share of full
// gates among recent probes rises: while nearly all gates are full, a probe costs the
// bytes of the request and finds no slot. Fewer probes delay no request at a gate with a
// free slot, because the gate runs a request that may queue at once.
func (t *Table) ProbeCount(now mesh.Time, seed uint64, name mesh.Service, limit int) int {
	source := random.New(seed)
	return int(float64(limit)*(1-t.service(name).fullShare.valueAt(now)) + source.Fraction())
}

// Done records the end of an attempt.
func (t *Table) Done(now mesh.Time, c Choice, res Result) {
	inst := c.state
	if inst == nil {
		return
	}
	if res.Probed {
		full := 0.0
		if res.Full {
			full = 1
		}
		t.service(inst.Service).fullShare.add(now, full, fullShareWeight)
	}
	inst.inFlight = max(0, inst.inFlight-1)
	if res.HasLoad {
		inst.otherRequests = max(0, float64(int(res.Load.InUse)+int(res.Load.Queued)-inst.inFlight))
		inst.reportedAt, inst.backlog = now, res.Backlog
		inst.startsIn, inst.hasStartsIn = res.StartsIn, res.HasStartsIn
		inst.freeSlots, inst.sentSince = int(res.Load.Slots)-int(res.Load.InUse), 0
	}
	if res.Draining {
		inst.avoidUntil = now.Add(drainBackoff)
	}
	if !res.Served && !res.Failed {
		return
	}
	failed := 0.0
	if res.Failed {
		failed = 1
	}
	inst.failures.add(now, failed, failureWeight)
	serviceFailures := t.serviceFailures[inst.Service]
	if serviceFailures == nil {
		serviceFailures = &average{lifetime: failureLifetime}
		t.serviceFailures[inst.Service] = serviceFailures
	}
	serviceFailures.add(now, failed, routeWeight)
	if !res.Failed {
		t.learnDuration(now, inst, &c, res)
	}
}

// learnDuration adds the duration and size of a successful answer to the averages.
func (t *Table) learnDuration(now mesh.Time, inst *instance, c *Choice, res Result) {
	r := t.route(c.route)
	d := float64(res.Duration)
	r.duration.add(now, d, routeWeight)
	r.bytes.add(now, float64(res.Bytes), routeWeight)
	serviceDuration := t.serviceDurations[inst.Service]
	if serviceDuration == nil {
		serviceDuration = &average{neutral: float64(defaultDuration)}
		t.serviceDurations[inst.Service] = serviceDuration
	}
	serviceDuration.add(now, d, routeWeight)
	inst.slowness.add(now, d/max(r.duration.value*c.work, 1), slownessWeight)
}
