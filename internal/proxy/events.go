package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/quota"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

// Event is one input of the reducer.
type Event interface {
	apply(n *Node, s *step)
}

// CallArrived is a request from a client, or from the instance on this host, that
// arrives at its entry node.
type CallArrived struct {
	Call mesh.CallID
	Host string
	Path string
	Hash mesh.RequestHash
	// Key is the key of a tenant that the request carries, empty for none.
	Key string
	// Method and BodyBytes describe the request for the prediction of its work.
	Method    string
	BodyBytes int
	// Budget is the time for which the client still waits. Zero means no limit. It is
	// unrelated to the retry budget.
	Budget time.Duration
}

// AttemptDone is the end of one attempt, as seen by the entry node.
type AttemptDone struct {
	Call    mesh.CallID
	Attempt uint8
	Outcome mesh.Outcome
	Reason  mesh.Reason
	// Failed is set for an answer that reports a failure.
	Failed bool
	// Reached is set when the request was handed to an instance, which may have
	// refused it.
	Reached bool
	// HostFailed is set when the host itself did not respond.
	HostFailed bool
	// Suspicion is how far the gate suspects the request of crashing instances.
	Suspicion poison.Suspicion
	// Duration is the time that the attempt took without its wait for a slot. It
	// includes the network, so that it reveals a slow host as well as a slow instance.
	// Bytes is the size of the answer.
	Duration time.Duration
	Bytes    int
	// Backlog is the time for which a large answer currently waits for the network link
	// of the gate's host.
	Backlog time.Duration
	// Load is the gate's load, valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
	// StartsIn is the time after which the gate expects a request that arrives now to
	// start, valid when HasStartsIn is set.
	StartsIn    time.Duration
	HasStartsIn bool
}

// CallCancelled reports that the client has disconnected.
type CallCancelled struct{ Call mesh.CallID }

// GateArrived is a forwarded request that arrives at the gate of the instance's host.
type GateArrived struct {
	Call     mesh.CallID
	Instance mesh.InstanceID
	Route    mesh.Route
	Rank     int
	// Tenant is the tenant of the request, empty for none.
	Tenant     mesh.Tenant
	TenantRank int
	// TimeLeft is the time until the client or the route gives up. TimeToTarget is the
	// time until the route's latency target, negative if it has passed.
	TimeLeft     time.Duration
	TimeToTarget time.Duration
	// MayQueue allows the request to wait in the gate's queue for a slot.
	MayQueue    bool
	Fingerprint mesh.Fingerprint
	Suspicion   poison.Suspicion
	// RepeatProbability is CallEffect.RepeatProbability of the forwarded attempt.
	RepeatProbability float64
	// Method, Path and BodyBytes describe the request for the prediction of its work.
	Method    string
	Path      string
	BodyBytes int
}

// GateResult is the way in which a request to an instance ended.
type GateResult uint8

// Results of a request at the gate.
const (
	// GateAnswered means that the whole answer was read.
	GateAnswered GateResult = iota + 1
	// GateNotSent means that no byte of the request was written.
	GateNotSent
	// GateLost means that bytes were written but no complete answer came.
	GateLost
	// GateRefused means that the instance answered that it did not run the request.
	GateRefused
	// GateMisdirected means that another instance now listens on the address.
	GateMisdirected
	// GateAbandoned means that the caller left while the instance was working.
	GateAbandoned
	// GateTimedOut means that the time limit passed while the instance was working.
	GateTimedOut
)

// GateDone is the end of a dispatched request at the gate.
type GateDone struct {
	Call   mesh.CallID
	Result GateResult
	// Failed is set for an answer that reports a failure.
	Failed bool
	// Down is set when the instance no longer accepts connections.
	Down bool
}

// GateCancelled reports that the entry node has given up a request that may still be
// queued at the gate.
type GateCancelled struct{ Call mesh.CallID }

// InstanceReported is a heartbeat of the instance on this host.
type InstanceReported struct {
	ID      mesh.InstanceID
	Service mesh.Service
	Version mesh.BackendVersion
	Slots   uint16
	// Draining is set once the instance accepts no new work.
	Draining bool
	// Born is the start time of the instance in milliseconds, zero if it reports none.
	// Sequence numbers the heartbeats since then.
	Born     int64
	Sequence int64
	// WarmUp is the time for which the instance will still be slow after its start.
	WarmUp time.Duration
}

// InstanceProbed is the result of an InstanceProbe.
type InstanceProbed struct {
	ID mesh.InstanceID
	// Serving is set if the instance with this ID answered the probe as healthy.
	Serving bool
	// WarmUp is the time for which the instance will still be cold, valid if WarmUpStated
	// is set.
	WarmUp       time.Duration
	WarmUpStated bool
	// WarmUpOnly is InstanceProbe.WarmUpOnly.
	WarmUpOnly bool
}

// InstanceLeft reports that the instance is about to exit.
type InstanceLeft struct {
	ID mesh.InstanceID
	// Born is the start time of the instance in milliseconds, zero if it reports none.
	Born int64
}

// ConfigurationSeen carries a configuration read from the store or received from a
// peer.
type ConfigurationSeen struct{ Snapshot *catalog.Snapshot }

// MembersSeen carries member records read from the store or received from a peer.
type MembersSeen struct {
	Members []Member
	// FromStore is set for records from rows of the store, whose hosts may no longer
	// exist.
	FromStore bool
}

// PeerSeen reports that another host has contacted this node, with the host's record.
type PeerSeen struct{ Member Member }

