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
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// meshPlay plays services on the reducers of many nodes in virtual time: runs of the
// front service call the back service through the node of their host, and those of
// the back service call the deep one. It counts, from what instances see, the arrivals that the retry budget bounds.
type meshPlay struct {
	*testing.T
	meshLoad
	now    mesh.Time
	queue  eventQueue
	random *rand.Rand
	nextID mesh.CallID

	hosts    []*meshHost
	requests map[mesh.CallID]*meshRequest // by their number at the entry node
	runs     map[mesh.CallID]*meshRun     // by their number at the gate
	arrivals map[mesh.Service]*arrivalCounts
	asked    map[string]int // clients' requests during the fault, by path
	served   map[string]int
}

// meshLoad is a deployment and its traffic.
type meshLoad struct {
	front, back, deep int // hosts of each service; deep may be zero
	// list, book and balance are the clients' requests a second.
	list, book, balance float64
	// calls is the number of calls that callShare of the lists make.
	calls     int
	callShare float64
	// refuse and lose are the shares of arrivals that instances refuse, and of
	// runs whose answer is lost, while the fault lasts.
	refuse, lose       map[mesh.Service]float64
	faultAt, faultEnds time.Duration
	// restarts names the hosts whose nodes are killed, by the time.
	restarts map[time.Duration][]int
}

// meshHost is a host with its node, which is nil while it is down.
type meshHost struct {
	member Member
	node   *Node
	epoch  int // counts the processes
}

// meshRequest is a request of a client or a call of an instance at its entry node.
type meshRequest struct {
	entry, epoch int
	service      mesh.Service
	arrivals     int
	// ofRepeat is set for a call of a run that is itself a repeat.
	ofRepeat bool
	failed   bool // the last answer stated a failure
	done     func(served bool)
}

// meshRun is an attempt at a gate.
type meshRun struct {
	request     *meshRequest
	call        mesh.CallID
	attempt     uint8
	gate, epoch int
	route       mesh.Route
	began       mesh.Time // at the instance
}

// arrivalCounts are counts of a service by tenths of a second.
type arrivalCounts struct{ requests, beyondFirst []int }

const (
	playTick       = 100 * time.Millisecond
	playWork       = 90 * time.Millisecond
	playBackWork   = 25 * time.Millisecond
	playDown       = 500 * time.Millisecond
	playSlots      = 6
	windowTicks    = int(10 * time.Second / playTick)
	frontService   = mesh.Service("front")
	backService    = mesh.Service("back")
	deepService    = mesh.Service("deep")
	clientPatience = 1200 * time.Millisecond
	callPatience   = 250 * time.Millisecond
)

var playBudget = retry.WindowBudget{Ratio: 0.2, Extra: 64, Span: 10 * time.Second}

func playSnapshot(t *testing.T) *catalog.Snapshot {
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

func newMeshPlay(t *testing.T, seed uint64, load meshLoad) *meshPlay {
	t.Helper()
	p := &meshPlay{
		T: t, meshLoad: load, now: start, random: rand.New(rand.NewPCG(seed, 1)),
		requests: make(map[mesh.CallID]*meshRequest), runs: make(map[mesh.CallID]*meshRun),
		arrivals: map[mesh.Service]*arrivalCounts{frontService: {}, backService: {}, deepService: {}},
		asked:    make(map[string]int), served: make(map[string]int),
	}
	for i := range load.front + load.back + load.deep {
		host := mesh.HostID(fmt.Sprintf("n%02d", i))
		m := remote(host, mesh.InstanceID("i-"+host), 1)
		m.Instance.Slots, m.Instance.Service = playSlots, frontService
		switch {
		case i >= load.front+load.back:
			m.Instance.Service = deepService
		case i >= load.front:
			m.Instance.Service = backService
		}
		p.hosts = append(p.hosts, &meshHost{member: m})
	}
	for i := range p.hosts {
		p.startNode(i)
	}
	return p
}

// startNode starts a new process, which learns the configuration and the hosts.
func (p *meshPlay) startNode(i int) {
	h := p.hosts[i]
	h.epoch++
	h.member.Incarnation = mesh.Incarnation(h.epoch)
	h.node = New(p.now, Settings{
		Host: h.member.Host, Domain: h.member.Domain, ForwardAddr: h.member.ForwardAddr, PeerAddr: h.member.PeerAddr,
		Service: h.member.Instance.Service, Incarnation: h.member.Incarnation, Repeats: playBudget,
	})
	p.step(i, ConfigurationSeen{playSnapshot(p.T)})
	p.step(i, InstanceReported{ID: h.member.Instance.ID, Service: h.member.Instance.Service, Version: "v1", Slots: playSlots, Sequence: 1})
	var members []Member
	for _, other := range p.hosts {
		members = append(members, other.member)
	}
	p.step(i, MembersSeen{Members: members})
	for j, other := range p.hosts {
		if j != i && other.node != nil {
			p.step(j, PeerSeen{Member: h.member})
		}
	}
}

// kill ends a process with all that it has in progress and starts another later.
func (p *meshPlay) kill(i int) {
	h := p.hosts[i]
	h.node, h.epoch = nil, h.epoch+1
	for id, run := range p.runs {
		if run.gate == i {
			delete(p.runs, id)
			p.finish(run, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true, HostFailed: true})
		}
	}
	p.after(playDown, func() { p.startNode(i) })
}

