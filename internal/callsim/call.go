package callsim

import (
	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// call is one call at its entry node.
type call struct {
	entry    *node
	class    workClass
	service  mesh.Service
	arrived  mesh.Time
	deadline mesh.Time
	retry    retry.Call
	excluded routing.Excluded
	current  *attempt
	done     bool
}

// attempt is one attempt of a call.
type attempt struct {
	id         mesh.CallID // at the gate
	call       *call
	number     uint8
	target     routing.Target
	host       *node
	sent       mesh.Time
	dispatched bool
	ended      bool // the entry node no longer waits for it
}

func (s *Sim) arrive() {
	c := &call{
		entry:   s.drawEntry(),
		class:   s.drawClass(),
		service: s.instances[s.random.IntN(len(s.instances))].Service,
		arrived: s.engine.now,
	}
	c.deadline = c.arrived.Add(c.class.deadline)
	c.retry = c.entry.retrier.Begin(c.class.name, c.deadline)
	s.measured.offered(s.engine.now)
	s.send(c)
	s.engine.after(c.class.deadline, func() { s.expire(c) })
}

func (s *Sim) drawEntry() *node {
	for {
		if n := s.nodes[s.random.IntN(len(s.nodes))]; n.alive {
			return n
		}
	}
}

func (s *Sim) drawClass() workClass {
	x := s.random.Float64()
	for _, w := range workClasses {
		if x -= w.share; x < 0 {
			return w
		}
	}
	return workClasses[0]
}

// send chooses a target and delivers the next attempt to its gate.
func (s *Sim) send(c *call) {
	choice := c.entry.policy.Choose(s.engine.now, s.random.Uint64(), c.service, c.excluded)
	if choice.Miss != routing.MissNone {
		c.entry.retrier.NoTarget(&c.retry, mesh.ReasonNoTarget)
		c.done = true
		return
	}
	s.lastID++
	a := &attempt{id: s.lastID, call: c, number: c.retry.Attempt(), target: choice.Target,
		host: s.byHost[choice.Target.Host], sent: s.engine.now}
	s.attempts[a.id] = a
	c.current = a
	c.excluded.Instances = append(c.excluded.Instances, a.target.Instance)
	s.measured.sent(s.engine.now)
	s.engine.after(s.delay(c.entry, a.host), func() { s.deliver(a) })
}

func (s *Sim) deliver(a *attempt) {
	if !a.host.alive {
		s.connectionLost(a)
		return
	}
	c := admission.Call{ID: a.id, Instance: a.target.Instance, Priority: a.call.class.priority,
		Deadline: a.call.deadline}
	s.apply(a.host, a.host.gate.Arrive(s.engine.now, c, s.effects[:0]))
}

// apply executes the effects of a gate.
func (s *Sim) apply(n *node, effects []admission.Effect) {
	s.effects = effects
	for _, e := range effects {
		a := s.attempts[e.Call]
		switch e.Action {
		case admission.Dispatch:
			a.dispatched = true
			n.backend.accept(a)
		case admission.Reject:
			s.reply(a, routing.Result{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true})
		}
	}
}

func (s *Sim) backendDone(b *backend, a *attempt) {
	s.apply(b.node, b.node.gate.Done(s.engine.now, a.id, admission.Finished, s.effects[:0]))
	load := b.report(b.node.gate.Load(a.target.Instance))
	s.reply(a, routing.Result{Outcome: mesh.Answered, Failed: b.fails, Load: load, HasLoad: true})
}

func (s *Sim) reply(a *attempt, res routing.Result) {
	s.engine.after(s.delay(a.call.entry, a.host), func() { s.result(a, res) })
}

func (s *Sim) connectionLost(a *attempt) {
	res := routing.Result{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}
	if a.dispatched {
		res.Outcome = mesh.MayHaveRun
	}
	s.engine.after(connectTimeout, func() { s.result(a, res) })
}

// result ends an attempt at the entry node and follows the retry decision.
func (s *Sim) result(a *attempt, res routing.Result) {
	delete(s.attempts, a.id)
	c := a.call
	if a.ended || !c.entry.alive {
		return
	}
	a.ended = true
	res.Latency = s.engine.now.Sub(a.sent)
	c.entry.policy.Done(s.engine.now, a.target, res)
	d := c.entry.retrier.Done(s.engine.now, &c.retry,
		retry.Result{Attempt: a.number, Outcome: res.Outcome, Reason: res.Reason})
	switch d.Action {
	case retry.Retry:
		s.send(c)
	case retry.Respond:
		c.done = true
		s.measured.answered(s.engine.now, c, res.Failed)
	case retry.Reject:
		c.done = true
	}
}

// expire gives up a call at its deadline and cancels it at the gate.
func (s *Sim) expire(c *call) {
	if c.done || !c.entry.alive {
		return
	}
	a := c.current
	s.result(a, routing.Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDeadline})
	s.attempts[a.id] = a // the gate may still hold it
	if !a.host.alive {
		return
	}
	effects, _ := a.host.gate.Cancel(s.engine.now, a.id, s.effects[:0])
	s.apply(a.host, effects)
}
