// Package admission is the admission control of a host, called its gate: it
// decides which forwarded calls are dispatched, queued or rejected before any byte
// reaches a backend server. It is a pure reducer: time is an argument and effects
// are appended to the caller's slice.
package admission

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Limits bounds the work that the gate accepts.
type Limits struct {
	// QueuePerSlot is the number of calls that may wait for each slot of an
	// instance.
	QueuePerSlot int
	// InitialServiceTime is the expected duration of a call at an instance
	// that has not finished any call.
	InitialServiceTime time.Duration
}

// Instance describes one backend server on this host.
type Instance struct {
	ID    mesh.InstanceID
	Slots uint16
	// Draining is set once the backend server takes no new work.
	Draining bool
}

// Call is a forwarded call at the gate.
type Call struct {
	// ID is unique among the calls at this gate.
	ID       mesh.CallID
	Instance mesh.InstanceID
	// TenantRank is the rank of the tenant, zero for the highest. It goes before Priority.
	TenantRank int
	Priority   mesh.Priority
	// Route selects the expected duration of the call. It may be empty.
	Route mesh.Route
	// Tenant is the tenant of the call, empty for none.
	Tenant mesh.Tenant
	// Work is the predicted work of the call as a multiple of the mean of its route.
	// Zero stands for the mean.
	Work float64
	// Deadline is the time after which an answer is useless.
	Deadline mesh.Time
	// Target is the time by which the call should end; a later answer has less
	// value for the caller. Calls that can still meet their target are dispatched
	// before those that cannot. Zero means no target.
	Target      mesh.Time
	Fingerprint mesh.Fingerprint
	// Exclusive is set for a suspect of package poison. The call runs only while
	// no other call is in flight in the same instance.
	Exclusive bool
}

// Action is the kind of an Effect.
type Action uint8

// Actions of the gate.
const (
	// Dispatch sends the call to its instance.
	Dispatch Action = iota + 1
	// Reject answers the call as not run, with Reason.
	Reject
	// InstanceEmpty reports that a draining instance has no call left.
	InstanceEmpty
	// NodeEmpty reports that the draining gate has no call left.
	NodeEmpty
)

// Effect is one result of an event. Call is valid for Dispatch and Reject.
type Effect struct {
	Action   Action
	Call     mesh.CallID
	Instance mesh.InstanceID
	Reason   mesh.Reason
	Deadline mesh.Time
	// Predicted is the expected service time of a dispatched call with predicted work.
	Predicted time.Duration
	// Load is the load of the instance after the step.
	Load mesh.Load
}

// Finish tells how a dispatched call ended.
type Finish uint8

// Ends of a dispatched call.
const (
	// Finished means that the instance worked on the call and answered. Its
	// duration counts for the estimated service time.
	Finished Finish = iota + 1
	// NotStarted means that the instance refused the call or that no byte of the
	// call was written to it.
	NotStarted
	// Lost means that the call was written and no complete answer was received.
	Lost
)

// Gate is the admission state of one host. It is not safe for concurrent use.
type Gate struct {
	limits        Limits
	instances     map[mesh.InstanceID]*instance
	instancesByID []*instance // sorted by ID, so that effects have a fixed order
	calls         map[mesh.CallID]*call
	freeCalls     *call  // head of the free list of records
	sequence      uint64 // of the last call that arrived
	shares        tenantShares
	draining      bool
	emptyReported bool // NodeEmpty was already reported
}
