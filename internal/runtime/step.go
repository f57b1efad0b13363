package runtime

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/hlc"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
)

// waiterCapacity is the number of effects that may be queued for one request.
// While a request is in an attempt, the only further effect on it can be a
// rejection.
const waiterCapacity = 4

// callWaiter is the channel on which the goroutine of a call at its entry node
// receives the effects on it.
type callWaiter chan core.CallEffect

// gateWaiter is the channel on which the goroutine of a call at the gate
// receives the effects on it.
type gateWaiter chan core.GateEffect

func now() mesh.Time { return mesh.Time(time.Now().UnixNano()) }

// step passes one event to the reducer and starts the effects. It never blocks
// on I/O and recovers from a panic of the reducer.
func (n *Node) step(ev *core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev *core.Event) {
	defer n.recoverPanic("reducer")
	defer n.ready.Reset()
	ev.Now, ev.Seed = now(), rand.Uint64()
	n.opts.Metrics.Steps.Add(1)
	n.stepper.Step(ev, &n.ready)
	n.execute(ev.Now)
}

// execute starts the effects of the step. The caller holds the mutex.
func (n *Node) execute(at mesh.Time) {
	for i := range n.ready.Calls {
		effect := &n.ready.Calls[i]
		offer(n, n.calls[effect.Call], *effect)
	}
	for i := range n.ready.Gates {
		effect := &n.ready.Gates[i]
		offer(n, n.gates[effect.Call], *effect)
	}
	for i := range n.ready.Replies {
		reply := &n.ready.Replies[i]
		offer(n, n.operators[reply.ID], *reply)
	}
	for i := range n.ready.Timeline {
		n.recordTimeline(at, &n.ready.Timeline[i])
	}
	for i := range n.ready.Sends {
		send := &n.ready.Sends[i]
		send.Envelope.Clock = uint64(n.clock.Now(at))
		n.peers.send(send.Addr, send.Envelope)
	}
	for i := range n.ready.Platform {
		n.platform.submit(n.ready.Platform[i])
	}
	if n.ready.Drained {
		n.drainedOnce.Do(func() { close(n.drained) })
	}
}

// offer sends an effect to its waiter without blocking. The waiter is nil if
// the request has ended. An effect that is not received is counted as late.
func offer[T any](n *Node, waiter chan T, effect T) {
	if waiter != nil {
		select {
		case waiter <- effect:
			return
		default:
		}
	}
	n.opts.Metrics.LateEffects.Add(1)
}

// recordTimeline adds an entry to the timeline and logs it. Entries about
// single calls are not logged, because counters tell how many there are.
func (n *Node) recordTimeline(at mesh.Time, e *core.TimelineEntry) {
	n.ring.Add(timeline.Entry{
		Clock: n.clock.Now(at), Recorder: n.opts.Host,
		Kind: e.Kind, Detail: e.Detail, Config: e.Config, Move: e.Move, Host: e.Host, Call: e.Call,
	})
	if e.Call == "" {
		n.opts.Log.Info(e.Kind, logAttributes(e)...)
	}
}

// logAttributes returns the fields of an entry that are set. The key for the
// host that an entry is about is "about", because "host" is the host that logs.
func logAttributes(e *core.TimelineEntry) []any {
	attrs := make([]any, 0, 8)
	add := func(key, value string) {
		if value != "" {
			attrs = append(attrs, key, value)
		}
	}
	add("detail", e.Detail)
	add("move", string(e.Move))
	add("about", string(e.Host))
	if e.Config != 0 {
		attrs = append(attrs, "config", uint64(e.Config))
	}
	return attrs
}

// Timeline returns a copy of this host's timeline entries, oldest first.
func (n *Node) Timeline() []timeline.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ring.Entries()
}

// deliver passes the control messages of a peer to the reducer.
func (n *Node) deliver(env *core.Envelope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.clock.Observe(hlc.Timestamp(env.Clock), now()); err != nil {
		n.opts.Metrics.BadControl.Add(1)
	}
	n.stepLocked(&core.Event{Kind: core.KindEnvelope, Envelope: env})
}

// recoverPanic prevents a panic in one step from ending the process. It is
// called by defer.
func (n *Node) recoverPanic(where string) {
	if cause := recover(); cause != nil {
		n.opts.Metrics.Panics.Add(1)
		n.opts.Log.Error("panic recovered", "where", where, "cause", cause)
	}
}
