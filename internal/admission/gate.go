package admission

import "github.com/chicoryscale/chicoryscale/internal/mesh"

type (
	instance struct{}
	call     struct{ next *call }
)

// New returns a Gate without instances.
func New(limits Limits) *Gate {
	return &Gate{
		limits:    limits,
		instances: make(map[mesh.InstanceID]*instance),
		calls:     make(map[mesh.CallID]*call),
	}
}

// SetInstance adds an instance or changes its slots. A draining instance
// takes no new call: its queued calls are rejected, those in flight finish.
func (g *Gate) SetInstance(now mesh.Time, in Instance, out []Effect) []Effect { return out }

// RemoveInstance removes an instance whose lease has ended. Its queued calls
// are rejected; calls in flight stay until Done.
func (g *Gate) RemoveInstance(now mesh.Time, id mesh.InstanceID, out []Effect) []Effect { return out }

// Arrive admits, queues or rejects a call.
func (g *Gate) Arrive(now mesh.Time, c Call, out []Effect) []Effect { return out }

// Done releases the slot of a dispatched call.
func (g *Gate) Done(now mesh.Time, id mesh.CallID, res DoneResult, out []Effect) []Effect { return out }

// Cancel removes a queued call without an effect for it. A call in flight
// keeps its slot until Done. It reports whether the call was queued.
func (g *Gate) Cancel(now mesh.Time, id mesh.CallID, out []Effect) ([]Effect, bool) {
	return out, false
}

// Tick rejects queued calls whose deadline can no longer be met.
func (g *Gate) Tick(now mesh.Time, out []Effect) []Effect { return out }

// Drain stops the whole gate: new calls are rejected, accepted calls finish.
func (g *Gate) Drain(now mesh.Time, out []Effect) []Effect { return out }

// Load returns the load of an instance; the zero Load for an unknown one.
func (g *Gate) Load(id mesh.InstanceID) mesh.Load { return mesh.Load{} }

// Empty reports whether no call is queued or in flight.
func (g *Gate) Empty() bool { return len(g.calls) == 0 }

// AppendInFlight appends the fingerprints of the calls in flight in an
// instance to dst, in the order of dispatch, for poison.Table.Crashed.
func (g *Gate) AppendInFlight(id mesh.InstanceID, dst []mesh.Fingerprint) []mesh.Fingerprint {
	return dst
}
