package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// newWorkGate returns a gate whose instance has measured a mean of 100 ms without
// deviation for route "r".
func newWorkGate(slots uint16, perSlot int) *Gate {
	g := newGate(slots, perSlot)
	g.instances[inst].serviceTimeByRoute["r"] = 100 * ms
	return g
}

func arriveWithWork(g *Gate, at mesh.Time, id mesh.CallID, tenant mesh.Tenant, work float64, target, deadline time.Duration) []decision {
	return decisions(g.Arrive(at, Call{
		ID: id, Instance: inst, Route: "r", Tenant: tenant, Work: work, Target: start.Add(target), Deadline: start.Add(deadline),
	}, nil))
}

// Guards against a request that waits, or runs, although its predicted work can't be done
// before its deadline, and against one that is refused although its work is small.
func TestRefusesAtOnceWhatCannotEndInTime(t *testing.T) {
	is := is.New(t)
	g := newWorkGate(1, 8)
	is.Equal(arriveWithWork(g, start, 1, "", 4, 300*ms, 300*ms), []decision{{Reject, 1, mesh.ReasonDeadline}})
	is.Equal(arriveWithWork(g, start, 2, "", 1, 300*ms, 300*ms), []decision{{Dispatch, 2, 0}})
	is.Equal(arriveWithWork(g, start, 3, "", 2.5, 300*ms, 300*ms), []decision{{Reject, 3, mesh.ReasonDeadline}}) // starts in 100 ms
	is.Equal(arriveWithWork(g, start, 4, "", 0.5, 300*ms, 300*ms), []decision{})
	is.Equal(g.StartsIn(start, inst), 150*ms)
	is.Equal(g.Backlog(start, inst), 150*ms)
	is.Equal(g.StartsIn(start.Add(80*ms), inst), 80*ms) // minRemainingShare of the running call and the queued one
}

// Guards against an order in which requests with little work wait for large ones that
// are due at about the same time.
func TestSmallRequestsGoBeforeLargeOnesDueTogether(t *testing.T) {
	is := is.New(t)
	g := newWorkGate(1, 8)
	arriveWithWork(g, start, 1, "", 1, time.Second, 2*time.Second)
	arriveWithWork(g, start, 2, "", 2, 600*ms, 2*time.Second)
	arriveWithWork(g, start, 3, "", 0.2, 610*ms, 2*time.Second)
	arriveWithWork(g, start, 4, "", 0.2, 800*ms, 2*time.Second) // due much later
	running := mesh.CallID(1)
	for _, next := range []mesh.CallID{3, 2, 4} {
		is.Equal(decisions(g.Done(start, running, NotStarted, nil)), []decision{{Dispatch, next, 0}})
		running = next
	}
}

// Guards against a tenant that fills the queue at the expense of others, and against one
// of which everything is shed.
func TestOverflowShedsTheLargestTenant(t *testing.T) {
	is := is.New(t)
	g := newWorkGate(1, 4)
	arriveWithWork(g, start, 1, "large", 1, time.Minute, time.Minute)
	for id := range mesh.CallID(4) {
		arriveWithWork(g, start, 2+id, "large", 1, time.Minute, time.Minute)
	}
	is.Equal(arriveWithWork(g, start, 6, "small", 1, time.Minute, time.Minute), []decision{{Reject, 5, mesh.ReasonOverload}})
	is.Equal(g.Load(inst).Queued, uint16(4))
	is.True(g.calls[6] != nil)
	is.True(g.calls[5] == nil)
	is.True(g.victim(start, []*call{{Call: Call{Work: 1}}}, g.calls[6]) < 0) // has no tenant
	for range 40 {                                                           // what is offered but not served no longer counts for shedding
		g.shares.add(start, "large", 100*ms, 0)
		g.shares.add(start, "small", 100*ms, 100*ms)
	}
	is.True(!g.shares.mayShed(start, "large"))
}

// Guards against state that grows with the number of tenants.
func TestTenantSharesAreBounded(t *testing.T) {
	is := is.New(t)
	g := newWorkGate(1, 4)
	g.shares.add(start, "large", time.Second, time.Second)
	for i := range 10 * maxTenants {
		g.shares.add(start.Add(time.Duration(i)), mesh.Tenant(fmt.Sprint(i)), ms, 0)
	}
	is.Equal(len(g.shares.byTenant), maxTenants)
	is.True(g.shares.served(start, "large") > 0)
}
