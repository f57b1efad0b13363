package callsim

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// backend simulates one backend server. It runs up to slots calls at once and
// queues the others in order of arrival.
type backend struct {
	sim               *Sim
	node              *node
	slots             int
	running           int
	queue             []*attempt
	serviceTimeFactor float64 // multiplies the drawn service times
	failsCalls        bool    // answers each call with a failure after failureServiceTime
	hidesLoad         bool    // reports zero load
}

// newBackend returns the backend server of n. An instance fault of the run affects
// only the first instance of each service.
func newBackend(s *Sim, n *node, info routing.Instance, firstOfService bool) *backend {
	b := &backend{sim: s, node: n, slots: int(info.Slots), serviceTimeFactor: 1}
	if !firstOfService {
		return b
	}
	switch s.config.Fault {
	case SlowInstance:
		b.serviceTimeFactor = slowInstanceFactor
	case MisreportedLoad:
		b.slots = max(1, b.slots/announcedPerRealSlot)
		b.hidesLoad = true
	case MisreportedHealth:
		b.failsCalls = true
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

// serviceTime draws the service time of a call from a log-normal distribution
// with mean meanServiceTime, multiplied by serviceTimeFactor.
func (b *backend) serviceTime() time.Duration {
	if b.failsCalls {
		return failureServiceTime
	}
	logFactor := b.sim.random.NormFloat64()*serviceTimeSigma - serviceTimeSigma*serviceTimeSigma/2
	return time.Duration(math.Exp(logFactor) * b.serviceTimeFactor * float64(meanServiceTime))
}

// reportedLoad returns the load that the answer of a call carries when the
// gate's load is l.
func (b *backend) reportedLoad(l mesh.Load) mesh.Load {
	if b.hidesLoad {
		return mesh.Load{Slots: l.Slots}
	}
	return l
}
