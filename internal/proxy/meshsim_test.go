package proxy

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// meshSimulation runs three services on the reducers of many nodes in virtual time. Runs
// of the front service call the back service through the node of their host, and those
// of the back service call the deep service. At the instances it counts the repeated
// arrivals, which the retry budget bounds.
type meshSimulation struct {
	*testing.T
	meshWorkload
	now    mesh.Time
	queue  eventQueue
	random *rand.Rand
	nextID mesh.CallID

	hosts           []*meshHost
	requests        map[mesh.CallID]*meshRequest // by call ID at the entry node
	runs            map[mesh.CallID]*meshRun     // by call ID at the gate
	arrivals        map[mesh.Service]*arrivalCounts
	clientRequests  map[string]int // requests of clients during the fault, by path
	clientSuccesses map[string]int
	instanceCrashes []mesh.Time
	observe         func(host int, out *Ready) // called after each step, nil for none
}

// meshWorkload describes a deployment, its traffic and its faults.
type meshWorkload struct {
	front, back, deep int // hosts of each service; deep may be zero
	// list, book and balance are the clients' requests per second on the routes of these
	// names.
	list, book, balance float64
	// callsPerList is the number of calls that a share callShare of the list requests
	// makes.
	callsPerList int
	callShare    float64
	// refuse and lose are, by service, the share of arrivals that instances refuse and
	// the share of runs whose answer is lost, while the fault lasts.
	refuse, lose         map[mesh.Service]float64
	faultStart, faultEnd time.Duration
	// restarts lists the hosts whose nodes are killed, by the time after the start.
	restarts map[time.Duration][]int
	// crashes lists the hosts whose instances crash for a reason of their own, by the time
	// after the start.
	crashes map[time.Duration][]int
	// identical lists the paths whose requests all have the hash given here. Requests
	// with the hash crashing crash each instance that runs them.
	identical map[string]mesh.RequestHash
	crashing  mesh.RequestHash
}

// meshHost is a host with its node, which is nil while it is down.
type meshHost struct {
	member Member
	node   *Node
	epoch  int // incremented when a process starts or ends
	// instanceDown is set while the instance is down after a crash. born counts its starts.
	instanceDown bool
	born         int64
}

// meshRequest is a request of a client, or a call of an instance, at its entry node.
type meshRequest struct {
	entry, epoch int
	service      mesh.Service
	hash         mesh.RequestHash
	arrivals     int
	// fromRepeat is set for a call of a run that is itself a repeat.
	fromRepeat bool
	failed     bool // the last answer reported a failure
	done       func(served bool)
}

// meshRun is an attempt at a gate.
type meshRun struct {
	request     *meshRequest
	call        mesh.CallID
	attempt     uint8
	gate, epoch int
	route       mesh.Route
	fingerprint mesh.Fingerprint
	suspicion   poison.Suspicion
	startedAt   mesh.Time // start at the instance
}

// arrivalCounts counts the arrivals at a service per countInterval. requests counts
// first attempts, unless a repeated run made the request; repeats counts all other
// arrivals at instances.
type arrivalCounts struct{ requests, repeats []int }

const (
	countInterval     = 100 * time.Millisecond
	frontWork         = 90 * time.Millisecond
	backWork          = 25 * time.Millisecond
	restartDelay      = 500 * time.Millisecond
	instanceDowntime  = 2 * time.Second
	slotsPerInstance  = 6
	windowIntervals   = int(10 * time.Second / countInterval)
	frontService      = mesh.Service("front")
	backService       = mesh.Service("back")
	deepService       = mesh.Service("deep")
	clientTimeout     = 1200 * time.Millisecond
	nestedCallTimeout = 250 * time.Millisecond

	crashNoticeDelay       = 20 * time.Millisecond
	poisonExchangeInterval = 500 * time.Millisecond
)

var simulationBudget = retry.WindowBudget{Ratio: 0.2, Extra: 64, Span: 10 * time.Second}

