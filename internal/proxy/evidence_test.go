package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

// Guards against a roll-out of a version that is so slow that the gate gives its requests up
// before the instance has stated that the time is over: such requests were no evidence. One
// that an instance had no time to answer, or whose caller left, must not count against it.
func TestRequestsThatTimeOutAreEvidence(t *testing.T) {
	const target = 300 * ms // of the route
	for _, c := range []struct {
		name     string
		result   GateResult
		ran      time.Duration
		cold     bool
		failures uint32
	}{
		{name: "slow", result: GateTimedOut, ran: target, failures: 1},
		{name: "no time", result: GateTimedOut, ran: target - ms},
		{name: "cold", result: GateTimedOut, ran: target, cold: true},
		{name: "caller left", result: GateAbandoned, ran: target},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			tn := newTestNode(t).withConfigAndMembers()
			report := InstanceReported{ID: "i0", Service: "s", Version: "v2", Slots: 2, Born: 1, Sequence: 1}
			if c.cold {
				report.WarmUp = time.Minute
			}
			tn.step(report)
			tn.step(OrderSeen{rollout.Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 5}})
			tn.step(GateArrived{Call: 1, Instance: "i0", Route: "read", TimeLeft: time.Second})
			tn.now = tn.now.Add(c.ran)
			tn.step(GateDone{Call: 1, Result: c.result})
			var failures uint32
			for _, r := range tn.node.local.routeCounts {
				failures += r.Failures
			}
			is.Equal(failures, c.failures)
		})
	}
}
