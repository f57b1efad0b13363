package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

func inEra(version uint64) platform.Revision { return platform.NewRevision(1, version) }

// endedRollout returns a reducer that knows a completed roll-out of an earlier era.
func endedRollout() (*Reducer, Order, Row) {
	r := New("a")
	order := Order{Service: "s", Target: "v3", Duration: duration, Revision: 50}
	r.ApplyOrder(start, Order{Service: "s", Target: "v2", Duration: duration, Revision: 30})
	r.ApplyOrder(start, order)
	row := Row{Service: "s", Target: "v3", Order: 50, State: Completed, Stage: 4, Driver: "b", Beat: 9, Revision: 58}
	r.ApplyRow(start, row)
	return r, order, row
}

func tickOnce(r *Reducer, at mesh.Time) []Write {
	return r.Tick(at, 0, func(mesh.Service) Slots { return Slots{"v2": 63, "v3": 63} }, nil)
}

// Guards against an ended roll-out that starts again because the store has lost its row and
// its order, and the operator writes the order again.
func TestRepeatedOrderDoesNotRestartARollout(t *testing.T) {
	is := is.New(t)
	r, order, row := endedRollout()
	at := start.Add(time.Minute)
	r.RowMissing(at, "s", 1)
	order.Revision = inEra(45)
	is.True(!r.ApplyOrder(at, order))
	is.Equal(r.Plan("s").State, Completed)
	writes := tickOnce(r, at)
	is.Equal(len(writes), 1)
	is.Equal(writes[0].Expect, inEra(0))
	is.Equal(writes[0].Row.State, Completed)
	is.Equal(writes[0].Row.Order, row.Order)
	order.Revision = inEra(60)
	is.True(!r.ApplyOrder(at.Add(repeatWindow/2), order)) // also if the store still had the order
	order.Revision = inEra(90)
	is.True(r.ApplyOrder(at.Add(time.Minute), order)) // the operator wants another roll-out of the version
	r.ApplyRow(at.Add(time.Minute), Row{Service: "s", Target: "v3", Order: inEra(90), State: Running, Driver: "b", Revision: inEra(91)})
	is.Equal(r.Plan("s").State, Running)
}

// Guards against a roll-out that goes back to an earlier stage, target or state with the
// store: the known row must be restored in place of the older one.
func TestRowsOfAnOlderStateAreReplaced(t *testing.T) {
	for name, older := range map[string]Row{
		"earlier stage": {Service: "s", Target: "v3", Order: 50, State: Running, Stage: 1, Driver: "b", Beat: 4, Revision: inEra(55)},
		"earlier order": {Service: "s", Target: "v2", Order: 30, State: RolledBack, Driver: "b", Beat: 40, Revision: inEra(35)},
		"started again": {Service: "s", Target: "v3", Order: inEra(60), State: Running, Driver: "c", Revision: inEra(61)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r, _, row := endedRollout()
			at := start.Add(time.Minute)
			is.True(!r.ApplyOrder(at, Order{Service: "s", Target: "v2", Duration: duration, Revision: inEra(30)})) // of the older state
			is.True(!r.ApplyRow(at, older))
			is.Equal(r.Plan("s").State, Completed)
			is.Equal(string(r.Plan("s").Target), "v3")
			writes := tickOnce(r, at)
			is.Equal(len(writes), 1)
			is.Equal(writes[0].Expect, older.Revision)
			is.Equal(writes[0].Row.Beat, row.Beat)
		})
	}
}

// Guards against a process that was started after a change of the era, and that starts an
// ended roll-out again because the row names the order by its revision in the earlier era.
func TestStartedProcessRecognisesARepeatedOrder(t *testing.T) {
	is := is.New(t)
	_, order, row := endedRollout()
	order.Revision, row.Revision = inEra(45), inEra(46)
	for _, orderFirst := range []bool{true, false} {
		r := New("c")
		if orderFirst {
			r.ApplyOrder(start, order)
		}
		r.ApplyRow(start, row)
		if !orderFirst {
			r.ApplyOrder(start, order)
		}
		is.Equal(len(tickOnce(r, start.Add(time.Second))), 0)
		is.Equal(r.OrderRevision("s"), platform.Revision(50)) // as on the other hosts, so that evidence matches
		is.Equal(r.Plan("s").State, Completed)
	}
}
