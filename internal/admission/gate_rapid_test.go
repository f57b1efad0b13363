package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// gateModel tracks the calls of a gate and checks the effects of the gate against
// its invariants.
type gateModel struct {
	t            *rapid.T
	gate         *Gate
	now          mesh.Time
	waiting      map[mesh.CallID]Call
	running      map[mesh.CallID]Call
	nextID       mesh.CallID
	slots        int
	emptyReports int
	draining     bool
}

func (m *gateModel) apply(effects []Effect) {
	is := is.New(m.t)
	for _, e := range effects {
		c, ok := m.waiting[e.Call]
		switch e.Action {
		case Dispatch:
			is.True(ok) // a call is dispatched or rejected only once
			m.running[e.Call] = c
		case Reject:
			is.True(ok)
		case NodeEmpty:
			m.emptyReports++
			is.Equal(len(m.waiting)+len(m.running), 0)
			continue
		case InstanceEmpty:
			is.Equal(len(m.waiting)+len(m.running), 0)
			continue
		}
		delete(m.waiting, e.Call)
	}
	m.check()
}

func (m *gateModel) check() {
	is := is.New(m.t)
	is.True(len(m.running) <= m.slots)
	is.Equal(m.gate.Empty(), len(m.waiting)+len(m.running) == 0)
	load := m.gate.Load(inst)
	is.Equal(int(load.InUse), len(m.running))
	is.Equal(int(load.Queued), len(m.waiting))
	is.True(len(m.waiting) <= 2*m.slots)
	for _, c := range m.running {
		is.True(!c.Exclusive || len(m.running) == 1)
	}
	is.True(m.emptyReports <= 1)
	if m.draining && m.gate.Empty() {
		is.Equal(m.emptyReports, 1)
	}
}

func (m *gateModel) arrive(t *rapid.T) {
	m.nextID++
	c := Call{ID: m.nextID, Instance: inst,
		Priority:  mesh.Priority(rapid.IntRange(0, 2).Draw(t, "priority")),
		Deadline:  m.now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "deadline")) * ms),
		Route:     "r",
		Work:      rapid.SampledFrom([]float64{0, 0.2, 1, 4}).Draw(t, "work"),
		Tenant:    rapid.SampledFrom([]mesh.Tenant{"", "a", "b"}).Draw(t, "tenant"),
		Exclusive: rapid.IntRange(0, 4).Draw(t, "exclusive") == 0}
	m.waiting[c.ID] = c
	m.apply(m.gate.Arrive(m.now, c, nil))
}

func (m *gateModel) finish(t *rapid.T) {
	if id := mesh.CallID(rapid.Uint64Range(1, uint64(m.nextID)+1).Draw(t, "call")); m.running[id].ID != 0 {
		delete(m.running, id)
		m.apply(m.gate.Done(m.now, id, Finish(rapid.IntRange(1, 3).Draw(t, "finish")), nil))
	}
}

func (m *gateModel) cancel(t *rapid.T) {
	id := mesh.CallID(rapid.Uint64Range(1, uint64(m.nextID)+1).Draw(t, "call"))
	_, waiting := m.waiting[id]
	out, queued := m.gate.Cancel(m.now, id, nil)
	is.New(t).Equal(queued, waiting)
	delete(m.waiting, id)
	m.apply(out)
}

func (m *gateModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "elapsed")) * ms)
	m.apply(m.gate.Tick(m.now, nil))
}

func (m *gateModel) drain(t *rapid.T) {
	m.draining = true
	m.apply(m.gate.Drain(m.now, nil))
}

// Guards against a leaked slot, a missing or repeated decision on a call, a queue
// beyond its limit, a call that runs next to an exclusive one, and a wrong report
// of an empty gate, over random sequences of events.
func TestGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{t: t, now: start, slots: rapid.IntRange(1, 4).Draw(t, "slots"),
			waiting: map[mesh.CallID]Call{}, running: map[mesh.CallID]Call{}}
		m.gate = newGate(uint16(m.slots), 2)
		t.Repeat(map[string]func(*rapid.T){ // "arrive again" makes arrivals twice as likely
			"arrive": m.arrive, "arrive again": m.arrive, "finish": m.finish,
			"cancel": m.cancel, "tick": m.tick, "drain": m.drain,
		})
	})
}

// Guards against heap allocations of the gate in the steps of a call.
func TestCallsAllocateNothing(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 4)
	out := make([]Effect, 0, 16)
	id := mesh.CallID(0)
	is.Equal(testing.AllocsPerRun(10_000, func() {
		for range 8 {
			id++
			out = g.Arrive(start, Call{ID: id, Instance: inst, Deadline: start.Add(time.Second)}, out[:0])
		}
		out, _ = g.Cancel(start, id, out[:0])
		for done := id - 7; done <= id; done++ {
			out = g.Done(start.Add(ms), done, Finished, out[:0])
		}
	}), 0.0)
}

func BenchmarkGate(b *testing.B) {
	g := newGate(2, 8)
	out := make([]Effect, 0, 16)
	b.ReportAllocs()
	for id := mesh.CallID(1); b.Loop(); id++ {
		out = g.Arrive(start, Call{ID: id, Instance: inst, Deadline: start.Add(time.Second)}, out[:0])
		out = g.Done(start.Add(ms), id, Finished, out[:0])
	}
}
