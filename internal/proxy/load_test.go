package proxy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// simulation runs a load on the reducers of several nodes in virtual time, without a
// network. Each node has an instance on its host.
type simulation struct {
	*testing.T
	nodes        []*Node
	now          mesh.Time
	queue        eventQueue
	random       *rand.Rand
	meanWork     time.Duration // mean duration of a request at an instance
	nextID       mesh.CallID
	calls        map[mesh.CallID]*simulatedCall
	gateRequests map[mesh.CallID]gateRequest
	results      results
}

// results counts the outcomes of calls, as their callers see them.
type results struct {
	calls, inTime, late, rejected, failed int
	forwards, crossDomain                 int
	// rejectedLate counts the rejections after more than half of the target latency.
	rejectedLate int
}

type simulatedCall struct{ arrived mesh.Time }

// gateRequest identifies the attempt that a request at a gate belongs to.
type gateRequest struct {
	entry   int
	call    mesh.CallID
	attempt uint8
}

type event struct {
	at  mesh.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const (
	simulatedSlots  = 8
	hopDelay        = 500 * time.Microsecond
	simulatedTarget = 300 * time.Millisecond // target latency of the route "read" in testSnapshot
)

// newSimulation starts nodes that are spread over two failure domains.
func newSimulation(t *testing.T, nodes int, work time.Duration) *simulation {
	t.Helper()
	s := &simulation{T: t, now: start, random: rand.New(rand.NewPCG(1, 2)), meanWork: work, calls: make(map[mesh.CallID]*simulatedCall),
		gateRequests: make(map[mesh.CallID]gateRequest)}
	var members []Member
	for i := range nodes {
		host := mesh.HostID(fmt.Sprintf("n%02d", i))
		m := remoteMember(host, mesh.InstanceID("i-"+host), 1)
		m.Domain = mesh.FailureDomain("ab"[i%2 : i%2+1])
		m.Instance.Slots = simulatedSlots
		members = append(members, m)
	}
	for i, m := range members {
		s.nodes = append(s.nodes, New(start, Settings{
			Host: m.Host, Domain: m.Domain, ForwardAddr: m.ForwardAddr, PeerAddr: m.PeerAddr, Service: "s", Incarnation: 100,
			Repeats: retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
		}))
		s.step(i, ConfigurationSeen{testSnapshot(t, 5)})
		s.step(i, InstanceReported{ID: m.Instance.ID, Service: "s", Version: "v1", Slots: simulatedSlots, Sequence: 1})
		s.step(i, MembersSeen{Members: members})
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now.Add(d), run})
}

// step applies one event to a node and executes its effects.
func (s *simulation) step(node int, ev Event) {
	var out Ready
	s.nodes[node].Step(s.now, s.random.Uint64(), ev, &out)
	for _, e := range out.Calls {
		s.callEffect(node, e)
	}
	for _, e := range out.Gates {
		s.gateEffect(node, e)
	}
}

func (s *simulation) callEffect(node int, e CallEffect) {
	c := s.calls[e.Call]
	switch e.Action {
	case CallForward:
		s.forward(node, e)
		return
	case CallRespond:
		if s.now.Sub(c.arrived) <= simulatedTarget {
			s.results.inTime++
		} else {
			s.results.late++
		}
	case CallReject:
		if e.Outcome != mesh.NotRun {
			s.results.failed++
			break
		}
		s.results.rejected++
		if s.now.Sub(c.arrived) > simulatedTarget/2 {
			s.results.rejectedLate++
		}
	}
	delete(s.calls, e.Call)
}

func (s *simulation) forward(node int, e CallEffect) {
	s.results.forwards++
	var gate int
	for i, n := range s.nodes {
		if n.settings.Host == e.Host {
			gate = i
		}
	}
	if s.nodes[gate].settings.Domain != s.nodes[node].settings.Domain {
		s.results.crossDomain++
	}
	s.nextID++
	id := s.nextID
	s.gateRequests[id] = gateRequest{node, e.Call, e.Attempt}
	s.after(hopDelay, func() {
		s.step(gate, GateArrived{
			Call: id, Instance: e.Instance, Route: e.Route, Rank: e.Rank, TimeLeft: e.Deadline.Sub(s.now), TimeToTarget: e.TimeToTarget - hopDelay, MayQueue: e.MayQueue,
		})
	})
}

