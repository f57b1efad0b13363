package runtime

import (
	"math/rand/v2"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/hlc"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/timeline"
)

// waiterEffects is the number of effects that may be queued for one request.
// A request in an attempt can be named at most by a rejection meanwhile.
const waiterEffects = 4

// callWaiter receives the effects on one call at its entry node.
type callWaiter chan core.CallEffect

// gateWaiter receives the effects on one call at the gate.
type gateWaiter chan core.GateEffect

func now() mesh.Time { return mesh.Time(time.Now().UnixNano()) }

// step runs one event through the reducer and starts the effects. It never
// blocks on I/O and recovers from a panic of the reducer.
func (n *Node) step(ev *core.Event) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stepLocked(ev)
}

func (n *Node) stepLocked(ev *core.Event) {
	defer n.recovered("reducer")
	defer n.ready.Reset()
	ev.Now, ev.Seed = now(), rand.Uint64()
	n.opts.Metrics.Steps.Add(1)
	n.stepper.Step(ev, &n.ready)
	n.execute(ev.Now)
}

// execute hands out the effects of the step. Callers hold the mutex.
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
		n.record(at, &n.ready.Timeline[i])
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

// offer hands an effect to its waiter. A request that has ended has none.
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

// record adds an entry to the timeline. Entries about single calls are not
// logged: counters tell how many there are.
func (n *Node) record(at mesh.Time, e *core.TimelineEntry) {
	n.ring.Add(timeline.Entry{
		Clock: n.clock.Now(at), Recorder: n.opts.Host,
		Kind: e.Kind, Detail: e.Detail, Config: e.Config, Move: e.Move, Host: e.Host, Call: e.Call,
	})
	if e.Call == "" {
		n.opts.Log.Info(e.Kind, logAttributes(e)...)
	}
}

// logAttributes returns the fields of an entry that are set. The host that an
// entry is about is named "about", as "host" is the logging host.
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

// Timeline returns a copy of this host's timeline, oldest first.
func (n *Node) Timeline() []timeline.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ring.Entries()
}

// deliver takes in the control messages of a peer.
func (n *Node) deliver(env *core.Envelope) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.clock.Observe(hlc.Timestamp(env.Clock), now()); err != nil {
		n.opts.Metrics.BadControl.Add(1)
	}
	n.stepLocked(&core.Event{Kind: core.KindEnvelope, Envelope: env})
}

// recovered keeps a panic in one request from ending the process. It is called
// by defer.
func (n *Node) recovered(where string) {
	if cause := recover(); cause != nil {
		n.opts.Metrics.Panics.Add(1)
		n.opts.Log.Error("panic recovered", "where", where, "cause", cause)
	}
}
