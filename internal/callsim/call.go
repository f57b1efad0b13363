package callsim

import (
	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// call is the state of one call at its entry node, which receives it from the
// caller.
type call struct {
	entry    *node
	class    callClass
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
	id         mesh.CallID // identifies the attempt at the gate of the target host
	call       *call
	number     uint8
	target     routing.Target
	host       *node
	sent       mesh.Time
	dispatched bool
	ended      bool // the entry node no longer waits for it
}

func (s *Sim) startCall() {
	c := &call{
		entry:   s.drawEntryNode(),
		class:   s.drawClass(),
		service: s.instances[s.random.IntN(len(s.instances))].Service,
		arrived: s.engine.now,
	}
	c.deadline = c.arrived.Add(c.class.deadline)
	c.retry = c.entry.retrier.Begin(c.class.name, c.deadline)
	s.measurements.countOffered(s.engine.now)
	s.send(c)
	s.engine.after(c.class.deadline, func() { s.expire(c) })
}

func (s *Sim) drawEntryNode() *node {
	for {
		if n := s.nodes[s.random.IntN(len(s.nodes))]; n.alive {
			return n
		}
	}
}

func (s *Sim) drawClass() callClass {
	remainingShare := s.random.Float64()
	for _, class := range callClasses {
		if remainingShare -= class.share; remainingShare < 0 {
			return class
		}
	}
	return callClasses[0]
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
	s.measurements.countAttempt(s.engine.now)
	s.engine.after(s.networkDelay(c.entry, a.host), func() { s.deliver(a) })
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

// apply executes effects returned by the gate of n.
func (s *Sim) apply(n *node, effects []admission.Effect) {
	s.effects = effects
	for _, e := range effects {
		a := s.attempts[e.Call]
		switch e.Action {
		case admission.Dispatch:
			a.dispatched = true
			n.backend.accept(a)
		case admission.Reject:
			s.sendResult(a, routing.Result{Outcome: mesh.NotRun, Reason: e.Reason, Load: e.Load, HasLoad: true})
		}
	}
}

func (s *Sim) backendDone(b *backend, a *attempt) {
	s.apply(b.node, b.node.gate.Done(s.engine.now, a.id, admission.Finished, s.effects[:0]))
	load := b.reportedLoad(b.node.gate.Load(a.target.Instance))
	s.sendResult(a, routing.Result{Outcome: mesh.Answered, Failed: b.failsCalls, Load: load, HasLoad: true})
}

func (s *Sim) sendResult(a *attempt, res routing.Result) {
	s.engine.after(s.networkDelay(a.call.entry, a.host), func() { s.endAttempt(a, res) })
}

func (s *Sim) connectionLost(a *attempt) {
	res := routing.Result{Outcome: mesh.NotRun, Reason: mesh.ReasonConnectionLost}
	if a.dispatched {
		res.Outcome = mesh.MayHaveRun
	}
	s.engine.after(connectTimeout, func() { s.endAttempt(a, res) })
}

// endAttempt records the result of an attempt at the entry node and carries out
// the decision of the retrier.
func (s *Sim) endAttempt(a *attempt, res routing.Result) {
	delete(s.attempts, a.id)
	c := a.call
	if a.ended || !c.entry.alive {
		return
	}
	a.ended = true
	res.Latency = s.engine.now.Sub(a.sent)
	c.entry.policy.Done(s.engine.now, a.target, res)
	decision := c.entry.retrier.Done(s.engine.now, &c.retry,
		retry.Result{Attempt: a.number, Outcome: res.Outcome, Reason: res.Reason})
	switch decision.Action {
	case retry.Retry:
		s.send(c)
	case retry.Respond:
		c.done = true
		s.measurements.countAnswer(s.engine.now, c, res.Failed)
	case retry.Reject:
		c.done = true
	}
}

// expire ends a call whose deadline has passed without an answer, and cancels
// its current attempt at the gate.
func (s *Sim) expire(c *call) {
	if c.done || !c.entry.alive {
		return
	}
	a := c.current
	s.endAttempt(a, routing.Result{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonDeadline})
	s.attempts[a.id] = a // the gate may still dispatch or finish it
	if !a.host.alive {
		return
	}
	effects, _ := a.host.gate.Cancel(s.engine.now, a.id, s.effects[:0])
	s.apply(a.host, effects)
}
