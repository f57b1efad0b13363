package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/claims"
	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// call is a call in progress at its entry node.
type call struct {
	id mesh.CallID
	// route is nil for a call that was relayed.
	route       *config.ResolvedRoute
	retry       retry.Call
	deadline    mesh.Time
	fingerprint mesh.Fingerprint
	crashes     uint8
	// identified is set for a non-idempotent call with a caller's identity,
	// claimed once that identity was granted.
	identified bool
	claimed    bool
	identity   claims.Identity
	// sent is set while an attempt is in flight to target.
	sent   bool
	sentAt mesh.Time
	target routing.Target
	// hosts and instances hold the targets of earlier attempts, hosts also the
	// peer that a call was relayed to.
	hosts     []mesh.HostID
	instances []mesh.InstanceID
}

func (n *Node) newCall(id mesh.CallID) *call {
	var c *call
	if last := len(n.freeCalls) - 1; last >= 0 {
		c = n.freeCalls[last]
		n.freeCalls = n.freeCalls[:last]
		*c = call{hosts: c.hosts[:0], instances: c.instances[:0]}
	} else {
		c = &call{
			hosts:     make([]mesh.HostID, 0, retry.DefaultMaxAttempts),
			instances: make([]mesh.InstanceID, 0, retry.DefaultMaxAttempts),
		}
	}
	c.id = id
	n.calls[id] = c
	return c
}

func (n *Node) endCall(c *call) {
	delete(n.calls, c.id)
	n.freeCalls = append(n.freeCalls, c)
}

// callArrived classifies a call and starts its first attempt or its claim.
func (n *Node) callArrived(ev *Event, out *Ready) {
	in := &ev.Call
	n.counters.Calls++
	if _, ok := n.calls[in.Call]; ok {
		n.counters.BadMessages++
		return
	}
	if n.relayed(ev, out) {
		return
	}
	if n.accepted == nil {
		n.rejectEarly(in, mesh.ReasonNoConfiguration, out)
		return
	}
	route, ok := n.accepted.Index.Match(in.Service, in.Method, in.Path)
	if !ok {
		n.rejectEarly(in, mesh.ReasonNoRoute, out)
		return
	}
	if n.draining(ev.Now) {
		n.rejectEarly(in, mesh.ReasonDraining, out)
		return
	}
	check := n.poison.Check(ev.Now, in.Fingerprint, in.Crashes)
	if check.Verdict == poison.Convicted {
		n.reject(in.Call, mesh.MayHaveRun, mesh.ReasonPoison, out)
		return
	}
	c := n.newCall(in.Call)
	c.route, c.fingerprint, c.crashes = route, in.Fingerprint, check.Crashes
	c.deadline = ev.Now.Add(callTime(in, &route.Class))
	c.retry = n.retrier.Begin(route.Class.Name, c.deadline)
	c.identified = !route.Class.Idempotent && len(in.RequestID) > 0
	if c.identified {
		n.claim(ev, c, out)
		return
	}
	n.attempt(ev.Now, ev.Seed, c, out)
}

// callTime returns the time that a call has: the caller's, but no more than
// the class grants.
func callTime(in *CallArrived, class *config.Class) time.Duration {
	millis := class.DeadlineMillis
	if in.DeadlineMillis != 0 && in.DeadlineMillis < millis {
		millis = in.DeadlineMillis
	}
	return time.Duration(millis) * time.Millisecond
}

// rejectEarly rejects a call before its class and claim are known. An earlier
// send of a request with an identity may have run, so only a call without one
// is surely not run.
func (n *Node) rejectEarly(in *CallArrived, reason mesh.Reason, out *Ready) {
	outcome := mesh.NotRun
	if len(in.RequestID) > 0 {
		outcome = mesh.MayHaveRun
	}
	n.reject(in.Call, outcome, reason, out)
}

func (n *Node) reject(id mesh.CallID, outcome mesh.Outcome, reason mesh.Reason, out *Ready) {
	if outcome == mesh.NotRun {
		n.counters.NotRun++
	} else {
		n.counters.MayHaveRun++
	}
	out.Calls = append(out.Calls, CallEffect{Call: id, Action: CallReject, Outcome: outcome, Reason: reason})
}

