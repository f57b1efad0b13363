// Package placement chooses the instance for each attempt of a request by the
// time in which it is expected to answer. It answers the load of services whose
// instances differ in speed by more than two times and are shared by many
// nodes: each node learns the speed and the failures of an instance from
// answers, and the slots in use from the gates. It is a pure reducer: time and
// random seeds are arguments.
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
	// loadLifetime is the time over which a reported load fades. Without fading,
	// an instance last seen full would not be asked again.
	loadLifetime = time.Second
	// speedLifetime is the time over which a learned speed fades, so that an
	// instance that was slow is tried again.
	speedLifetime = 6 * time.Second
	// failureLifetime is the same for learned failures.
	failureLifetime = 4 * time.Second
	// sampleWeight is the weight of a new sample of speed, failureWeight that of
	// a success or failure.
	sampleWeight  = 0.15
	failureWeight = 0.15
	// fullLifetime is the time over which the share of full gates fades, so that
	// gates are asked for free slots again once a burst is over. fullWeight is the
	// weight of a new sample.
	fullLifetime = time.Second
	fullWeight   = 0.1
	// routeWeight is the weight of a new sample in a route's averages.
	routeWeight = 0.03
	// defaultDuration is the expected duration of a request on a route without
	// answers.
	defaultDuration = 60 * time.Millisecond
	// domainDelay is the cost of leaving the failure domain for a small answer: the
	// round trip and the headers between the nodes.
	domainDelay = 15 * time.Millisecond
	// awayPart is the part of the time to the target that a request waits in its own
	// failure domain rather than leave it. An answer within its target is as good to
	// the caller as an earlier one, and links between domains are scarce.
	awayPart = 0.15
	// domainByteTime is the time that a request waits for an instance of its own
	// failure domain rather than carry a byte of its answer between domains,
	// where bytes are the scarcest resource: 2.5 milliseconds for a kilobyte.
	domainByteTime = 2500 * time.Nanosecond
	// maxDomainDelay bounds the cost of leaving the failure domain. Large answers
	// have targets of 300 milliseconds and more.
	maxDomainDelay = 220 * time.Millisecond
	// failureCost is the number of durations that a failure costs a request that
	// can be repeated, onceFailureCost one that cannot.
	failureCost     = 4
	onceFailureCost = 12
	// chanceDeviations is the number of standard deviations by which an instance must
	// fail more than its service.
	chanceDeviations = 2
	// coldFactor is the ratio of durations of an instance in its cold start.
	coldFactor = 2
	// noise is the random part of the expected time. It keeps nodes from choosing
	// the same instance at the same moment.
	noise = 0.12
	// drainPause is the time without requests to an instance whose gate drains.
	drainPause = time.Second
)

// Need describes a request to be placed.
type Need struct {
	Service    mesh.Service
	Route      mesh.Route
	Idempotent bool
	// Left is the time to the target of the route. It may be over.
	Left time.Duration
	// Excluded lists the instances that are not asked.
	Excluded []mesh.InstanceID
}

// Choice is the target of an attempt. It is given back to Done exactly once.
type Choice struct {
	routing.Instance
	// Found is false if no instance can be asked.
	Found bool
	// Full is set if the instance seems to have no free slot.
	Full bool

	state *instance
	route mesh.Route
}

// Result is the end of an attempt.
type Result struct {
	// Served is set if the instance ran the request to its end, Failed if that
	// failed, if the answer was lost or if the instance refused the request.
	Served bool
	Failed bool
	// Draining is set if the gate takes no new request.
	Draining bool
	// Probed is set if the gate was asked for a free slot only, Full if it had none.
	Probed, Full bool
	// Duration is the time that the instance took, Bytes the size of the answer;
	// both are valid when Served is set and Failed is not.
	Duration time.Duration
	Bytes    int
	// Backlog is the time that large answers wait for the host's link, valid when
	// HasLoad is set.
	Backlog time.Duration
	// Load is the gate's load, valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
}

// average is an exponentially weighted moving average that returns to a neutral
// value while it gets no samples. A lifetime of zero keeps it.
type average struct {
	neutral  float64
	lifetime time.Duration
	value    float64
	samples  int
	at       mesh.Time // of the last sample
}

