package core

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Ready collects the effects of a step. The runtime executes them and then
// calls Reset, so that the slices are reused.
type Ready struct {
	Calls    []CallEffect
	Gates    []GateEffect
	Sends    []Send
	Platform []PlatformRequest
	Replies  []OperatorReply
	Timeline []TimelineEntry
	// Drained is set once the node may exit after KindDrain.
	Drained bool
}

// CallAction tells what the runtime does with a call.
type CallAction uint8

// Actions on a call at its entry node.
const (
	// CallForward sends an attempt to the gate of Host.
	CallForward CallAction = iota + 1
	// CallRespond returns the answer of attempt Attempt to the caller.
	CallRespond
	// CallReject returns Outcome and Reason to the caller.
	CallReject
	// CallRelay passes the call unchanged to the node on Host.
	CallRelay
)

// CallEffect is an effect on a call at its entry node. A call for which a step
// has no effect stays in progress until a later step.
type CallEffect struct {
	Call    mesh.CallID
	Action  CallAction
	Attempt uint8
	// Host, Addr, Instance and Version name the target of CallForward and
	// CallRelay. Addr is the call address of the target's node.
	Host     mesh.HostID
	Addr     string
	Instance mesh.InstanceID
	Version  mesh.BackendVersion
	Priority mesh.Priority
	// Deadline is the time at which the call is abandoned.
	Deadline   mesh.Time
	Crashes    uint8
	Idempotent bool
	Outcome    mesh.Outcome
	Reason     mesh.Reason
}

// GateAction tells what the runtime does with a call at the gate.
type GateAction uint8

// Actions on a call at the gate.
const (
	// GateDispatch sends the call to the backend server at Addr.
	GateDispatch GateAction = iota + 1
	// GateReject returns Outcome and Reason to the entry node.
	GateReject
	// GateCrashReport states in Crashes how many crashes the request is now
	// charged with. It follows a GateDone with Crashed set, in the same step.
	GateCrashReport
)

// GateEffect is an effect on a call at the gate.
type GateEffect struct {
	Call     mesh.CallID
	Action   GateAction
	Addr     string
	Version  mesh.BackendVersion
	Deadline mesh.Time
	Outcome  mesh.Outcome
	Reason   mesh.Reason
	Crashes  uint8
	// Load is the load of the instance after the step. It is returned to the
	// entry node with the answer.
	Load mesh.Load
}

// Send is an envelope for a peer.
type Send struct {
	// Addr is the control address of the peer.
	Addr     string
	Envelope Envelope
}

// PlatformRequest is a platform request of one owner.
type PlatformRequest struct {
	Owner   Owner
	Request platform.Request
}

// TimelineEntry is one event for the timeline, the log of notable events.
type TimelineEntry struct {
	// Kind is a stable name such as "config.applied".
	Kind   string
	Detail string
	Config mesh.ConfigVersion
	Move   mesh.MoveID
	Host   mesh.HostID
	Call   string
}

// Reset empties r and keeps its memory.
func (r *Ready) Reset() {
	r.Calls = r.Calls[:0]
	r.Gates = r.Gates[:0]
	r.Sends = r.Sends[:0]
	r.Platform = r.Platform[:0]
	r.Replies = r.Replies[:0]
	r.Timeline = r.Timeline[:0]
	r.Drained = false
}