func (n *Node) claim(ev *Event, c *call, out *Ready) {
	id, err := claims.ParseIdentity(string(ev.Call.RequestID))
	if err != nil {
		// A malformed identity was never granted by any node.
		n.endCall(c)
		n.reject(c.id, mesh.NotRun, mesh.ReasonBadIdentity, out)
		return
	}
	c.identity = id
	n.counters.ClaimsAsked++
	n.claims.Claim(ev.Now, c.id, id, &n.scratch.claims)
	n.flushClaims(ev.Now, ev.Seed, out)
}

// claimDecided continues a call that waited for its claim.
func (n *Node) claimDecided(now mesh.Time, seed uint64, v claims.CallVerdict, out *Ready) {
	c := n.calls[v.Call]
	if c == nil {
		n.claims.Release(now, v.Call, &n.scratch.claims)
		return
	}
	switch v.Verdict {
	case claims.VerdictGranted:
		n.counters.ClaimsGranted++
		c.claimed = true
		n.attempt(now, seed, c, out)
		return
	case claims.VerdictFuture:
		n.reject(c.id, mesh.NotRun, mesh.ReasonBadIdentity, out)
	case claims.VerdictDuplicate:
		n.reject(c.id, mesh.MayHaveRun, mesh.ReasonDuplicate, out)
		n.noteIdentified(c, "call.duplicate", mesh.ReasonDuplicate, out)
	default:
		n.reject(c.id, mesh.MayHaveRun, mesh.ReasonClaimUnavailable, out)
	}
	n.endCall(c)
}

// attempt chooses a target and forwards the awaited attempt to it. A claim may
// take longer than the call has, so the deadline is checked here.
func (n *Node) attempt(now mesh.Time, seed uint64, c *call, out *Ready) {
	if now >= c.deadline {
		n.finish(now, c, n.retrier.NoTarget(&c.retry, mesh.ReasonDeadline), out)
		return
	}
	choice := n.choose(now, seed, c)
	if choice.Miss != routing.MissNone {
		n.finish(now, c, n.retrier.NoTarget(&c.retry, mesh.ReasonNoTarget), out)
		return
	}
	member := n.members.Member(choice.Target.Host)
	if member == nil {
		n.router.Done(now, choice.Target, routing.Result{Outcome: mesh.NotRun, Reason: mesh.ReasonNoTarget})
		n.finish(now, c, n.retrier.NoTarget(&c.retry, mesh.ReasonNoTarget), out)
		return
	}
	c.target, c.sentAt, c.sent = choice.Target, now, true
	out.Calls = append(out.Calls, CallEffect{
		Call: c.id, Action: CallForward, Attempt: c.retry.Attempt(),
		Host: member.Host, Addr: member.CallAddr, Instance: choice.Target.Instance, Version: choice.Target.Version,
		Priority: c.route.Class.Priority, Deadline: c.deadline, Crashes: c.crashes, Idempotent: c.route.Class.Idempotent,
	})
}

// noDraw selects the old version of a running move.
const noDraw = ^uint64(0)

func (n *Node) choose(now mesh.Time, seed uint64, c *call) routing.Choice {
	service := c.route.Service.Name
	excluded := routing.Excluded{Hosts: c.hosts, Instances: c.instances}
	pinned := n.moves.Choose(service, c.route.Route.Name, mix(seed))
	if !pinned.Moving {
		return n.router.Choose(now, seed, service, excluded)
	}
	fallback := n.moves.Choose(service, c.route.Route.Name, noDraw).Version
	return n.router.ChooseVersion(now, seed, service, pinned.Version, fallback, excluded)
}

// mix derives a second random number from a step's seed, so that the draw of
// the version and the draw of the instance are independent.
func mix(seed uint64) uint64 {
	source := random.New(seed)
	return source.Next()
}