func (a *average) add(now mesh.Time, v, weight float64) {
	a.value = a.get(now)
	a.samples++
	// The first samples are averaged evenly, so that none dominates.
	a.value += (v - a.value) * max(weight, 1/float64(a.samples))
	a.at = now
}

// get returns the average at a time.
func (a *average) get(now mesh.Time) float64 {
	switch {
	case a.samples == 0:
		return a.neutral
	case a.lifetime == 0:
		return a.value
	}
	return a.neutral + (a.value-a.neutral)*max(0, 1-float64(now.Sub(a.at))/float64(a.lifetime))
}

// instance is what a node knows of an instance.
type instance struct {
	routing.Instance
	inFlight   int // requests of this node
	others     float64
	backlog    time.Duration
	reportedAt mesh.Time
	slowness   average // duration relative to the route's mean
	failures   average // share of failures
	avoidUntil mesh.Time
}

func newInstance() *instance {
	return &instance{
		slowness: average{neutral: 1, lifetime: speedLifetime},
		failures: average{lifetime: failureLifetime},
	}
}

// load estimates the requests at the instance, those of other nodes by the last
// report.
func (i *instance) load(now mesh.Time) float64 {
	return float64(i.inFlight) + i.others*i.freshness(now)
}

// freshness falls from one to zero over the lifetime of a report.
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
	domain    mesh.FailureDomain
	instances map[mesh.InstanceID]*instance
	services  map[mesh.Service]*service
	routes    map[mesh.Route]*route
	busy      map[mesh.Service]*average // durations over all routes
	failing   map[mesh.Service]*average // share of failures over all instances
}

type service struct {
	shares routing.Shares
	all    []*instance // that take requests, sorted by ID
	// full is the share of gates that had no free slot when they were asked for one.
	full average
}

// New returns a Table for a node of the given failure domain.
func New(domain mesh.FailureDomain) *Table {
	return &Table{
		domain: domain, instances: make(map[mesh.InstanceID]*instance), services: make(map[mesh.Service]*service),
		routes: make(map[mesh.Route]*route), busy: make(map[mesh.Service]*average), failing: make(map[mesh.Service]*average),
	}
}

// SetInstances replaces the table of instances. What was learned of instances
// that remain is kept.
func (t *Table) SetInstances(all []routing.Instance) {
	old := t.instances
	t.instances = make(map[mesh.InstanceID]*instance, len(all))
	for _, s := range t.services {
		s.all = s.all[:0]
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
			s.all = append(s.all, inst)
		}
	}
}

// SetShares replaces the shares of a service's versions.
func (t *Table) SetShares(s routing.Shares) { t.service(s.Service).shares = s }