func (p *meshPlay) after(d time.Duration, run func()) {
	heap.Push(&p.queue, event{p.now.Add(d), run})
}

// step runs one event at a node that is up and plays its effects.
func (p *meshPlay) step(host int, ev Event) {
	if p.hosts[host].node == nil {
		return
	}
	var out Ready
	p.hosts[host].node.Step(p.now, p.random.Uint64(), ev, &out)
	for _, e := range out.Calls {
		p.callEffect(e)
	}
	for _, e := range out.Gates {
		p.gateEffect(e)
	}
}

func (p *meshPlay) callEffect(e CallEffect) {
	r := p.requests[e.Call]
	if r == nil {
		return
	}
	if e.Action == CallForward {
		p.forward(r, e)
		return
	}
	delete(p.requests, e.Call)
	if r.done != nil {
		r.done(e.Action == CallRespond && !r.failed)
	}
}

func (p *meshPlay) forward(r *meshRequest, e CallEffect) {
	gate := 0
	for i, h := range p.hosts {
		if h.member.Host == e.Host {
			gate = i
		}
	}
	p.nextID++
	id := p.nextID
	run := &meshRun{request: r, call: e.Call, attempt: e.Attempt, gate: gate, epoch: p.hosts[gate].epoch, route: e.Route}
	if p.hosts[gate].node == nil {
		p.finish(run, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost, HostFailed: true})
		return
	}
	p.runs[id] = run
	p.after(simulatedHop, func() {
		if p.runs[id] == nil {
			return
		}
		p.step(gate, GateArrived{
			Call: id, Instance: e.Instance, Route: e.Route, Rank: e.Rank, TimeLeft: e.Deadline.Sub(p.now),
			TimeToTarget: e.TimeToTarget - simulatedHop, MayQueue: e.MayQueue, RepeatProbability: e.RepeatProbability,
		})
	})
}

func (p *meshPlay) gateEffect(e GateEffect) {
	run := p.runs[e.Call]
	if run == nil {
		return
	}
	if e.Action == GateReject {
		delete(p.runs, e.Call)
		p.finish(run, AttemptDone{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true})
		return
	}
	r := run.request
	run.began = p.now
	r.arrivals++
	repeat := r.ofRepeat || r.arrivals > 1
	if repeat {
		p.count(&p.arrivals[r.service].beyondFirst)
	}
	if p.faulty() && p.random.Float64() < p.refuse[r.service] {
		p.end(e.Call, GateDone{Result: GateRefused}, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload, Reached: true})
		return
	}
	lost := p.faulty() && p.random.Float64() < p.lose[r.service]
	work := playBackWork
	if r.service == frontService {
		work = playWork
	}
	p.after(time.Duration(float64(work)*(0.5+p.random.Float64())), func() { p.runCalls(e.Call, run, repeat, lost) })
}

// runCalls makes the calls of a run, which needs all of them for a good answer.
func (p *meshPlay) runCalls(id mesh.CallID, run *meshRun, repeat, lost bool) {
	open, good := 0, true
	end := func() {
		if lost {
			p.end(id, GateDone{Result: GateLost}, AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost, Reached: true})
			return
		}
		p.end(id, GateDone{Result: GateAnswered, Failed: !good}, AttemptDone{Outcome: mesh.Answered, Failed: !good, Reached: true, Bytes: 500})
	}
	path, service := "/stock/1", backService
	switch {
	case run.route == "list" && p.random.Float64() < p.callShare:
		open = p.calls
	case run.request.service == backService && p.deep > 0:
		open, path, service = 1, "/price/1", deepService
	}
	if open == 0 {
		end()
		return
	}
	for range open {
		p.arrive(run.gate, path, service, callPatience, repeat, func(served bool) {
			open--
			good = good && served
			if open == 0 {
				end()
			}
		})
	}
}

// end reports the end of a run to its gate and to the entry node.
func (p *meshPlay) end(id mesh.CallID, gate GateDone, done AttemptDone) {
	run := p.runs[id]
	if run == nil {
		return
	}
	delete(p.runs, id)
	gate.Call, done.Duration = id, p.now.Sub(run.began)
	p.step(run.gate, gate)
	if node := p.hosts[run.gate].node; node != nil {
		done.Load, done.HasLoad = node.LocalLoad(), true
	}
	p.finish(run, done)
}