func (s *simulation) gateEffect(gate int, e GateEffect) {
	request := s.gateRequests[e.Call]
	if e.Action == GateReject {
		s.finish(e.Call, AttemptDone{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true}, request)
		return
	}
	work := time.Duration(float64(s.meanWork) * (0.5 + s.random.Float64()))
	s.after(work, func() {
		s.step(gate, GateDone{Call: e.Call, Result: GateAnswered})
		s.finish(e.Call, AttemptDone{
			Outcome: mesh.Answered, Reached: true, Duration: work, Bytes: 500, Load: s.nodes[gate].LocalLoad(), HasLoad: true,
		}, request)
	})
}

func (s *simulation) finish(id mesh.CallID, done AttemptDone, request gateRequest) {
	delete(s.gateRequests, id)
	done.Call, done.Attempt = request.call, request.attempt
	s.after(hopDelay, func() { s.step(request.entry, done) })
}

// run sends calls to all nodes at a rate relative to their capacity. It returns the
// counts of what callers got after the first second.
func (s *simulation) run(load float64, length time.Duration) results {
	capacity := float64(len(s.nodes)*simulatedSlots) / s.meanWork.Seconds()
	gap := float64(time.Second) / (capacity * load)
	end := s.now.Add(length)
	warmUpEnd := s.now.Add(time.Second)
	var arrive, tick func()
	arrive = func() {
		s.nextID++
		id := s.nextID
		s.calls[id] = &simulatedCall{arrived: s.now}
		s.results.calls++
		s.step(s.random.IntN(len(s.nodes)), CallArrived{Call: id, Host: "a", Path: "/read/x", Budget: time.Second})
		s.after(time.Duration(s.random.ExpFloat64()*gap), arrive)
	}
	tick = func() {
		for i := range s.nodes {
			s.step(i, Tick{})
		}
		s.after(50*time.Millisecond, tick)
	}
	s.after(0, arrive)
	s.after(0, tick)
	s.after(time.Second, func() { s.results = results{} })
	for s.now < end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	if s.now < warmUpEnd {
		s.Fatal("the simulation ended before it started to count results")
	}
	return s.results
}

// share returns a number of calls as a share of all calls.
func (r *results) share(n int) float64 { return float64(n) / float64(r.calls) }

// Guards against requests that are forwarded to one full gate after another in a burst.
// As many answers as the slots allow must arrive within their target, and callers must
// learn of a rejection early enough for a retry.
func TestBurstIsServedWithFewForwards(t *testing.T) {
	for _, c := range []struct {
		load                           float64
		inTime, forwards, rejectedLate float64
	}{
		{load: 0.6, inTime: 0.99, forwards: 1.3, rejectedLate: 0},
		{load: 1.0, inTime: 0.9, forwards: 2.5, rejectedLate: 0.02},
		{load: 1.5, inTime: 0.9 / 1.5, forwards: 2.5, rejectedLate: 0.02},
		{load: 2.5, inTime: 0.9 / 2.5, forwards: 2.5, rejectedLate: 0.02},
	} {
		t.Run(fmt.Sprintf("load %v", c.load), func(t *testing.T) {
			is := is.New(t)
			r := newSimulation(t, 12, 60*time.Millisecond).run(c.load, 6*time.Second)
			t.Logf("in time %.3f, late %.3f, rejected %.3f, forwards %.2f a call, %.2f of them to the other domain", r.share(r.inTime), r.share(r.late),
				r.share(r.rejected), r.share(r.forwards), float64(r.crossDomain)/float64(r.forwards))
			is.Equal(r.failed, 0)
			is.True(r.share(r.inTime) >= c.inTime)
			is.True(r.share(r.forwards) <= c.forwards)
			is.True(r.share(r.rejectedLate) <= c.rejectedLate)
		})
	}
}

// Guards against requests that leave the failure domain although an instance in it would
// answer within their target.
func TestRequestsStayInTheirDomain(t *testing.T) {
	is := is.New(t)
	r := newSimulation(t, 12, 60*time.Millisecond).run(0.6, 6*time.Second)
	is.True(float64(r.crossDomain) <= 0.05*float64(r.forwards))
	is.True(r.share(r.inTime) >= 0.99)
}