func meshSnapshot(t *testing.T) *catalog.Snapshot {
	t.Helper()
	to := func(s mesh.Service) []catalog.Destination { return []catalog.Destination{{Service: s, Weight: 1}} }
	snapshot, err := catalog.Build(1, []catalog.Route{
		{Name: "list", Host: "a", Prefix: "/list/", Idempotent: true, Timeout: time.Second, TargetLatency: 300 * ms, Attempts: 3, Rank: 2, Destinations: to(frontService)},
		{Name: "book", Host: "a", Prefix: "/book/", Timeout: time.Second, TargetLatency: 400 * ms, Attempts: 3, Rank: 1, Destinations: to(frontService)},
		{Name: "balance", Host: "a", Prefix: "/balance/", Idempotent: true, Timeout: 600 * ms, TargetLatency: 150 * ms, Attempts: 3, Rank: 1, Destinations: to(backService)},
		{Name: "stock", Host: "a", Prefix: "/stock/", Idempotent: true, Timeout: 250 * ms, TargetLatency: 100 * ms, Attempts: 3, Rank: 1, Destinations: to(backService)},
		{Name: "price", Host: "a", Prefix: "/price/", Idempotent: true, Timeout: 150 * ms, TargetLatency: 50 * ms, Attempts: 3, Rank: 1, Destinations: to(deepService)},
	}, []catalog.Service{{Name: frontService}, {Name: backService}, {Name: deepService}}, catalog.ClientLimits{})
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func newMeshSimulation(t *testing.T, seed uint64, workload meshWorkload) *meshSimulation {
	t.Helper()
	sim := &meshSimulation{
		T: t, meshWorkload: workload, now: start, random: rand.New(rand.NewPCG(seed, 1)),
		requests: make(map[mesh.CallID]*meshRequest), runs: make(map[mesh.CallID]*meshRun),
		arrivals:       map[mesh.Service]*arrivalCounts{frontService: {}, backService: {}, deepService: {}},
		clientRequests: make(map[string]int), clientSuccesses: make(map[string]int),
	}
	for i := range workload.front + workload.back + workload.deep {
		host := mesh.HostID(fmt.Sprintf("n%02d", i))
		m := remoteMember(host, mesh.InstanceID("i-"+host), 1)
		m.Instance.Slots, m.Instance.Service = slotsPerInstance, frontService
		switch {
		case i >= workload.front+workload.back:
			m.Instance.Service = deepService
		case i >= workload.front:
			m.Instance.Service = backService
		}
		sim.hosts = append(sim.hosts, &meshHost{member: m})
	}
	for i := range sim.hosts {
		sim.startNode(i)
	}
	return sim
}

// startNode starts a new process on a host. It gets the configuration and the members.
func (sim *meshSimulation) startNode(i int) {
	h := sim.hosts[i]
	h.epoch++
	h.member.Incarnation = mesh.Incarnation(h.epoch)
	h.node = New(sim.now, Settings{
		Host: h.member.Host, Domain: h.member.Domain, ForwardAddr: h.member.ForwardAddr, PeerAddr: h.member.PeerAddr,
		Service: h.member.Instance.Service, Incarnation: h.member.Incarnation, Repeats: simulationBudget,
	})
	sim.step(i, ConfigurationSeen{meshSnapshot(sim.T)})
	sim.step(i, InstanceReported{ID: h.member.Instance.ID, Service: h.member.Instance.Service, Version: "v1", Slots: slotsPerInstance, Sequence: 1})
	var members []Member
	for _, other := range sim.hosts {
		members = append(members, other.member)
	}
	sim.step(i, MembersSeen{Members: members})
	for j, other := range sim.hosts {
		if j != i && other.node != nil {
			sim.step(j, PeerSeen{Member: h.member})
		}
	}
}

// killNode ends the process of a host with all requests in progress, and starts another
// one after restartDelay.
func (sim *meshSimulation) killNode(i int) {
	h := sim.hosts[i]
	h.node, h.epoch = nil, h.epoch+1
	for id, run := range sim.runs {
		if run.gate == i {
			delete(sim.runs, id)
			sim.deliverResult(run, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, HostFailed: true})
		}
	}
	sim.after(restartDelay, func() { sim.startNode(i) })
}