func (p *meshPlay) finish(run *meshRun, done AttemptDone) {
	done.Call, done.Attempt = run.call, run.attempt
	r := run.request
	r.failed = done.Failed
	p.after(simulatedHop, func() {
		if p.hosts[r.entry].epoch == r.epoch {
			p.step(r.entry, done)
		}
	})
}

// arrive sends a request to a node, or loses it if the node is down.
func (p *meshPlay) arrive(host int, path string, service mesh.Service, patience time.Duration, ofRepeat bool, done func(bool)) {
	if !ofRepeat {
		p.count(&p.arrivals[service].requests)
	}
	if p.hosts[host].node == nil {
		if done != nil {
			p.after(simulatedHop, func() { done(false) })
		}
		return
	}
	p.nextID++
	id := p.nextID
	p.requests[id] = &meshRequest{entry: host, epoch: p.hosts[host].epoch, service: service, ofRepeat: ofRepeat, done: done}
	p.step(host, CallArrived{Call: id, Host: "a", Path: path, Fingerprint: mesh.Fingerprint(id), Budget: patience})
}

func (p *meshPlay) faulty() bool {
	t := p.now.Sub(start)
	return t >= p.faultAt && t < p.faultEnds
}

// count adds one to the present tick.
func (p *meshPlay) count(ticks *[]int) {
	at := int(p.now.Sub(start) / playTick)
	for len(*ticks) <= at {
		*ticks = append(*ticks, 0)
	}
	(*ticks)[at]++
}

// play runs the load for a time.
func (p *meshPlay) play(length time.Duration) {
	p.clients(p.list, "/list/1", frontService)
	p.clients(p.book, "/book/1", frontService)
	p.clients(p.balance, "/balance/1", backService)
	var tick func()
	tick = func() {
		for i := range p.hosts {
			p.step(i, Tick{})
		}
		p.after(50*ms, tick)
	}
	p.after(0, tick)
	for at, hosts := range p.restarts {
		for _, host := range hosts {
			p.after(at, func() { p.kill(host) })
		}
	}
	for end := start.Add(length); p.now < end; {
		e := heap.Pop(&p.queue).(event)
		p.now = e.at
		e.run()
	}
}

// clients sends requests of one route to all nodes.
func (p *meshPlay) clients(perSecond float64, path string, service mesh.Service) {
	if perSecond == 0 {
		return
	}
	var next func()
	next = func() {
		faulty := p.faulty()
		p.arrive(p.random.IntN(len(p.hosts)), path, service, clientPatience, false, func(served bool) {
			if faulty {
				p.asked[path]++
			}
			if faulty && served {
				p.served[path]++
			}
		})
		p.after(time.Duration(p.random.ExpFloat64()*float64(time.Second)/perSecond), next)
	}
	p.after(0, next)
}

// worst returns the window with the most arrivals beyond the first, relative to
// what the budget allows for the requests of that window, the one before it or the
// one half a window before it.
func (c *arrivalCounts) worst() (beyond int, allowed float64) {
	sum := func(ticks []int, from int) int {
		total := 0
		for i := max(from, 0); i < min(from+windowTicks, len(ticks)); i++ {
			total += ticks[i]
		}
		return total
	}
	allowed = playBudget.Extra
	for from := range c.beyondFirst {
		requests := max(sum(c.requests, from), sum(c.requests, from-windowTicks/2), sum(c.requests, from-windowTicks))
		b, a := sum(c.beyondFirst, from), playBudget.Ratio*float64(requests)+playBudget.Extra
		if float64(b)/a > float64(beyond)/allowed {
			beyond, allowed = b, a
		}
	}
	return beyond, allowed
}

// checkBudget fails if more arrived at a service than its budget allows.
func (p *meshPlay) checkBudget() {
	p.Helper()
	is := is.New(p.T)
	for _, service := range []mesh.Service{frontService, backService, deepService} {
		beyond, allowed := p.arrivals[service].worst()
		p.Logf("%s: %d arrivals beyond the first, %.0f allowed", service, beyond, allowed)
		is.True(float64(beyond) <= allowed)
	}
}

// logServed logs what clients get while the fault lasts.
func (p *meshPlay) logServed() {
	p.Helper()
	for _, path := range slices.Sorted(maps.Keys(p.asked)) {
		p.Logf("%s: %.3f answered", path, float64(p.served[path])/float64(p.asked[path]))
	}
}

// ordinaryLoad is the traffic of a small deployment whose lists need two calls.
func ordinaryLoad() meshLoad {
	return meshLoad{
		front: 10, back: 3, list: 250, book: 130, balance: 100, calls: 2, callShare: 0.7,
		faultAt: 12 * time.Second, faultEnds: 26 * time.Second,
	}
}
