package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
)

// maxRelayTimeout bounds a relayed call whose caller states no deadline. The peer
// that accepts the call applies the deadline of the class.
const maxRelayTimeout = 30 * time.Second

// tryRelay relays a call to a peer that knows its version floor, if this node
// has no configuration yet or may not know all moves. It reports whether the
// call was relayed.
func (n *Node) tryRelay(ev *Event, out *Ready) bool {
	in := &ev.Call
	if in.Relayed || (n.accepted != nil && !n.awaitsMoveStates(ev.Now)) {
		return false
	}
	if n.establishedPeer(ev.Seed, nil) == nil {
		return false
	}
	n.counters.Relayed++
	c := n.newCall(in.Call)
	c.identified, c.deadline = len(in.RequestID) > 0, ev.Now.Add(relayTimeout(in))
	n.relayToNextPeer(ev.Seed, c, out)
	return true
}

func relayTimeout(in *CallArrived) time.Duration {
	if in.DeadlineMillis == 0 {
		return maxRelayTimeout
	}
	return time.Duration(in.DeadlineMillis) * time.Millisecond
}

// relayToNextPeer relays a call to a peer that it was not relayed to before. It
// returns false if there is none or the maximum number of attempts was made.
func (n *Node) relayToNextPeer(seed uint64, c *call, out *Ready) bool {
	to := n.establishedPeer(seed, c.triedHosts)
	if to == nil || len(c.triedHosts) == retry.DefaultMaxAttempts {
		return false
	}
	c.triedHosts = append(c.triedHosts, to.Host)
	out.Calls = append(out.Calls, CallEffect{
		Call: c.id, Action: CallRelay, Attempt: uint8(len(c.triedHosts)), Host: to.Host, Addr: to.CallAddr, Deadline: c.deadline,
	})
	return true
}

// relayDone ends a relayed call. If it adds no effect, the runtime returns the
// answer of the peer. A call that did not reach the peer is relayed to another.
func (n *Node) relayDone(ev *Event, c *call, out *Ready) {
	in := &ev.Attempt
	if int(in.Attempt) != len(c.triedHosts) {
		n.counters.LateAnswers++
		return
	}
	if in.Reason == mesh.ReasonConnectionLost {
		if in.Outcome == mesh.NotRun && ev.Now < c.deadline && n.relayToNextPeer(ev.Seed, c, out) {
			return
		}
		outcome := in.Outcome
		if c.identified {
			outcome = mesh.MayHaveRun // without a claim, earlier sends of the request may have run
		}
		n.reject(c.id, outcome, in.Reason, out)
	}
	n.releaseCall(c)
}
