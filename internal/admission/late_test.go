package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// overload plays a gate with the given arrivals a second, each taking the given
// time, and returns how many ended within and after their target.
func overload(perSecond int, service, target, deadline time.Duration, withTarget bool) (inTime, late int) {
	g := New(Limits{QueuePerSlot: 3, InitialServiceTime: service})
	g.SetInstance(start, Instance{ID: inst, Slots: 9}, nil)
	ends := make(map[mesh.CallID]mesh.Time) // of running calls
	arrived := make(map[mesh.CallID]mesh.Time)
	var effects []Effect
	next := mesh.CallID(1)
	begin := func(now mesh.Time) {
		for _, e := range effects {
			if e.Action == Dispatch {
				ends[e.Call] = now.Add(service)
			}
		}
		effects = effects[:0]
	}
	for tick := range 10_000 { // of a millisecond
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
			begin(now)
		}
		if tick*perSecond/1000 != (tick+1)*perSecond/1000 {
			c := Call{ID: next, Instance: inst, Priority: mesh.Normal, Deadline: now.Add(deadline), Route: "r"}
			if withTarget {
				c.Target = now.Add(target)
			}
			arrived[next] = now
			next++
			effects = g.Arrive(now, c, effects)
			begin(now)
		}
		effects = g.Tick(now, effects)
		begin(now)
	}
	return inTime, late
}

// Guards against a queue under lasting overload that makes every answer late:
// with targets, the slots go to calls that still meet theirs.
func TestOverloadKeepsAnswersWithinTarget(t *testing.T) {
	is := is.New(t)
	const service, target, deadline = 100 * ms, 300 * ms, 1200 * ms
	capacity := 9 * 10 * 10 // calls in ten seconds
	inTime, late := overload(135, service, target, deadline, true)
	is.True(inTime >= capacity*9/10)
	is.True(late <= capacity/20)
	without, _ := overload(135, service, target, deadline, false)
	is.True(without < inTime/2) // the queue alone spends the slots on late answers
}

// Guards against a late call that is refused while slots are free.
func TestLateCallRunsOnFreeSlot(t *testing.T) {
	is := is.New(t)
	g := newGate(1, 8)
	e := g.Arrive(start, Call{ID: 1, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(-ms)}, nil)
	is.Equal(got(e), []want{{Dispatch, 1, 0}})
}

// Guards against a late call that is held until its caller has no time left to
// come back.
func TestLateCallIsToldSoon(t *testing.T) {
	is := is.New(t)
	g := newGate(2, 8)
	for id := mesh.CallID(1); id <= 2; id++ {
		g.Arrive(start, Call{ID: id, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(time.Second)}, nil)
	}
	is.Equal(len(g.Arrive(start, Call{ID: 3, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(5 * ms)}, nil)), 0)
	is.Equal(len(g.Arrive(start, Call{ID: 4, Instance: inst, Deadline: start.Add(time.Second), Target: start.Add(time.Second)}, nil)), 0)
	is.Equal(got(g.Tick(start.Add(lateWait+ms), nil)), []want{{Reject, 3, mesh.ReasonOverload}})
}
