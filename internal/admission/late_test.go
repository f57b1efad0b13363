package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// simulateOverload runs a gate for ten seconds with the given number of arrivals
// per second and the given service time, and returns how many calls ended within
// and after their target.
func simulateOverload(perSecond int, service, target, deadline time.Duration, withTarget bool) (inTime, late int) {
	g := New(Limits{QueuePerSlot: 3, InitialServiceTime: service})
	g.SetInstance(start, Instance{ID: inst, Slots: 9}, nil)
	ends := make(map[mesh.CallID]mesh.Time) // of running calls
	arrived := make(map[mesh.CallID]mesh.Time)
	var effects []Effect
	nextID := mesh.CallID(1)
	startDispatched := func(now mesh.Time) {
		for _, e := range effects {
			if e.Action == Dispatch {
				ends[e.Call] = now.Add(service)
			}
		}
		effects = effects[:0]
	}
	for tick := range 10_000 { // one millisecond each
		now := start.Add(time.Duration(tick) * ms)
		for id, end := range ends {
			if end > now {
				continue
			}
			delete(ends, id)
			if now.Sub(arrived[id]) <= target {
				inTime++
			} else {
				late++
			}
			effects = g.Done(now, id, Finished, effects)
			startDispatched(now)
		}
		if tick*perSecond/1000 != (tick+1)*perSecond/1000 {
			c := Call{ID: nextID, Instance: inst, Priority: mesh.Normal, Deadline: now.Add(deadline), Route: "r"}
			if withTarget {
				c.Target = now.Add(target)
			}
			arrived[nextID] = now
			nextID++
			effects = g.Arrive(now, c, effects)
			startDispatched(now)
		}
		effects = g.Tick(now, effects)
		startDispatched(now)
	}
	return inTime, late
}

// Guards against a queue that makes every answer late under sustained overload.
// With targets, the slots go to the calls that can still meet theirs.
func TestOverloadKeepsAnswersWithinTarget(t *testing.T) {
	is := is.New(t)
	const service, target, deadline = 100 * ms, 300 * ms, 1200 * ms
	capacity := 9 * 10 * 10 // calls in ten seconds
	inTime, late := simulateOverload(135, service, target, deadline, true)
	is.True(inTime >= capacity*9/10)
	is.True(late <= capacity/20)
	without, _ := simulateOverload(135, service, target, deadline, false)
	is.True(without < inTime/2) // without targets, the slots go to calls that end late
}

// Guards against a late call that is rejected while slots are free.
func TestLateCallRunsOnFreeSlot(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	e := g.Arrive(start, Call{ID: 1, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(-ms)}, nil)
	is.Equal(decisions(e), []decision{{Dispatch, 1, 0}})
}

// Guards against a late call that stays queued until its caller has no time left
// to retry.
func TestLateCallIsRejectedSoon(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	for id := mesh.CallID(1); id <= 2; id++ {
		g.Arrive(start, Call{ID: id, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(time.Second)}, nil)
	}
	is.Equal(len(g.Arrive(start, Call{ID: 3, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(5 * ms)}, nil)), 0)
	is.Equal(len(g.Arrive(start, Call{ID: 4, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(time.Second)}, nil)), 0)
	is.Equal(decisions(g.Tick(start.Add(maxLateWait+ms), nil)), []decision{{Reject, 3, mesh.ReasonOverload}})
}