func (t *Table) service(name mesh.Service) *service {
	s := t.services[name]
	if s == nil {
		s = &service{full: average{lifetime: fullLifetime}}
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

// Choose returns the instance that is expected to answer first. It is counted
// as in use until Done.
func (t *Table) Choose(now mesh.Time, seed uint64, need Need) Choice {
	s := t.services[need.Service]
	if s == nil {
		return Choice{}
	}
	source := random.New(seed)
	version, any := s.draw(&source)
	best := t.fastest(now, &source, s, &need, func(i *instance) bool { return any || i.Version == version })
	if best == nil && !any {
		best = t.fastest(now, &source, s, &need, s.fallback)
	}
	if best == nil {
		return Choice{}
	}
	full := best.load(now) >= float64(best.Slots)
	best.inFlight++
	return Choice{Instance: best.Instance, Found: true, Full: full, state: best, route: need.Route}
}

// draw returns the version of the next request, or any if all may serve it.
func (s *service) draw(r *random.Source) (version mesh.BackendVersion, any bool) {
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

// fallback reports whether an instance is of the version that takes the
// requests of one without usable instances.
func (s *service) fallback(i *instance) bool {
	return s.shares.Fallback != "" && i.Version == s.shares.Fallback
}

func (t *Table) fastest(now mesh.Time, source *random.Source, s *service, need *Need, usable func(*instance) bool) *instance {
	var best *instance
	least := 0.0
	for _, inst := range s.all {
		if !usable(inst) || now < inst.avoidUntil || slices.Contains(need.Excluded, inst.ID) {
			continue
		}
		expected := t.expected(now, inst, need) * (1 + noise*source.Fraction())
		if best == nil || expected < least {
			best, least = inst, expected
		}
	}
	return best
}

// expected returns the time in nanoseconds in which an instance is expected to
// answer, with what leaving the failure domain and a likely failure cost.
func (t *Table) expected(now mesh.Time, inst *instance, need *Need) float64 {
	r := t.route(need.Route)
	typical := r.duration.get(now)
	speed := inst.slowness.get(now)
	if inst.cold(now) {
		speed = max(speed, coldFactor)
	}
	queued := max(0, inst.load(now)+1-float64(inst.Slots))
	wait := queued / float64(inst.Slots) * t.meanBusy(now, inst.Service) * speed
	factor := float64(failureCost)
	if !need.Idempotent {
		factor = onceFailureCost
	}
	// A failure that all instances share, such as one of a service further on, is
	// no reason to leave the nearest for another.
	failure := max(0, inst.failures.get(now)-t.sharedFailures(now, inst.Service)) * factor * typical
	link := 0.0
	if egress.Large(int(r.bytes.value)) {
		link = float64(inst.backlog) * inst.freshness(now)
	}
	return wait + typical*speed + failure + link + t.away(inst, r, need)
}

// away returns the cost of leaving the failure domain for an answer of a route.
func (t *Table) away(inst *instance, r *route, need *Need) float64 {
	if inst.Domain == t.domain {
		return 0
	}
	carried := min(float64(domainDelay)+r.bytes.value*float64(domainByteTime), float64(maxDomainDelay))
	return max(carried, awayPart*float64(need.Left))
}

// sharedFailures returns the share of failures that tells nothing about a single
// instance: the mean over the service and what averages vary by chance.
func (t *Table) sharedFailures(now mesh.Time, name mesh.Service) float64 {
	a := t.failing[name]
	if a == nil {
		return 0
	}
	mean := min(max(a.get(now), 0), 1)
	return mean + chanceDeviations*math.Sqrt(mean*(1-mean)*failureWeight/(2-failureWeight))
}

// meanBusy returns the mean duration of the requests of a service.
func (t *Table) meanBusy(now mesh.Time, name mesh.Service) float64 {
	if a := t.busy[name]; a != nil {
		return a.get(now)
	}
	return float64(defaultDuration)
}

func (i *instance) cold(now mesh.Time) bool {
	return i.FirstAnnounced != 0 && now.Sub(i.FirstAnnounced) < i.Ramp
}

// Probes returns the number of gates that a request asks for a free slot before it
// accepts to wait, at most the given number. While nearly all gates are full a
// question costs the bytes of the request and finds nothing, and a gate with a free
// slot takes a request that may wait at once too.
func (t *Table) Probes(now mesh.Time, seed uint64, name mesh.Service, most int) int {
	source := random.New(seed)
	return int(float64(most)*(1-t.service(name).full.get(now)) + source.Fraction())
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
		t.service(inst.Service).full.add(now, full, fullWeight)
	}
	inst.inFlight = max(0, inst.inFlight-1)
	if res.HasLoad {
		inst.others = max(0, float64(int(res.Load.InUse)+int(res.Load.Queued)-inst.inFlight))
		inst.reportedAt, inst.backlog = now, res.Backlog
	}
	if res.Draining {
		inst.avoidUntil = now.Add(drainPause)
	}
	if !res.Served && !res.Failed {
		return
	}
	failed := 0.0
	if res.Failed {
		failed = 1
	}
	inst.failures.add(now, failed, failureWeight)
	failing := t.failing[inst.Service]
	if failing == nil {
		failing = &average{lifetime: failureLifetime}
		t.failing[inst.Service] = failing
	}
	failing.add(now, failed, routeWeight)
	if !res.Failed {
		t.learn(now, inst, c.route, res)
	}
}

// learn takes in the duration of a good answer.
func (t *Table) learn(now mesh.Time, inst *instance, name mesh.Route, res Result) {
	r := t.route(name)
	d := float64(res.Duration)
	r.duration.add(now, d, routeWeight)
	r.bytes.add(now, float64(res.Bytes), routeWeight)
	busy := t.busy[inst.Service]
	if busy == nil {
		busy = &average{neutral: float64(defaultDuration)}
		t.busy[inst.Service] = busy
	}
	busy.add(now, d, routeWeight)
	inst.slowness.add(now, d/max(r.duration.value, 1), sampleWeight)
}
