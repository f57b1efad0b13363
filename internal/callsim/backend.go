package callsim

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// backend is the fake of one backend server. It runs up to slots calls at once
// and queues the others in order of arrival.
type backend struct {
	sim     *Sim
	node    *node
	slots   int
	running int
	queue   []*attempt
	slow    float64 // factor on service times
	fails   bool    // answers each call with a quick failure
	lies    bool    // reports no load
}

func newBackend(s *Sim, n *node, info routing.Instance, first bool) *backend {
	b := &backend{sim: s, node: n, slots: int(info.Slots), slow: 1}
	if !first {
		return b
	}
	switch s.config.Fault {
	case SlowInstance:
		b.slow = slowdown
	case MisreportedLoad:
		b.slots = max(1, b.slots/slotsClaimed)
		b.lies = true
	case MisreportedHealth:
		b.fails = true
	}
	return b
}

func (b *backend) accept(a *attempt) {
	if b.running == b.slots {
		b.queue = append(b.queue, a)
		return
	}
	b.run(a)
}

func (b *backend) run(a *attempt) {
	b.running++
	b.sim.engine.after(b.serviceTime(), func() { b.finish(a) })
}

func (b *backend) finish(a *attempt) {
	if !b.node.alive {
		return
	}
	b.running--
	if len(b.queue) > 0 {
		next := b.queue[0]
		b.queue = b.queue[1:]
		b.run(next)
	}
	b.sim.backendDone(b, a)
}

// serviceTime draws from a log-normal distribution with the mean
// meanServiceTime.
func (b *backend) serviceTime() time.Duration {
	if b.fails {
		return quickFailure
	}
	x := b.sim.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2
	return time.Duration(math.Exp(x) * b.slow * float64(meanServiceTime))
}

// report is the load that travels on an answer.
func (b *backend) report(l mesh.Load) mesh.Load {
	if b.lies {
		return mesh.Load{Slots: l.Slots}
	}
	return l
}
