package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// maxRelayTime bounds a relayed call whose caller states no deadline. The node
// that accepts it applies the deadline of the class.
const maxRelayTime = 30 * time.Second

// relayed passes a call to a node that knows its version floor, because this
// one may apply no configuration yet or may not know the moves. It reports
// whether it did.
func (n *Node) relayed(ev *Event, out *Ready) bool {
	in := &ev.Call
	if in.Relayed || (n.accepted != nil && !n.waitsForMoves(ev.Now)) {
		return false
	}
	if n.establishedPeer(ev.Seed, nil) == nil {
		return false
	}
	n.counters.Relayed++
	c := n.newCall(in.Call)
	c.identified, c.deadline = len(in.RequestID) > 0, ev.Now.Add(relayTime(in))
	n.relay(ev.Seed, c, out)
	return true
}

func relayTime(in *CallArrived) time.Duration {
	if in.DeadlineMillis == 0 {
		return maxRelayTime
	}
	return time.Duration(in.DeadlineMillis) * time.Millisecond
}

// relay passes a call to a peer that was not tried before. It reports false if
// there is none.
func (n *Node) relay(seed uint64, c *call, out *Ready) bool {
	to := n.establishedPeer(seed, c.hosts)
	if to == nil || len(c.hosts) == retry.DefaultMaxAttempts {
		return false
	}
	c.hosts = append(c.hosts, to.Host)
	out.Calls = append(out.Calls, CallEffect{
		Call: c.id, Action: CallRelay, Attempt: uint8(len(c.hosts)), Host: to.Host, Addr: to.CallAddr, Deadline: c.deadline,
	})
	return true
}

// relayDone ends a relayed call. Without an effect the peer's answer stands. A
// call that did not reach the peer goes to another one.
func (n *Node) relayDone(ev *Event, c *call, out *Ready) {
	in := &ev.Attempt
	if int(in.Attempt) != len(c.hosts) {
		n.counters.LateAnswers++
		return
	}
	if in.Reason == mesh.ReasonConnectionLost {
		if in.Outcome == mesh.NotRun && ev.Now < c.deadline && n.relay(ev.Seed, c, out) {
			return
		}
		outcome := in.Outcome
		if c.identified {
			outcome = mesh.MayHaveRun // no claim shows that earlier sends did not run
		}
		n.reject(c.id, outcome, in.Reason, out)
	}
	n.endCall(c)
}
