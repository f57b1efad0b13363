package callsim

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// gate is the admission control of one host: an admission.Gate or an
// unboundedGate.
type gate interface {
	Arrive(now mesh.Time, c admission.Call, out []admission.Effect) []admission.Effect
	Done(now mesh.Time, id mesh.CallID, f admission.Finish, out []admission.Effect) []admission.Effect
	Cancel(now mesh.Time, id mesh.CallID, out []admission.Effect) ([]admission.Effect, bool)
	Tick(now mesh.Time, out []admission.Effect) []admission.Effect
	Load(id mesh.InstanceID) mesh.Load
}

func newGate(shedding bool, id mesh.InstanceID, slots uint16) gate {
	if !shedding {
		return &unboundedGate{slots: slots, running: make(map[mesh.CallID]bool)}
	}
	g := admission.New(admission.Limits{InitialServiceTime: meanServiceTime})
	g.SetInstance(0, admission.Instance{ID: id, Slots: slots}, nil)
	return g
}

// unboundedGate queues every call in order of arrival and refuses none. It
// replaces admission.Gate in runs with Config.NoShedding.
type unboundedGate struct {
	slots   uint16
	running map[mesh.CallID]bool
	queue   []mesh.CallID
}

func (g *unboundedGate) Arrive(_ mesh.Time, c admission.Call, out []admission.Effect) []admission.Effect {
	g.queue = append(g.queue, c.ID)
	return g.dispatch(out)
}

func (g *unboundedGate) Done(_ mesh.Time, id mesh.CallID, _ admission.Finish, out []admission.Effect) []admission.Effect {
	delete(g.running, id)
	return g.dispatch(out)
}

func (g *unboundedGate) Cancel(_ mesh.Time, id mesh.CallID, out []admission.Effect) ([]admission.Effect, bool) {
	i := slices.Index(g.queue, id)
	if i >= 0 {
		g.queue = slices.Delete(g.queue, i, i+1)
	}
	return out, i >= 0
}

func (g *unboundedGate) Tick(_ mesh.Time, out []admission.Effect) []admission.Effect { return out }

func (g *unboundedGate) Load(mesh.InstanceID) mesh.Load {
	queued := min(len(g.queue), 1<<16-1)
	return mesh.Load{Slots: g.slots, InUse: uint16(len(g.running)), Queued: uint16(queued)}
}

func (g *unboundedGate) dispatch(out []admission.Effect) []admission.Effect {
	for len(g.queue) > 0 && len(g.running) < int(g.slots) {
		id := g.queue[0]
		g.queue = g.queue[1:]
		g.running[id] = true
		out = append(out, admission.Effect{Action: admission.Dispatch, Call: id})
	}
	return out
}
