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

// call is a call in progress at its entry node, the node that received it. A node
// that has no configuration yet, or may not know all moves yet, relays its callers'
// calls to a peer (see tryRelay). The peer is then an entry node of the call, too,
// and handles it like a call from a caller.
type call struct {
	id mesh.CallID
	// route is nil for a call that this node relayed to a peer.
	route       *config.ResolvedRoute
	retry       retry.Call
	deadline    mesh.Time
	fingerprint mesh.Fingerprint
	// crashes is the number of crashes that the request is charged with. It is
	// sent to the gate with each attempt.
	crashes uint8
	// identified is set for a non-idempotent call that carries a request
	// identity. A node that relays a call does not know the class of the call and
	// sets identified whenever the call carries an identity.
	// claimed is set once the claim on the identity was granted.
	identified bool
	claimed    bool
	identity   claims.Identity
	// inFlight is set while an attempt is in flight to target.
	inFlight bool
	sentAt   mesh.Time
	target   routing.Target
	// triedHosts and triedInstances hold the targets of earlier attempts. For a
	// relayed call, triedHosts holds the peers that it was relayed to.
	triedHosts     []mesh.HostID
	triedInstances []mesh.InstanceID
}

func (n *Node) newCall(id mesh.CallID) *call {
	var c *call
	if last := len(n.freeCalls) - 1; last >= 0 {
		c = n.freeCalls[last]
		n.freeCalls = n.freeCalls[:last]
		*c = call{triedHosts: c.triedHosts[:0], triedInstances: c.triedInstances[:0]}
	} else {
		c = &call{
			triedHosts:     make([]mesh.HostID, 0, retry.DefaultMaxAttempts),
			triedInstances: make([]mesh.InstanceID, 0, retry.DefaultMaxAttempts),
		}
	}
	c.id = id
	n.calls[id] = c
	return c
}

func (n *Node) releaseCall(c *call) {
	delete(n.calls, c.id)
	n.freeCalls = append(n.freeCalls, c)
}

// callArrived matches a call to a route and starts its claim or its first
// attempt.
func (n *Node) callArrived(ev *Event, out *Ready) {
	in := &ev.Call
	n.counters.Calls++
	if _, ok := n.calls[in.Call]; ok {
		n.counters.BadMessages++ // a call with the same ID is in progress
		return
	}
	if n.tryRelay(ev, out) {
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
	if n.refusesCalls(ev.Now) {
		n.rejectEarly(in, mesh.ReasonDraining, out)
		return
	}
	fingerprint := poison.Request{Hash: in.Hash, Service: route.Service.Name}.Fingerprint()
	check := n.poison.Check(ev.Now, fingerprint, poison.Suspicion{Crashes: in.Crashes})
	if check.Verdict == poison.Convicted {
		n.reject(in.Call, mesh.MayHaveRun, mesh.ReasonPoison, out)
		return
	}
	c := n.newCall(in.Call)
	c.route, c.fingerprint, c.crashes = route, fingerprint, check.Suspicion.Crashes
	c.deadline = ev.Now.Add(callTimeout(in, &route.Class))
	c.retry = n.retrier.Begin(route.Class.Name, c.deadline)
	c.identified = !route.Class.Idempotent && len(in.RequestID) > 0
	if c.identified {
		n.claim(ev, c, out)
		return
	}
	n.attempt(ev.Now, ev.Seed, c, out)
}

// callTimeout returns the timeout of a call: the one that the caller stated, but
// at most the deadline of the class.
func callTimeout(in *CallArrived, class *config.Class) time.Duration {
	millis := class.DeadlineMillis
	if in.DeadlineMillis != 0 && in.DeadlineMillis < millis {
		millis = in.DeadlineMillis
	}
	return time.Duration(millis) * time.Millisecond
}

// rejectEarly rejects a call before its class and claim are known. An earlier
// send of a request that carries an identity may have run, so only a call
// without an identity is reported as not run.
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

// claim asks for the claim on the request identity of a call: the right to run the
// request. It is granted to one send only, unless that send is known not to have run.
func (n *Node) claim(ev *Event, c *call, out *Ready) {
	id, err := claims.ParseIdentity(string(ev.Call.RequestID))
	if err != nil {
		// No node grants a claim on a malformed identity, so no earlier send can
		// have run.
		n.releaseCall(c)
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
		// The identity's creation time is so far in the future that no node can
		// have granted a claim on it to an earlier send.
		n.reject(c.id, mesh.NotRun, mesh.ReasonBadIdentity, out)
	case claims.VerdictDuplicate:
		n.reject(c.id, mesh.MayHaveRun, mesh.ReasonDuplicate, out)
		n.logUncertainCall(c, "call.duplicate", mesh.ReasonDuplicate, out)
	default:
		n.reject(c.id, mesh.MayHaveRun, mesh.ReasonClaimUnavailable, out)
	}
	n.releaseCall(c)
}

// attempt chooses a target and forwards the next attempt to it. A claim may be
// granted after the deadline of the call, so the deadline is checked here. After
// the deadline no target is chosen, and NoTarget ends the call with the outcome of
// its earlier attempts.
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
	c.target, c.sentAt, c.inFlight = choice.Target, now, true
	out.Calls = append(out.Calls, CallEffect{
		Call: c.id, Action: CallForward, Attempt: c.retry.Attempt(),
		Host: member.Host, Addr: member.CallAddr, Instance: choice.Target.Instance, Version: choice.Target.Version,
		Priority: c.route.Class.Priority, Deadline: c.deadline, Crashes: c.crashes, Idempotent: c.route.Class.Idempotent,
	})
}

