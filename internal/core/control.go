package core

import (
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/distribution"
	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/publish"
)

// Announcement is the registration that a backend server sends to the node on
// its host.
type Announcement struct {
	Instance mesh.InstanceID     `json:"instance"`
	Service  mesh.Service        `json:"service"`
	Version  mesh.BackendVersion `json:"version"`
	Addr     string              `json:"addr"`
	Slots    uint16              `json:"slots"`
	// Draining is set once the backend server takes no new work.
	Draining bool `json:"draining"`
	// LeaseMillis is the time for which the announcement is valid.
	LeaseMillis uint32 `json:"lease_ms"`
}

// Envelope carries all control messages of one step to one peer.
type Envelope struct {
	From        mesh.HostID
	Incarnation mesh.Incarnation
	// Clock is the sender's hybrid logical clock.
	Clock uint64
	// The messages are in the compact encodings of their packages. An empty
	// slice holds no messages.
	Membership   []byte
	Distribution []byte
	Claims       []byte
	Moves        []byte
}

// OperatorRequest is a command of an operator. Exactly one pointer is set.
type OperatorRequest struct {
	// ID is repeated in the reply.
	ID        uint64
	Apply     *ApplyRequest
	History   *HistoryRequest
	Status    *StatusRequest
	Nodes     *NodesRequest
	Forget    *ForgetRequest
	StartMove *StartMoveRequest
	Withdraw  *WithdrawRequest
	Moves     *MovesRequest
	Drain     *DrainRequest
}

// ApplyRequest asks to publish a configuration as the next accepted version.
type ApplyRequest struct {
	// Operation identifies the change and is the same for all resends.
	Operation publish.OperationID
	Operator  string
	Note      string
	// Base is the version that the change is based on.
	Base mesh.ConfigVersion
	// Snapshot is the canonical encoding of package config.
	Snapshot []byte
}

// HistoryRequest asks for the newest accepted versions.
type HistoryRequest struct{ Limit int }

// StatusRequest asks for the state of the configuration.
type StatusRequest struct {
	// WithSnapshot asks for the configuration in force on the node.
	WithSnapshot bool
}

// NodesRequest asks for the known hosts.
type NodesRequest struct{}

// ForgetRequest declares a host permanently lost.
type ForgetRequest struct{ Host mesh.HostID }

// StartMoveRequest starts a move of the calls of a service from one backend
// version to another.
type StartMoveRequest struct {
	Move     mesh.MoveID
	Service  mesh.Service
	From, To mesh.BackendVersion
	Deadline mesh.Time
}

// WithdrawRequest stops a running move and returns its calls to the old
// version.
type WithdrawRequest struct{ Move mesh.MoveID }

// MovesRequest asks for the known moves.
type MovesRequest struct{}

// DrainRequest asks the node to stop gracefully.
type DrainRequest struct{}

// OperatorReply is the answer to an OperatorRequest.
type OperatorReply struct {
	ID uint64
	// Err is empty on success. Refusal classifies it.
	Err     string
	Refusal Refusal
	// Publish is the result of Apply and History.
	Publish *publish.Reply
	Status  *Status
	Nodes   []NodeStatus
	Moves   []moves.MoveState
}

// Refusal classifies the error of a command about a move or a host.
type Refusal uint8

// Kinds of refusals.
const (
	// RefusalNone is set for a command that succeeded or failed for another
	// reason.
	RefusalNone Refusal = iota
	// RefusalConflict means that the command contradicts the current state.
	RefusalConflict
	// RefusalInvalid means that the command is malformed or names something
	// unknown.
	RefusalInvalid
	// RefusalUnsettled means that the platform did not answer; the command may
	// have taken effect and can be repeated.
	RefusalUnsettled
)

// refusalOf classifies the errors of the sub-reducers.
func refusalOf(err error) Refusal {
	switch {
	case errorx.IsOfType(err, moves.ErrRefused):
		return RefusalConflict
	case errorx.IsOfType(err, moves.ErrInvalid), errorx.IsOfType(err, membership.ErrUnknownHost):
		return RefusalInvalid
	case errorx.IsOfType(err, moves.ErrUnavailable):
		return RefusalUnsettled
	}
	return RefusalNone
}

// Status is the state of the configuration as one node knows it.
type Status struct {
	Host mesh.HostID
	// Head is the newest accepted version, Applied the one in force here.
	Head    distribution.Head
	Applied distribution.Head
	// FloorKnown is set once the node knows its version floor, the lowest
	// version that it may apply. Until then, after a start, it applies none.
	FloorKnown bool
	// InForce counts the hosts of all failure domains that have the version in
	// force. It is complete on readers only.
	InForce    distribution.Ack
	Rejections []distribution.Rejection
	// Readers are the nodes of this failure domain that read the platform.
	Readers []mesh.HostID
	// Snapshot is the canonical encoding of the configuration in force.
	Snapshot []byte
	Counters Counters
}

// NodeStatus describes one host for operators.
type NodeStatus struct {
	Record membership.Record
	// Unreachable is set while the failure domain of the host is unreachable.
	Unreachable bool
}

// Counters counts decisions since the start of the process.
type Counters struct {
	Calls    uint64
	Answered uint64
	// NotRun and MayHaveRun count rejected calls by their outcome.
	NotRun     uint64
	MayHaveRun uint64
	Retries    uint64
	// LateAnswers counts results of attempts that their call no longer waits
	// for.
	LateAnswers  uint64
	Relayed      uint64
	GateCalls    uint64
	GateRejected uint64
	Crashes      uint64
	// BadMessages counts malformed messages and events that do not fit the
	// state of the node.
	BadMessages   uint64
	Ejections     uint64
	SendsFailed   uint64
	ClaimsAsked   uint64
	ClaimsGranted uint64
}

// defaultKeepReady is the time for which the old version is kept ready after a
// move of a service that is not in the configuration.
const defaultKeepReady = config.DefaultKeepReadySeconds * time.Second

// configContent implements distribution.Content with the encodings of package
// config.
type configContent struct{}

// Hash implements distribution.Content.
func (configContent) Hash(full []byte) string { return string(config.HashOf(full)) }

// Validate implements distribution.Content.
func (configContent) Validate(full []byte) error {
	_, err := config.AcceptEncoded(full, config.HashOf(full))
	return err
}

// Diff implements distribution.Content.
func (configContent) Diff(base, next []byte) ([]byte, error) {
	b, err := config.AcceptEncoded(base, config.HashOf(base))
	if err != nil {
		return nil, err
	}
	n, err := config.AcceptEncoded(next, config.HashOf(next))
	if err != nil {
		return nil, err
	}
	return config.EncodeDelta(config.NewDelta(b, n))
}

// Patch implements distribution.Content.
func (configContent) Patch(base, delta []byte) ([]byte, error) {
	b, err := config.AcceptEncoded(base, config.HashOf(base))
	if err != nil {
		return nil, err
	}
	d, err := config.DecodeDelta(delta)
	if err != nil {
		return nil, err
	}
	next, err := b.ApplyDelta(d)
	if err != nil {
		return nil, err
	}
	return next.Encoded, nil
}

var _ distribution.Content = configContent{}

// appendPlatformRequests appends requests to out, tagged with their owner.
func appendPlatformRequests(owner Owner, requests []platform.Request, out *Ready) {
	for _, r := range requests {
		out.Platform = append(out.Platform, PlatformRequest{Owner: owner, Request: r})
	}
}
