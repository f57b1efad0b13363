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

// simulation plays a load on the reducers of several nodes in virtual time, each
// beside an instance, without a network.
type simulation struct {
	*testing.T
	nodes   []*Node
	now     mesh.Time
	queue   eventQueue
	random  *rand.Rand
	work    time.Duration // mean of an instance's work
	nextID  mesh.CallID
	calls   map[mesh.CallID]*simulatedCall
	atGates map[mesh.CallID]gateTicket
	results results
}

// results are what callers got.
type results struct {
	calls, inTime, late, refused, failed int
	forwards, away                       int
	// refusedLate counts the refusals later than half of the target.
	refusedLate int
}

type simulatedCall struct{ arrived mesh.Time }

// gateTicket remembers which attempt a request at a gate belongs to.
type gateTicket struct {
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
	simulatedHop    = 500 * time.Microsecond
	simulatedTarget = 300 * time.Millisecond // of the route "read" in snapshot
)

// newSimulation starts nodes in two failure domains.
func newSimulation(t *testing.T, nodes int, work time.Duration) *simulation {
	t.Helper()
	s := &simulation{T: t, now: start, random: rand.New(rand.NewPCG(1, 2)), work: work, calls: make(map[mesh.CallID]*simulatedCall),
		atGates: make(map[mesh.CallID]gateTicket)}
	var members []Member
	for i := range nodes {
		host := mesh.HostID(fmt.Sprintf("n%02d", i))
		m := remote(host, mesh.InstanceID("i-"+host), 1)
		m.Domain = mesh.FailureDomain("ab"[i%2 : i%2+1])
		m.Instance.Slots = simulatedSlots
		members = append(members, m)
	}
	for i, m := range members {
		s.nodes = append(s.nodes, New(start, Settings{
			Host: m.Host, Domain: m.Domain, ForwardAddr: m.ForwardAddr, PeerAddr: m.PeerAddr, Service: "s", Incarnation: 100,
			Repeats: retry.WindowBudget{Ratio: 0.2, Extra: 60, Span: 10 * time.Second},
		}))
		s.step(i, ConfigurationSeen{snapshot(t, 5)})
		s.step(i, InstanceReported{ID: m.Instance.ID, Service: "s", Version: "v1", Slots: simulatedSlots, Sequence: 1})
		s.step(i, MembersSeen{Members: members})
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now.Add(d), run})
}

// step runs one event at a node and plays its effects.
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
		s.results.refused++
		if s.now.Sub(c.arrived) > simulatedTarget/2 {
			s.results.refusedLate++
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
		s.results.away++
	}
	s.nextID++
	id := s.nextID
	s.atGates[id] = gateTicket{node, e.Call, e.Attempt}
	s.after(simulatedHop, func() {
		s.step(gate, GateArrived{
			Call: id, Instance: e.Instance, Route: e.Route, Rank: e.Rank, TimeLeft: e.Deadline.Sub(s.now), TimeToTarget: e.TimeToTarget - simulatedHop, MayQueue: e.MayQueue,
		})
	})
}

func (s *simulation) gateEffect(gate int, e GateEffect) {
	ticket := s.atGates[e.Call]
	if e.Action == GateReject {
		s.finish(e.Call, AttemptDone{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true}, ticket)
		return
	}
	work := time.Duration(float64(s.work) * (0.5 + s.random.Float64()))
	s.after(work, func() {
		s.step(gate, GateDone{Call: e.Call, Result: GateAnswered})
		s.finish(e.Call, AttemptDone{
			Outcome: mesh.Answered, Reached: true, Duration: work, Bytes: 500, Load: s.nodes[gate].LocalLoad(), HasLoad: true,
		}, ticket)
	})
}

func (s *simulation) finish(id mesh.CallID, done AttemptDone, ticket gateTicket) {
	delete(s.atGates, id)
	done.Call, done.Attempt = ticket.call, ticket.attempt
	s.after(simulatedHop, func() { s.step(ticket.entry, done) })
}

// play sends calls to all nodes at a rate relative to the capacity, and counts what
// callers get of those that arrive after the first second.
func (s *simulation) play(load float64, length time.Duration) results {
	capacity := float64(len(s.nodes)*simulatedSlots) / s.work.Seconds()
	gap := float64(time.Second) / (capacity * load)
	end := s.now.Add(length)
	warm := s.now.Add(time.Second)
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
	if s.now < warm {
		s.Fatal("the play ends before it counts")
	}
	return s.results
}

// share returns a part of the calls.
func (r *results) share(n int) float64 { return float64(n) / float64(r.calls) }

// Guards against requests that are carried to one full gate after the other in a
// burst: the answers that arrive in time must not become fewer than the slots
// allow, and callers learn of a refusal while there is time to come back.
func TestBurstIsServedWithFewQuestions(t *testing.T) {
	for _, c := range []struct {
		load                       float64
		inTime, forwards, lateness float64
	}{
		{load: 0.6, inTime: 0.99, forwards: 1.3, lateness: 0},
		{load: 1.0, inTime: 0.9, forwards: 2.5, lateness: 0.02},
		{load: 1.5, inTime: 0.9 / 1.5, forwards: 2.5, lateness: 0.02},
		{load: 2.5, inTime: 0.9 / 2.5, forwards: 2.5, lateness: 0.02},
	} {
		t.Run(fmt.Sprintf("load %v", c.load), func(t *testing.T) {
			is := is.New(t)
			r := newSimulation(t, 12, 60*time.Millisecond).play(c.load, 6*time.Second)
			t.Logf("in time %.3f, late %.3f, refused %.3f, forwards %.2f a call, %.2f of them away", r.share(r.inTime), r.share(r.late),
				r.share(r.refused), r.share(r.forwards), float64(r.away)/float64(r.forwards))
			is.Equal(r.failed, 0)
			is.True(r.share(r.inTime) >= c.inTime)
			is.True(r.share(r.forwards) <= c.forwards)
			is.True(r.share(r.refusedLate) <= c.lateness)
		})
	}
}

// Guards against requests that leave the failure domain though they would be
// answered within their target in it.
func TestRequestsStayInTheirDomain(t *testing.T) {
	is := is.New(t)
	r := newSimulation(t, 12, 60*time.Millisecond).play(0.6, 6*time.Second)
	is.True(float64(r.away) <= 0.05*float64(r.forwards))
	is.True(r.share(r.inTime) >= 0.99)
}