// drawOldVersion is the draw for which a running move selects its old version. The
// new version gets the lowest draws, in proportion to its share, so the highest draw
// selects it only once it has the full share.
const drawOldVersion = ^uint64(0)

func (n *Node) choose(now mesh.Time, seed uint64, c *call) routing.Choice {
	service := c.route.Service.Name
	excluded := routing.Excluded{Hosts: c.triedHosts, Instances: c.triedInstances}
	assigned := n.moves.Choose(service, c.route.Route.Name, deriveSeed(seed))
	if !assigned.Moving {
		return n.router.Choose(now, seed, service, excluded)
	}
	fallback := n.moves.Choose(service, c.route.Route.Name, drawOldVersion).Version
	return n.router.ChooseVersion(now, seed, service, assigned.Version, fallback, excluded)
}

// deriveSeed derives a second random number from the seed of a step, so that the
// choice of the version and the choice of the instance are independent.
func deriveSeed(seed uint64) uint64 {
	source := random.New(seed)
	return source.Next()
}

// attemptDone records the result of an attempt and retries or ends the call.
func (n *Node) attemptDone(ev *Event, out *Ready) {
	in := &ev.Attempt
	c := n.calls[in.Call]
	if c != nil && c.route == nil {
		n.relayDone(ev, c, out)
		return
	}
	if c == nil || !c.inFlight || in.Attempt != c.retry.Attempt() {
		n.counters.LateAnswers++
		return
	}
	c.inFlight = false
	n.recordAttempt(ev.Now, c, in, out)
	c.triedHosts = append(c.triedHosts, c.target.Host)
	c.triedInstances = append(c.triedInstances, c.target.Instance)
	if in.Crashed && n.recordCrash(ev.Now, c, in) {
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

// recordCrash updates the crash count of a request after a crash to the larger of
// the count here, which is then at least one, and the count that the gate reported.
// It reports whether the request is now convicted, that is, charged with
// ConvictionCrashes crashes and therefore blocked. The conviction is stored in the
// local poison table at once, before it arrives from the gate's host through the
// distribution tree, so that neither a retry nor a resend crashes another backend
// server.
func (n *Node) recordCrash(now mesh.Time, c *call, in *AttemptDone) bool {
	c.crashes = max(poison.CountAfterCrash(c.crashes), in.Crashes)
	if c.crashes < poison.ConvictionCrashes {
		return false
	}
	n.poison.Merge(now, []poison.Entry{{Fingerprint: c.fingerprint, Crashes: c.crashes, At: now}})
	return true
}

// recordAttempt passes the result of an attempt to routing and, if the call may
// have run, to package moves, which compares the versions of a running move.
func (n *Node) recordAttempt(now mesh.Time, c *call, in *AttemptDone, out *Ready) {
	latency := now.Sub(c.sentAt)
	change := n.router.Done(now, c.target, routing.Result{
		Outcome: in.Outcome, Reason: in.Reason, Failed: in.Failed, Latency: latency, Load: in.Load, HasLoad: in.HasLoad,
	})
	if change != routing.Unchanged {
		n.ejectionChanged(c.target, change, out)
	}
	if in.Outcome == mesh.NotRun {
		return
	}
	n.moves.Record(now, &moves.CallResult{
		Service: c.target.Service, Version: c.target.Version, Route: c.route.Route.Name, Class: c.route.Class.Name,
		Instance: c.target.Instance, Outcome: in.Outcome, Failed: in.Failed, Crashed: in.Crashed, Crashes: c.crashes,
		Cold: n.inColdStart(now, c.target.Instance), Latency: latency,
	})
}

// finish ends a call as the decision says. If the call did not run, it releases the
// claim, so that a resend may run. Otherwise the claim's shard keeps the record of
// the grant, and a resend is rejected as a duplicate.
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
			n.logUncertainCall(c, "call.may_have_run", d.Reason, out)
		}
	}
	if c.claimed && d.Outcome == mesh.NotRun {
		n.claims.Release(now, c.id, &n.scratch.claims)
		n.flushClaimSends(now, out)
	} else if c.claimed {
		n.claims.Finish(c.id)
	}
	n.releaseCall(c)
}

// logUncertainCall adds a timeline entry for a call with a request identity that
// ends with the outcome MayHaveRun, so that its caller does not learn whether the
// request ran.
func (n *Node) logUncertainCall(c *call, kind string, reason mesh.Reason, out *Ready) {
	if c.identified {
		out.Timeline = append(out.Timeline, TimelineEntry{
			Kind: kind, Call: c.identity.String(), Detail: reason.String(), Host: n.settings.Host,
		})
	}
}

// callCancelled ends a call whose caller closed its connection. An attempt in
// flight counts neither for nor against its target, whether it runs or not: package
// routing takes NotRun with ReasonDeadline neither for a success nor for a failure
// of the instance, whereas MayHaveRun with this reason would count as a time-out. The
// attempt may run, so the claim is not released.
func (n *Node) callCancelled(ev *Event, _ *Ready) {
	c := n.calls[ev.CallID]
	if c == nil {
		return
	}
	if c.inFlight {
		n.router.Done(ev.Now, c.target, routing.Result{Outcome: mesh.NotRun, Reason: mesh.ReasonDeadline})
	}
	if c.claimed {
		n.claims.Finish(c.id)
	}
	n.releaseCall(c)
}
