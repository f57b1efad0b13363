package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

// Event is one input of the reducer.
type Event interface {
	apply(n *Node, s *step)
}

// CallArrived is a request of a client, or of the instance on this host, at its
// entry node.
type CallArrived struct {
	Call        mesh.CallID
	Host        string
	Path        string
	Fingerprint mesh.Fingerprint
	// Budget is the time that the client waits. Zero stands for no limit.
	Budget time.Duration
}

// AttemptDone is the end of one attempt, as seen by the entry node.
type AttemptDone struct {
	Call    mesh.CallID
	Attempt uint8
	Outcome mesh.Outcome
	Reason  mesh.Reason
	// Failed is set for an answer that states a failure.
	Failed bool
	// Reached is set when the request was handed to an instance, which may have
	// refused it.
	Reached bool
	// HostFailed is set when the host itself gave no sign of life.
	HostFailed bool
	// Crashes is the number of crashes that the gate charges the request with.
	Crashes uint8
	// Duration is the time that the attempt took but for its wait for a slot, so that
	// it shows a slow host as well as a slow instance. Bytes is the size of the answer.
	Duration time.Duration
	Bytes    int
	// Backlog is the time that large answers wait for the gate's link.
	Backlog time.Duration
	// Load is the gate's load, valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
}

// CallCancelled reports that the client has gone.
type CallCancelled struct{ Call mesh.CallID }

// GateArrived is a forwarded request at the gate of the instance's host.
type GateArrived struct {
	Call     mesh.CallID
	Instance mesh.InstanceID
	Route    mesh.Route
	Rank     int
	// TimeLeft is the time until the client or the route gives up, LeftToTarget
	// the time until the answer loses worth, which may be over.
	TimeLeft         time.Duration
	TimeToTarget time.Duration
	// MayQueue allows the request to wait for a slot.
	MayQueue    bool
	Fingerprint mesh.Fingerprint
	Crashes     uint8
	// RepeatProbability is the probability that the arrival is a repeat: 1 if an instance was
	// handed the request before.
	RepeatProbability float64
}

// GateResult tells how an instance ended a request.
type GateResult uint8

// Results of a request at the gate.
const (
	// GateAnswered means that the whole answer was read.
	GateAnswered GateResult = iota + 1
	// GateNotSent means that no byte of the request was written.
	GateNotSent
	// GateLost means that bytes were written and no whole answer came.
	GateLost
	// GateRefused means that the instance stated that it did not run the request.
	GateRefused
	// GateMisdirected means that another instance holds the address.
	GateMisdirected
	// GateAbandoned means that the caller gave up while the instance worked.
	GateAbandoned
)

// GateDone is the end of a dispatched request at the gate.
type GateDone struct {
	Call   mesh.CallID
	Result GateResult
	// Failed is set for an answer that states a failure.
	Failed bool
	// Down is set when the instance no longer accepts connections.
	Down bool
}

// GateCancelled reports that the entry node gave up a request that may still
// wait at the gate.
type GateCancelled struct{ Call mesh.CallID }

// InstanceReported is a heartbeat of the instance on this host.
type InstanceReported struct {
	ID      mesh.InstanceID
	Service mesh.Service
	Version mesh.BackendVersion
	Slots   uint16
	// Draining is set once the instance takes no new work.
	Draining bool
	// Born is the start time of the instance, zero if it states none. Sequence
	// numbers the heartbeats since then.
	Born     int64
	Sequence int64
	// WarmUp is the time for which the instance remains slow.
	WarmUp time.Duration
}

// InstanceProbed is the result of an InstanceProbe.
type InstanceProbed struct {
	ID mesh.InstanceID
	// Serving is set if this instance has answered that it serves.
	Serving bool
}

// InstanceLeft reports that the instance is about to exit.
type InstanceLeft struct {
	ID mesh.InstanceID
	// Born is the start time of the instance, zero if it states none.
	Born int64
}

// ConfigurationSeen is a configuration from the store or from a peer.
type ConfigurationSeen struct{ Snapshot *catalog.Snapshot }

// MembersSeen are members from the store or from a peer.
type MembersSeen struct {
	Members []Member
	// FromStore is set for rows, which may be those of hosts that are gone.
	FromStore bool
}

// PeerSeen reports that a host has made contact, with its record.
type PeerSeen struct{ Member Member }

