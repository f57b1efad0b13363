package core

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// callEndGrace is the time after a call's deadline within which the runtime
	// is expected to report the end of the attempt in flight.
	callEndGrace = 100 * time.Millisecond
	// expireInterval is the pause between searches for expired calls. It can
	// delay an expiry beyond callEndGrace and saves the search on most ticks.
	expireInterval = 50 * time.Millisecond
)

// expireCalls ends the calls whose attempt, relay or claim has no result after
// the deadline, so that neither a caller nor a graceful stop waits for them.
func (n *Node) expireCalls(now mesh.Time, out *Ready) {
	if now < n.nextExpireAt {
		return
	}
	n.nextExpireAt = now.Add(expireInterval)
	expired := n.scratch.expiredCalls[:0]
	for id, c := range n.calls {
		if now >= c.deadline.Add(callEndGrace) {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		n.expireCall(now, n.calls[id], out)
	}
	n.scratch.expiredCalls = expired
}

// expireCall rejects a call as may-have-run: an attempt or relay is in flight,
// or the claim has no verdict and an earlier send may have run.
func (n *Node) expireCall(now mesh.Time, c *call, out *Ready) {
	if c.inFlight {
		n.recordAttempt(now, c, &AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDeadline}, out)
	}
	if c.claimed {
		n.claims.Finish(c.id)
	}
	n.reject(c.id, mesh.MayHaveRun, mesh.ReasonDeadline, out)
	n.releaseCall(c)
}