// crashInstance ends the instance of a host with all its runs, and starts the next one
// after instanceDowntime. All nodes get a notice of the crash.
func (sim *meshSimulation) crashInstance(i int) {
	h := sim.hosts[i]
	if h.instanceDown {
		return
	}
	h.instanceDown = true
	h.born++
	sim.instanceCrashes = append(sim.instanceCrashes, sim.now)
	for _, id := range slices.Sorted(maps.Keys(sim.runs)) {
		if run := sim.runs[id]; run != nil && run.gate == i && run.startedAt != 0 {
			sim.endRun(id, GateDone{Result: GateLost, Down: true}, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
		}
	}
	sim.after(crashNoticeDelay, func() {
		entries := h.node.PoisonEntries(sim.now)
		for j := range sim.hosts {
			sim.step(j, PoisonSeen{entries})
		}
	})
	sim.after(instanceDowntime, func() {
		h.instanceDown = false
		sim.step(i, InstanceReported{ID: h.member.Instance.ID, Service: h.member.Instance.Service, Version: "v1", Slots: slotsPerInstance, Sequence: 1, Born: h.born})
	})
}

// exchangePoison lets each node hear from a random other one which requests are suspected.
func (sim *meshSimulation) exchangePoison() {
	for i := range sim.hosts {
		if peer := sim.hosts[sim.random.IntN(len(sim.hosts))].node; peer != nil {
			sim.step(i, PoisonSeen{peer.PoisonEntries(sim.now)})
		}
	}
	sim.after(poisonExchangeInterval, sim.exchangePoison)
}

func (sim *meshSimulation) after(d time.Duration, run func()) {
	heap.Push(&sim.queue, event{sim.now.Add(d), run})
}

// step applies one event to a node, if it is up, and executes its effects.
func (sim *meshSimulation) step(host int, ev Event) {
	if sim.hosts[host].node == nil {
		return
	}
	var out Ready
	sim.hosts[host].node.Step(sim.now, sim.random.Uint64(), ev, &out)
	for _, e := range out.Calls {
		sim.callEffect(e)
	}
	for _, e := range out.Gates {
		sim.gateEffect(e)
	}
	if sim.observe != nil {
		sim.observe(host, &out)
	}
}

func (sim *meshSimulation) callEffect(e CallEffect) {
	r := sim.requests[e.Call]
	if r == nil {
		return
	}
	if e.Action == CallForward {
		sim.forward(r, e)
		return
	}
	delete(sim.requests, e.Call)
	if r.done != nil {
		r.done(e.Action == CallRespond && !r.failed)
	}
}

func (sim *meshSimulation) forward(r *meshRequest, e CallEffect) {
	gate := 0
	for i, h := range sim.hosts {
		if h.member.Host == e.Host {
			gate = i
		}
	}
	sim.nextID++
	id := sim.nextID
	run := &meshRun{request: r, call: e.Call, attempt: e.Attempt, gate: gate, epoch: sim.hosts[gate].epoch, route: e.Route, fingerprint: e.Fingerprint, suspicion: e.Suspicion}
	if sim.hosts[gate].node == nil {
		sim.deliverResult(run, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
		return
	}
	sim.runs[id] = run
	sim.after(hopDelay, func() {
		if sim.runs[id] == nil {
			return
		}
		sim.step(gate, GateArrived{
			Call: id, Instance: e.Instance, Route: e.Route, Rank: e.Rank, TimeLeft: e.Deadline.Sub(sim.now),
			TimeToTarget: e.TimeToTarget - hopDelay, MayQueue: e.MayQueue, RepeatProbability: e.RepeatProbability,
			Fingerprint: e.Fingerprint, Suspicion: e.Suspicion,
		})
	})
}

func (sim *meshSimulation) gateEffect(e GateEffect) {
	run := sim.runs[e.Call]
	if run == nil {
		return
	}
	if e.Action == GateReject {
		delete(sim.runs, e.Call)
		sim.deliverResult(run, AttemptDone{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true, Suspicion: e.Suspicion})
		return
	}
	if sim.hosts[run.gate].instanceDown {
		sim.endRun(e.Call, GateDone{Result: GateNotSent, Down: true}, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost})
		return
	}
	r := run.request
	run.startedAt = sim.now
	r.arrivals++
	repeat := r.fromRepeat || r.arrivals > 1
	if repeat {
		sim.count(&sim.arrivals[r.service].repeats)
	}
	if sim.faultActive() && sim.random.Float64() < sim.refuse[r.service] {
		sim.endRun(e.Call, GateDone{Result: GateRefused}, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Reached: true})
		return
	}
	lost := sim.faultActive() && sim.random.Float64() < sim.lose[r.service]
	work := backWork
	if r.service == frontService {
		work = frontWork
	}
	sim.after(time.Duration(float64(work)*(0.5+sim.random.Float64())), func() {
		if r.hash == sim.crashing && sim.runs[e.Call] != nil {
			sim.crashInstance(run.gate)
		}
		sim.runCalls(e.Call, run, repeat, lost)
	})
}

