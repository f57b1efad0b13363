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

// Announcement is what a backend server tells the node on its host.
type Announcement struct {
	Instance mesh.InstanceID     `json:"instance"`
	Service  mesh.Service        `json:"service"`
	Version  mesh.BackendVersion `json:"version"`
	Addr     string              `json:"addr"`
	Slots    uint16              `json:"slots"`
	// Draining is set once the backend server takes no new work.
	Draining bool `json:"draining"`
	// LeaseMillis is the time for which the announcement holds.
	LeaseMillis uint32 `json:"lease_ms"`
}

// Envelope carries all control messages of one step to one peer.
type Envelope struct {
	From        mesh.HostID
	Incarnation mesh.Incarnation
	// Clock is the sender's hybrid logical clock.
	Clock uint64
	// The messages are in the compact encodings of their packages.
	Membership   []byte
	Distribution []byte
	Claims       []byte
	Moves        []byte
}

// OperatorRequest is a command of an operator. Exactly one pointer is set.
type OperatorRequest struct {
	// ID matches the reply with its request.
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

// ApplyRequest asks for a configuration to be accepted.
type ApplyRequest struct {
	Operation publish.OperationID
	Operator  string
	Note      string
	// Base is the version that the change was made against.
	Base mesh.ConfigVersion
	// Snapshot is the canonical encoding of package config.
	Snapshot []byte
}

// HistoryRequest asks for the newest accepted versions.
type HistoryRequest struct{ Limit int }

// StatusRequest asks for the state of the configuration.
type StatusRequest struct {
	// WithSnapshot asks for the content in force on the node.
	WithSnapshot bool
}

// NodesRequest asks for the known hosts.
type NodesRequest struct{}

// ForgetRequest declares a host permanently lost.
type ForgetRequest struct{ Host mesh.HostID }

// StartMoveRequest begins a move.
type StartMoveRequest struct {
	Move     mesh.MoveID
	Service  mesh.Service
	From, To mesh.BackendVersion
	Deadline mesh.Time
}

// WithdrawRequest withdraws a running move.
type WithdrawRequest struct{ Move mesh.MoveID }

// MovesRequest asks for the known moves.
type MovesRequest struct{}

// DrainRequest asks the node to stop gracefully.
type DrainRequest struct{}

// OperatorReply is the answer to an OperatorRequest.
type OperatorReply struct {
	ID uint64
	// Err is empty on success. Refusal tells its kind.
	Err     string
	Refusal Refusal
	// Publish is the result of Apply and History.
	Publish *publish.Reply
	Status  *Status
	Nodes   []NodeStatus
	Moves   []moves.MoveState
}

// Refusal tells why a command about a move or a host had no effect.
type Refusal uint8

// Kinds of refusals.
const (
	// RefusalNone stands with a command that succeeded or failed otherwise.
	RefusalNone Refusal = iota
	// RefusalConflict means that the command contradicts the present state.
	RefusalConflict
	// RefusalInvalid means that the command is malformed or names something
	// unknown.
	RefusalInvalid
	// RefusalUnsettled means that the platform gave no answer; the command may
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
	// FloorKnown is false while the node may apply nothing after its start.
	FloorKnown bool
	// InForce covers all failure domains and is complete on readers only.
	InForce    distribution.Ack
	Rejections []distribution.Rejection
	Readers    []mesh.HostID
	// Snapshot is the canonical encoding of the configuration in force.
	Snapshot []byte
	Counters Counters
}

// NodeStatus describes one host for operators.
type NodeStatus struct {
	Record      membership.Record
	Unreachable bool
}

// Counters counts decisions since the start of the process.
type Counters struct {
	Calls         uint64
	Answered      uint64
	NotRun        uint64
	MayHaveRun    uint64
	Retries       uint64
	LateAnswers   uint64
	Relayed       uint64
	GateCalls     uint64
	GateRejected  uint64
	Crashes       uint64
	BadMessages   uint64
	Ejections     uint64
	SendsFailed   uint64
	ClaimsAsked   uint64
	ClaimsGranted uint64
}

// keepOldReady is how long the old version stays ready after a move, where the
// service states no time of its own.
const keepOldReady = config.DefaultKeepReadySeconds * time.Second

// content adapts package config to the content that distribution carries.
type content struct{}

// Hash implements distribution.Content.
func (content) Hash(full []byte) string { return string(config.HashOf(full)) }

// Validate implements distribution.Content.
func (content) Validate(full []byte) error {
	_, err := config.AcceptEncoded(full, config.HashOf(full))
	return err
}

// Diff implements distribution.Content.
func (content) Diff(base, next []byte) ([]byte, error) {
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
func (content) Patch(base, delta []byte) ([]byte, error) {
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

var _ distribution.Content = content{}

// platformOf tags requests with their owner.
func platformOf(owner Owner, requests []platform.Request, out *Ready) {
	for _, r := range requests {
		out.Platform = append(out.Platform, PlatformRequest{Owner: owner, Request: r})
	}
}
