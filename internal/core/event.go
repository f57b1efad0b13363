package core

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Kind tells which fields of an Event are set.
type Kind uint8

// Kinds of events.
const (
	// KindTick reports that time has passed. The runtime sends it every
	// TickInterval.
	KindTick Kind = iota + 1
	// KindCallArrived reports a call from a caller or relayed by a peer.
	KindCallArrived
	// KindAttemptDone reports the end of one attempt of a call.
	KindAttemptDone
	// KindCallCancelled reports that the caller has closed its connection.
	KindCallCancelled
	// KindGateArrived reports a call that an entry node forwarded to the
	// admission gate of this host.
	KindGateArrived
	// KindGateDone reports the end of a dispatched call at its backend server.
	KindGateDone
	// KindGateCancelled reports that the entry node abandoned a forwarded call.
	KindGateCancelled
	// KindAnnounced reports an announcement of a backend server on this host.
	KindAnnounced
	// KindEnvelope reports control messages from a peer.
	KindEnvelope
	// KindSendFailed reports that an envelope could not be delivered.
	KindSendFailed
	// KindPlatform reports the result of a platform request.
	KindPlatform
	// KindOperator reports a command of an operator.
	KindOperator
	// KindDrain asks the node to stop gracefully.
	KindDrain
)

// Event is one input of the reducer. Exactly the fields of its Kind are set.
// Byte slices belong to the runtime and are valid during the step only.
type Event struct {
	Kind Kind
	Now  mesh.Time
	// Seed is the source of all random choices of this step.
	Seed uint64

	Call     CallArrived
	Attempt  AttemptDone
	Gate     GateArrived
	GateDone GateDone
	// CallID identifies the call of KindCallCancelled and KindGateCancelled.
	CallID mesh.CallID

	Announcement *Announcement
	Envelope     *Envelope
	Platform     *PlatformResult
	Operator     *OperatorRequest
}

// CallArrived is a call that arrives at its entry node, from its caller or relayed
// by a peer.
type CallArrived struct {
	Call    mesh.CallID
	Service []byte // value of the Chicory-Service header, may be empty
	Method  []byte
	Path    []byte
	// RequestID is the request identity that the caller chose. It is the same
	// for all resends of a request and may be empty.
	RequestID []byte
	Hash      mesh.RequestHash
	// DeadlineMillis is the time that the caller still waits for the answer, in
	// milliseconds. Zero selects the deadline of the class.
	DeadlineMillis uint32
	// Depth is the number of calls above this one in the call chain.
	Depth uint8
	// Crashes is the crash count that the caller sent with the request.
	Crashes uint8
	// Relayed is set when a peer relayed the call because it could not route
	// the call itself. A relayed call is not relayed again.
	Relayed bool
}

// AttemptDone is the end of one attempt, as seen by the entry node.
type AttemptDone struct {
	Call    mesh.CallID
	Attempt uint8
	Outcome mesh.Outcome
	Reason  mesh.Reason
	// Failed is set for an answer that the backend server marked as failed
	// (HTTP status 500 or above).
	Failed bool
	// Crashed is set when the gate saw the backend server crash during the call.
	Crashed bool
	// Crashes is the number of crashes that the gate charges the request with.
	Crashes uint8
	// Load is the load of the instance, valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
}

// GateArrived is a call forwarded to the gate.
type GateArrived struct {
	Call           mesh.CallID
	Instance       mesh.InstanceID
	Priority       mesh.Priority
	DeadlineMillis uint32
	Hash           mesh.RequestHash
	// Crashes is the crash count that the entry node sent with the call.
	Crashes uint8
	// Idempotent is false for calls of a non-idempotent class.
	Idempotent bool
}

// GateResult tells how a dispatched call ended.
type GateResult uint8

// Results of a call at the gate.
const (
	// GateAnswered means that the gate read the complete answer.
	GateAnswered GateResult = iota + 1
	// GateNotSent means that no byte of the request was written.
	GateNotSent
	// GateLost means that bytes of the request were written and no complete
	// answer was received, so the request may have run.
	GateLost
	// GateShed means that the backend server refused the call before running it.
	GateShed
)

// GateDone is the end of a dispatched call at the gate.
type GateDone struct {
	Call   mesh.CallID
	Result GateResult
	// Failed is set for an answer with HTTP status 500 or above.
	Failed bool
	// Crashed is set when the backend server no longer accepts connections.
	Crashed bool
}

// PlatformResult is the result of a platform request, for the owner that made
// the request.
type PlatformResult struct {
	Owner  Owner
	Result platform.Result
}

// Owner names the sub-reducer that a platform request belongs to.
type Owner uint8

// The sub-reducers that make platform requests.
const (
	OwnerPublish Owner = iota + 1
	OwnerDistribution
	OwnerClaims
	OwnerMoves
)