// MemberRemoved reports that a member's row was removed from the store.
type MemberRemoved struct{ Host mesh.HostID }

// OrderSeen carries an operator's order to move a service to another version.
type OrderSeen struct{ Order rollout.Order }

// RolloutMissing states that the store, which has gone back to an older state, lacks the
// row of a service's roll-out.
type RolloutMissing struct {
	Service mesh.Service
	Era     platform.Era
}

// RolloutSeen carries the shared state of a roll-out, as stored in its row.
type RolloutSeen struct{ Row rollout.Row }

// EvidenceReceived carries evidence from a gate: the counts of its instance's answers by
// route. The node that receives it is the driver of a running roll-out, which advances
// the roll-out or rolls it back.
type EvidenceReceived struct{ Evidence rollout.Evidence }

// StoreState reports whether the rows of the store were read and whether its change
// feed is alive.
type StoreState struct {
	// Loaded is set once this process has read all shared rows.
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

// Ready holds the effects of a step, which the runtime executes in order. It is
// unrelated to Node.Ready.
type Ready struct {
	Calls      []CallEffect
	Gates      []GateEffect
	LogRecords []LogRecord
	Checks     []PeerCheck
	Probes     []InstanceProbe
	Evidence   []EvidenceReport
	Writes     []rollout.Write
	// QuotaReports are reports to be sent to the coordinator of the quotas, and QuotaWrites
	// writes of its row. QuotaGrant is the answer to a QuotaReported.
	QuotaReports []QuotaReport
	QuotaWrites  []quota.RowWrite
	QuotaGrant   quota.Grant
	// TokenRequests are requests for tokens to token servers, and TokenAnswer is the answer to a
	// TokensRequested.
	TokenRequests []AddressedTokenRequest
	TokenAnswer   TokenAnswer
	// Removals are hosts whose rows are to be removed.
	Removals []mesh.HostID
	// Announce is set when the record of this host has changed and is to be published.
	Announce bool
	// MembersChanged is set when a member or the plan of a roll-out has changed and the
	// routing table was rebuilt.
	MembersChanged bool
}

// Reset empties the effects and keeps the allocated slices for reuse.
func (r *Ready) Reset() {
	r.Calls, r.Gates, r.LogRecords = r.Calls[:0], r.Gates[:0], r.LogRecords[:0]
	r.Checks, r.Probes, r.Evidence, r.Writes = r.Checks[:0], r.Probes[:0], r.Evidence[:0], r.Writes[:0]
	r.TokenRequests, r.TokenAnswer = r.TokenRequests[:0], TokenAnswer{}
	r.QuotaReports, r.QuotaWrites, r.QuotaGrant = r.QuotaReports[:0], r.QuotaWrites[:0], quota.Grant{}
	r.Removals, r.Announce, r.MembersChanged = r.Removals[:0], false, false
}

// CallAction is the kind of a CallEffect.
type CallAction uint8

// Actions on a call at its entry node.
const (
	// CallForward sends the request to a gate.
	CallForward CallAction = iota + 1
	// CallRespond returns the answer of the attempt to the client.
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
	Fingerprint  mesh.Fingerprint
	Suspicion    poison.Suspicion
	// Caller is the service of this host when the call arrived.
	Caller mesh.Service
	// Tenant is the tenant that holds the request's key, empty for a request without one.
	Tenant     mesh.Tenant
	TenantRank int
	// RepeatProbability is the probability that the attempt, if it arrives at an instance,
	// is a repeat. It is 1 if an earlier attempt has or may have reached an instance.
	// Otherwise it is the probability that the request is a call made by a repeated run.
	RepeatProbability float64

	// Fields of CallReject. RetryAfter is the time after which the client should retry,
	// zero if a retry is useless or the request may have run.
	Outcome    mesh.Outcome
	Reason     mesh.Reason
	RetryAfter time.Duration
}

// GateAction is the kind of a GateEffect.
type GateAction uint8

// Actions on a request at the gate.
const (
	// GateDispatch sends the request to the instance.
	GateDispatch GateAction = iota + 1
	// GateReject answers that the request was not run.
	GateReject
)

// GateEffect is an effect on a request at the gate.
type GateEffect struct {
	Call      mesh.CallID
	Action    GateAction
	Reason    mesh.Reason
	Instance  mesh.InstanceID
	Deadline  mesh.Time
	Load      mesh.Load
	Suspicion poison.Suspicion
	// StartsIn is AttemptDone.StartsIn for a rejected request.
	StartsIn    time.Duration
	HasStartsIn bool
	// Predicted is the predicted duration of a dispatched request, zero if none is.
	Predicted time.Duration
}

// PeerCheck requests an exchange with a peer, to find out whether it is alive.
type PeerCheck struct {
	Host mesh.HostID
	Addr string
}

// InstanceProbe requests a health probe of the instance on this host.
type InstanceProbe struct {
	ID   mesh.InstanceID
	Path string
	// WarmUpOnly is set for a probe that only asks whether the instance is cold.
	WarmUpOnly bool
}

// EvidenceReport is evidence to be sent to the driver of a roll-out.
type EvidenceReport struct {
	Addr     string
	Evidence rollout.Evidence
}

// LogRecord is a log line. It reports a decision, or a change in the node's view of
// hosts, instances or the store, with the inputs that led to it.
type LogRecord struct {
	Kind  string
	Attrs []any // alternating keys and values, as in package slog
}