// attemptDone records the result of an attempt and decides what follows.
func (n *Node) attemptDone(ev *Event, out *Ready) {
	in := &ev.Attempt
	c := n.calls[in.Call]
	if c != nil && c.route == nil {
		n.relayDone(ev, c, out)
		return
	}
	if c == nil || !c.sent || in.Attempt != c.retry.Attempt() {
		n.counters.LateAnswers++
		return
	}
	c.sent = false
	n.recordAttempt(ev.Now, c, in, out)
	c.hosts = append(c.hosts, c.target.Host)
	c.instances = append(c.instances, c.target.Instance)
	if in.Crashed && n.crashed(ev.Now, c, in) {
		n.finish(ev.Now, c, retry.Decision{Action: retry.Reject, Outcome: mesh.MayHaveRun, Reason: mesh.ReasonPoison}, out)
		return
	}
	d := n.retrier.Done(ev.Now, &c.retry, retry.Result{Attempt: in.Attempt, Outcome: in.Outcome, Reason: in.Reason})
	if d.Action == retry.Retry {
		n.attempt(ev.Now, ev.Seed, c, out)
		return
	}
	n.finish(ev.Now, c, d, out)
}

// crashed takes in the gate's count of crashes and reports whether the request
// is convicted. This node learns a conviction at once, before the tree brings
// it, so that neither a retry nor a resend crashes another backend server.
func (n *Node) crashed(now mesh.Time, c *call, in *AttemptDone) bool {
	c.crashes = max(poison.CountAfterCrash(c.crashes), in.Crashes)
	if c.crashes < poison.ConvictionCrashes {
		return false
	}
	n.poison.Merge(now, []poison.Entry{{Fingerprint: c.fingerprint, Crashes: c.crashes, At: now}})
	return true
}

// recordAttempt feeds the result to routing and to the evidence of moves.
func (n *Node) recordAttempt(now mesh.Time, c *call, in *AttemptDone, out *Ready) {
	latency := now.Sub(c.sentAt)
	change := n.router.Done(now, c.target, routing.Result{
		Outcome: in.Outcome, Reason: in.Reason, Failed: in.Failed, Latency: latency, Load: in.Load, HasLoad: in.HasLoad,
	})
	if change != routing.Unchanged {
		n.standingChanged(c.target, change, out)
	}
	if in.Outcome == mesh.NotRun {
		return
	}
	n.moves.Record(now, &moves.CallResult{
		Service: c.target.Service, Version: c.target.Version, Route: c.route.Route.Name, Class: c.route.Class.Name,
		Instance: c.target.Instance, Outcome: in.Outcome, Failed: in.Failed, Crashed: in.Crashed, Crashes: c.crashes,
		Cold: n.cold(now, c.target.Instance), Latency: latency,
	})
}

// finish ends a call with a decision and settles its claim.
func (n *Node) finish(now mesh.Time, c *call, d retry.Decision, out *Ready) {
	switch {
	case d.Action == retry.Respond:
		n.counters.Answered++
		out.Calls = append(out.Calls, CallEffect{
			Call: c.id, Action: CallRespond, Attempt: c.retry.Attempt(), Version: c.target.Version, Outcome: d.Outcome,
		})
	default:
		n.reject(c.id, d.Outcome, d.Reason, out)
		if d.Outcome == mesh.MayHaveRun {
			n.noteIdentified(c, "call.may_have_run", d.Reason, out)
		}
	}
	if c.claimed && d.Outcome == mesh.NotRun {
		n.claims.Release(now, c.id, &n.scratch.claims)
		n.flushClaimSends(now, out)
	} else if c.claimed {
		n.claims.Finish(c.id)
	}
	n.endCall(c)
}

// noteIdentified records the end of a non-idempotent call whose caller cannot
// tell from it whether the request ran.
func (n *Node) noteIdentified(c *call, kind string, reason mesh.Reason, out *Ready) {
	if c.identified {
		out.Timeline = append(out.Timeline, TimelineEntry{
			Kind: kind, Call: c.identity.String(), Detail: reason.String(), Host: n.settings.Host,
		})
	}
}

// callCancelled ends a call whose caller has gone. An attempt in flight counts
// neither for nor against its target.
func (n *Node) callCancelled(ev *Event, _ *Ready) {
	c := n.calls[ev.CallID]
	if c == nil {
		return
	}
	if c.sent {
		n.router.Done(ev.Now, c.target, routing.Result{Outcome: mesh.NotRun, Reason: mesh.ReasonDeadline})
	}
	if c.claimed {
		n.claims.Finish(c.id)
	}
	n.endCall(c)
}