// MemberRemoved reports that a member's row has gone.
type MemberRemoved struct{ Host mesh.HostID }

// OrderSeen is an operator's order to move a service to another version.
type OrderSeen struct{ Order rollout.Order }

// RolloutSeen is the shared state of a roll-out.
type RolloutSeen struct{ Row rollout.Row }

// EvidenceReceived are the counts of a gate for a running roll-out.
type EvidenceReceived struct{ Evidence rollout.Evidence }

// StoreState reports whether the store's content is known and its feed alive.
type StoreState struct {
	// Loaded is set once all shared rows were read since the start.
	Loaded bool
	Alive  bool
}

// PeerChecked is the result of an exchange with a peer.
type PeerChecked struct {
	Host  mesh.HostID
	Alive bool
}

// Tick reports that time has passed.
type Tick struct{}

// Stop asks the node to stop gracefully.
type Stop struct {
	// Ends is the time at which the process ends.
	Ends mesh.Time
}

// Ready holds the effects of a step. They are executed in order.
type Ready struct {
	Calls    []CallEffect
	Gates    []GateEffect
	LogRecords  []LogRecord
	Checks   []PeerCheck
	Probes   []InstanceProbe
	Evidence []EvidenceReport
	Writes   []rollout.Write
	// Removals are hosts whose rows are to be removed.
	Removals []mesh.HostID
	// Announce is set when the record of this host has changed.
	Announce bool
	// MembersChanged is set when a member or the plan of a roll-out has changed.
	MembersChanged bool
}

// Reset empties the effects and keeps their memory.
func (r *Ready) Reset() {
	r.Calls, r.Gates, r.LogRecords = r.Calls[:0], r.Gates[:0], r.LogRecords[:0]
	r.Checks, r.Probes, r.Evidence, r.Writes = r.Checks[:0], r.Probes[:0], r.Evidence[:0], r.Writes[:0]
	r.Removals, r.Announce, r.MembersChanged = r.Removals[:0], false, false
}

// CallAction is the kind of a CallEffect.
type CallAction uint8

// Actions on a call at its entry node.
const (
	// CallForward sends the request to a gate.
	CallForward CallAction = iota + 1
	// CallRespond gives the answer of the attempt to the client.
	CallRespond
	// CallReject ends the call without an instance's answer.
	CallReject
)

// CallEffect is an effect on a call at its entry node.
type CallEffect struct {
	Call   mesh.CallID
	Action CallAction

	// Fields of CallForward. Addr is empty for the gate of this host.
	Attempt      uint8
	Host         mesh.HostID
	Addr         string
	Instance     mesh.InstanceID
	Route        mesh.Route
	Rank         int
	Idempotent   bool
	Deadline     mesh.Time
	TimeToTarget time.Duration
	MayQueue     bool
	Crashes      uint8
	// RepeatProbability is the probability that the arrival is a repeat: 1 if an instance was
	// handed the request before.
	RepeatProbability float64

	// Fields of CallReject. RetryAfter is zero if a new try is useless.
	Outcome    mesh.Outcome
	Reason     mesh.Reason
	RetryAfter time.Duration
}

// GateAction is the kind of a GateEffect.
type GateAction uint8

// Actions on a request at the gate.
const (
	// GateDispatch gives the request to the instance.
	GateDispatch GateAction = iota + 1
	// GateReject answers the request as not run.
	GateReject
)

// GateEffect is an effect on a request at the gate.
type GateEffect struct {
	Call     mesh.CallID
	Action   GateAction
	Reason   mesh.Reason
	Instance mesh.InstanceID
	Deadline mesh.Time
	Load     mesh.Load
	Crashes  uint8
}

// PeerCheck asks for an exchange with a peer, to learn whether it is alive.
type PeerCheck struct {
	Host mesh.HostID
	Addr string
}

// InstanceProbe asks the instance on this host whether it serves.
type InstanceProbe struct {
	ID   mesh.InstanceID
	Path string
}

// EvidenceReport is to be sent to the driver of a roll-out.
type EvidenceReport struct {
	Addr     string
	Evidence rollout.Evidence
}

// LogRecord is a log line: a decision or a change of what the node believes, with
// the inputs that decided it.
type LogRecord struct {
	Kind  string
	Attrs []any // alternating keys and values, as package slog takes them
}