// runCalls makes the calls of a run. The run's answer reports a failure unless all of
// them succeed.
func (sim *meshSimulation) runCalls(id mesh.CallID, run *meshRun, repeat, lost bool) {
	pending, succeeded := 0, true
	end := func() {
		if lost {
			sim.endRun(id, GateDone{Result: GateLost}, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
			return
		}
		sim.endRun(id, GateDone{Result: GateAnswered, Failed: !succeeded}, AttemptDone{Outcome: mesh.Answered, Failed: !succeeded, Reached: true, Bytes: 500})
	}
	path, service := "/stock/1", backService
	switch {
	case run.route == "list" && sim.random.Float64() < sim.callShare:
		pending = sim.callsPerList
	case run.request.service == backService && sim.deep > 0:
		pending, path, service = 1, "/price/1", deepService
	}
	if pending == 0 {
		end()
		return
	}
	for range pending {
		sim.arrive(run.gate, path, service, nestedCallTimeout, repeat, func(served bool) {
			pending--
			succeeded = succeeded && served
			if pending == 0 {
				end()
			}
		})
	}
}

// endRun reports the end of a run to its gate and to the entry node.
func (sim *meshSimulation) endRun(id mesh.CallID, gate GateDone, done AttemptDone) {
	run := sim.runs[id]
	if run == nil {
		return
	}
	delete(sim.runs, id)
	gate.Call, done.Duration = id, sim.now.Sub(run.startedAt)
	sim.step(run.gate, gate)
	if node := sim.hosts[run.gate].node; node != nil {
		done.Load, done.HasLoad = node.LocalLoad(), true
		if gate.Down || run.suspicion.Crashes > 0 {
			done.Suspicion = node.Suspicion(sim.now, run.fingerprint)
		}
	}
	sim.deliverResult(run, done)
}

func (sim *meshSimulation) deliverResult(run *meshRun, done AttemptDone) {
	done.Call, done.Attempt = run.call, run.attempt
	r := run.request
	r.failed = done.Failed
	sim.after(hopDelay, func() {
		if sim.hosts[r.entry].epoch == r.epoch {
			sim.step(r.entry, done)
		}
	})
}

// arrive sends a request to a node. The request fails if the node is down.
func (sim *meshSimulation) arrive(host int, path string, service mesh.Service, timeout time.Duration, fromRepeat bool, done func(bool)) {
	if !fromRepeat {
		sim.count(&sim.arrivals[service].requests)
	}
	if sim.hosts[host].node == nil {
		if done != nil {
			sim.after(hopDelay, func() { done(false) })
		}
		return
	}
	sim.nextID++
	id := sim.nextID
	hash, ok := sim.identical[path]
	if !ok {
		hash = mesh.RequestHash(id)
	}
	sim.requests[id] = &meshRequest{entry: host, epoch: sim.hosts[host].epoch, service: service, hash: hash, fromRepeat: fromRepeat, done: done}
	sim.step(host, CallArrived{Call: id, Host: "a", Path: path, Hash: hash, Budget: timeout})
}

func (sim *meshSimulation) faultActive() bool {
	t := sim.now.Sub(start)
	return t >= sim.faultStart && t < sim.faultEnd
}

// count adds one to the count of the current interval.
func (sim *meshSimulation) count(counts *[]int) {
	interval := int(sim.now.Sub(start) / countInterval)
	for len(*counts) <= interval {
		*counts = append(*counts, 0)
	}
	(*counts)[interval]++
}

// run simulates the workload for the given time.
func (sim *meshSimulation) run(length time.Duration) {
	sim.sendClientRequests(sim.list, "/list/1", frontService)
	sim.sendClientRequests(sim.book, "/book/1", frontService)
	sim.sendClientRequests(sim.balance, "/balance/1", backService)
	var tick func()
	tick = func() {
		for i := range sim.hosts {
			sim.step(i, Tick{})
		}
		sim.after(50*ms, tick)
	}
	sim.after(0, tick)
	sim.after(0, sim.exchangePoison)
	for at, hosts := range sim.crashes {
		for _, host := range hosts {
			sim.after(at, func() { sim.crashInstance(host) })
		}
	}
	for at, hosts := range sim.restarts {
		for _, host := range hosts {
			sim.after(at, func() { sim.killNode(host) })
		}
	}
	for end := start.Add(length); sim.now < end; {
		e := heap.Pop(&sim.queue).(event)
		sim.now = e.at
		e.run()
	}
}

// sendClientRequests sends requests of one route to random nodes at a mean rate.
func (sim *meshSimulation) sendClientRequests(perSecond float64, path string, service mesh.Service) {
	if perSecond == 0 {
		return
	}
	var next func()
	next = func() {
		faultActive := sim.faultActive()
		sim.arrive(sim.random.IntN(len(sim.hosts)), path, service, clientTimeout, false, func(served bool) {
			if faultActive {
				sim.clientRequests[path]++
			}
			if faultActive && served {
				sim.clientSuccesses[path]++
			}
		})
		sim.after(time.Duration(sim.random.ExpFloat64()*float64(time.Second)/perSecond), next)
	}
	sim.after(0, next)
}

// worstWindow returns the repeats of the window with the most repeats relative to what
// the budget allows for the window's requests. The number of requests is the largest of
// that window, the one half a window before it and the one a whole window before it.
func (c *arrivalCounts) worstWindow() (repeats int, allowed float64) {
	sum := func(counts []int, from int) int {
		total := 0
		for i := max(from, 0); i < min(from+windowIntervals, len(counts)); i++ {
			total += counts[i]
		}
		return total
	}
	allowed = simulationBudget.Extra
	for from := range c.repeats {
		requests := max(sum(c.requests, from), sum(c.requests, from-windowIntervals/2), sum(c.requests, from-windowIntervals))
		r, a := sum(c.repeats, from), simulationBudget.Ratio*float64(requests)+simulationBudget.Extra
		if float64(r)/a > float64(repeats)/allowed {
			repeats, allowed = r, a
		}
	}
	return repeats, allowed
}

// checkBudget fails the test if more repeats arrived at a service than its budget
// allows.
func (sim *meshSimulation) checkBudget() {
	sim.Helper()
	is := is.New(sim.T)
	for _, service := range []mesh.Service{frontService, backService, deepService} {
		repeats, allowed := sim.arrivals[service].worstWindow()
		sim.Logf("%s: %d repeated arrivals, %.0f allowed", service, repeats, allowed)
		is.True(float64(repeats) <= allowed)
	}
}

// logSuccessShares logs, by path, the share of client requests during the fault that
// succeeded.
func (sim *meshSimulation) logSuccessShares() {
	sim.Helper()
	for _, path := range slices.Sorted(maps.Keys(sim.clientRequests)) {
		sim.Logf("%s: %.3f succeeded", path, float64(sim.clientSuccesses[path])/float64(sim.clientRequests[path]))
	}
}

// defaultWorkload returns the traffic of a small deployment in which a list request
// makes two calls.
func defaultWorkload() meshWorkload {
	return meshWorkload{
		front: 10, back: 3, list: 250, book: 130, balance: 100, callsPerList: 2, callShare: 0.7,
		faultStart: 12 * time.Second, faultEnd: 26 * time.Second,
	}
}
