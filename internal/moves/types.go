package moves

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Share is a part of a service's calls in parts per ten thousand.
type Share uint16

// FullShare is the share of a version that receives every call.
const FullShare Share = 10000

// State is the stage of a move.
type State uint8

// States of a move. Done and Withdrawn are terminal.
const (
	// Running means that the share follows the schedule.
	Running State = iota + 1
	// Done means that the new version carries all calls.
	Done
	// Withdrawn means that the old version carries all calls.
	Withdrawn
)

var stateNames = [...]string{Running: "running", Done: "done", Withdrawn: "withdrawn"}

// String returns the state as operators see it.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Terminal reports whether the move has ended.
func (s State) Terminal() bool { return s == Done || s == Withdrawn }

// Cause tells why a move was withdrawn, stopped or reported early.
type Cause uint8

// Causes of a withdrawal, a stop or an early report.
const (
	CauseNone Cause = iota
	// CauseFailures means that the new version fails or loses more calls.
	CauseFailures
	// CauseSlow means that the new version answers more slowly.
	CauseSlow
	// CauseOperator means that an operator withdrew the move.
	CauseOperator
	// CauseNoEvidence means that too few calls arrive before the deadline.
	CauseNoEvidence
	// CauseDeadline means that the deadline passed before the move completed.
	CauseDeadline
)

var causeNames = [...]string{
	CauseNone: "none", CauseFailures: "failures", CauseSlow: "slow",
	CauseOperator: "operator", CauseNoEvidence: "no-evidence", CauseDeadline: "deadline",
}

// String returns the cause as operators see it.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}

// RouteShare is the share of one route where it differs from the move's share.
// Rare routes get a larger share, so that they collect their own evidence.
type RouteShare struct {
	Route mesh.Route `json:"route"`
	Share Share      `json:"share"`
}

// MoveState is the row moves/<id> and the message that carries it to peers.
// A state with a higher step replaces one with a lower step.
type MoveState struct {
	ID       mesh.MoveID         `json:"id"`
	Service  mesh.Service        `json:"service"`
	From     mesh.BackendVersion `json:"from"`
	To       mesh.BackendVersion `json:"to"`
	Started  mesh.Time           `json:"started"`
	Deadline mesh.Time           `json:"deadline"`
	State    State               `json:"state"`
	// Step numbers the writes of the row, starting at 1.
	Step uint64 `json:"step"`
	// Level is the position in the schedule and Since the time it was entered.
	Level uint8     `json:"level"`
	Since mesh.Time `json:"since"`
	// Balanced is the time at which the shares were last adapted to the rates.
	Balanced mesh.Time `json:"balanced"`
	Share    Share     `json:"share"`
	// Routes holds the exceptions from Share, ordered by route.
	Routes []RouteShare `json:"routes,omitempty"`
	Cause  Cause        `json:"cause,omitempty"`
	// CauseRoute is the route on which the fault was found, empty for all.
	CauseRoute mesh.Route `json:"cause_route,omitempty"`
	// Early is set when the evidence cannot be collected before the deadline.
	Early Cause `json:"early,omitempty"`
	// EarlyRoute is the route that lacks evidence, empty for the service.
	EarlyRoute mesh.Route `json:"early_route,omitempty"`
	// Fence is the fencing number of the lease under which the row was written.
	Fence uint64 `json:"fence"`
	// KeepOld is how long the old version stays ready after completion.
	KeepOld time.Duration `json:"keep_old"`
}

// ShareOf returns the share of the new version on a route.
func (s *MoveState) ShareOf(route mesh.Route) Share {
	for i := range s.Routes {
		if s.Routes[i].Route == route {
			return s.Routes[i].Share
		}
	}
	return s.Share
}

// CallResult is the end of one call that was sent to a backend server. Calls
// that were not run are not recorded.
type CallResult struct {
	Service  mesh.Service
	Version  mesh.BackendVersion
	Route    mesh.Route
	Class    mesh.Class
	Instance mesh.InstanceID
	Outcome  mesh.Outcome
	// Failed is set for an answer with HTTP status 500 or above.
	Failed bool
	// Crashed is set when the backend server died with the call in flight.
	Crashed bool
	// Crashes counts earlier crashes in which the request was in flight.
	Crashes uint8
	// Cold is set while the instance is in its cold start; its latency is then
	// not counted.
	Cold    bool
	Latency time.Duration
}

// Choice is the version that routing must use for a call.
type Choice struct {
	Version mesh.BackendVersion
	// Moving is false when the service has no move; any version may be used.
	Moving bool
}

// Links is the node's place in the distribution tree.
type Links struct {
	// Parent is the parent within the failure domain, empty on the top node.
	Parent mesh.HostID
	// Children holds the children within the failure domain.
	Children []mesh.HostID
	// Roots holds the top nodes of the other reachable failure domains; it is
	// used on a top node only.
	Roots []mesh.HostID
	// Reader is set on nodes that read the platform and may drive moves.
	Reader bool
}

// Message carries the moves' control data to one peer.
type Message struct {
	// Sequence numbers the messages with evidence from one sender process, so
	// that a repeated delivery is not counted twice. Zero: no evidence.
	Sequence    uint64
	Incarnation mesh.Incarnation
	Domain      mesh.FailureDomain
	States      []MoveState
	Evidence    []Report
	Stops       []Stop
}

// Stop tells peers that the new version's fault has shown. It takes all calls
// from the new version without waiting for the platform.
type Stop struct {
	Move  mesh.MoveID
	Step  uint64
	Cause Cause
	Route mesh.Route
}

// Send is a message for a peer.
type Send struct {
	To      mesh.HostID
	Message Message
}

// EventKind names a state change for the event timeline.
type EventKind uint8

// Kinds of events.
const (
	// EventStep reports that a newer move state is in force on this node.
	EventStep EventKind = iota + 1
	// EventStopped reports that the new version's fault has shown and this node
	// no longer uses it.
	EventStopped
	// EventPaused reports that this node alone avoids the new version until the
	// next step.
	EventPaused
	// EventLeaseTaken reports that this node became the driver of the move.
	EventLeaseTaken
	// EventLeaseLost reports that another node is the driver now.
	EventLeaseLost
	// EventEarlyReport reports that the deadline cannot be met, with the cause.
	EventEarlyReport
)

// Event is a state change for the event timeline.
type Event struct {
	Kind  EventKind
	Move  mesh.MoveID
	State State
	Step  uint64
	Share Share
	Cause Cause
	Route mesh.Route
}

// Reply is the result of an operator's Start or Withdraw.
type Reply struct {
	// ID is the operator request's ID.
	ID  uint64
	Err error
}

// Effects collects the effects of the Reducer. Reset keeps its memory.
type Effects struct {
	Platform []platform.Request
	Sends    []Send
	Events   []Event
	Replies  []Reply
}

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	e.Platform = e.Platform[:0]
	e.Sends = e.Sends[:0]
	e.Events = e.Events[:0]
	e.Replies = e.Replies[:0]
}

// StartRequest is an operator's order to move a service to a new version.
type StartRequest struct {
	// ID matches the Reply.
	ID       uint64
	Move     mesh.MoveID
	Service  mesh.Service
	From     mesh.BackendVersion
	To       mesh.BackendVersion
	Deadline mesh.Time
	// KeepOld is how long the old version stays ready after completion.
	KeepOld time.Duration
}

// WithdrawRequest is an operator's order to withdraw a running move.
type WithdrawRequest struct {
	ID   uint64
	Move mesh.MoveID
}
