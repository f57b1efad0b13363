package moves

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Share is a fraction of a service's calls in units of 1/10000.
type Share uint16

// FullShare is the share of a version that receives every call.
const FullShare Share = 10000

// State is the lifecycle state of a move.
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

// String returns the name that operators see.
func (s State) String() string {
	if s == 0 || int(s) >= len(stateNames) {
		return "unknown"
	}
	return stateNames[s]
}

// Terminal reports whether the move has ended.
func (s State) Terminal() bool { return s == Done || s == Withdrawn }

// Cause tells why a move was withdrawn or stopped, or why it is reported, before
// its deadline, as unlikely to complete in time.
type Cause uint8

// Causes of a withdrawal, a stop or a report before the deadline.
const (
	CauseNone Cause = iota
	// CauseFailures means that the new version fails, loses or crashes on more
	// calls than the old version.
	CauseFailures
	// CauseSlow means that the new version answers more slowly than the old
	// version.
	CauseSlow
	// CauseOperator means that an operator withdrew the move.
	CauseOperator
	// CauseNoEvidence means that too few calls reach the new version before the
	// deadline.
	CauseNoEvidence
	// CauseDeadline means that the deadline passed before the move completed.
	CauseDeadline
)

var causeNames = [...]string{
	CauseNone: "none", CauseFailures: "failures", CauseSlow: "slow",
	CauseOperator: "operator", CauseNoEvidence: "no-evidence", CauseDeadline: "deadline",
}

// String returns the name that operators see.
func (c Cause) String() string {
	if int(c) >= len(causeNames) {
		return "unknown"
	}
	return causeNames[c]
}

// RouteShare is the share of a route that differs from the move's share. Rarely
// called routes get a larger share, so that enough of their calls reach the new
// version to judge the route by itself.
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
	// Level is the position in the schedule, whose levels have increasing shares of
	// calls to the new version. Since is the time at which the level was entered or,
	// in a terminal state, at which the move ended.
	Level uint8     `json:"level"`
	Since mesh.Time `json:"since"`
	// Balanced is the time at which the shares were last computed from the
	// measured call rates.
	Balanced mesh.Time `json:"balanced"`
	// Share is the new version's share of the calls on routes that are not in Routes.
	Share Share `json:"share"`
	// Routes holds the routes whose share differs from Share, ordered by route.
	Routes []RouteShare `json:"routes,omitempty"`
	Cause  Cause        `json:"cause,omitempty"`
	// CauseRoute is the route on which the fault was found. It is empty if the
	// fault was found over all routes.
	CauseRoute mesh.Route `json:"cause_route,omitempty"`
	// Early is the cause of a report before the deadline. It is set when a level
	// is entered and too few calls to the new version are expected before the
	// deadline or, after the canary level, were seen on a route.
	Early Cause `json:"early,omitempty"`
	// EarlyRoute is the route with too few calls. It is empty if the service as a
	// whole has too few.
	EarlyRoute mesh.Route `json:"early_route,omitempty"`
	// Fence is the fencing token of the lease under which the row was written.
	Fence uint64 `json:"fence"`
	// KeepOld is how long the old version stays ready after the move is done.
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

// CallResult is the result of one call that was sent to a backend server.
// Record ignores results with the outcome mesh.NotRun.
type CallResult struct {
	Service  mesh.Service
	Version  mesh.BackendVersion
	Route    mesh.Route
	Class    mesh.Class
	Instance mesh.InstanceID
	Outcome  mesh.Outcome
	// Failed is set for a response with HTTP status 500 or above.
	Failed bool
	// Crashed is set when the backend server died with the call in flight.
	Crashed bool
	// Crashes counts earlier crashes in which the request was in flight.
	Crashes uint8
	// Cold is set if the instance was in its cold start. The latency of such a
	// call is not counted.
	Cold    bool
	Latency time.Duration
}

// Choice is the version that routing must use for a call.
type Choice struct {
	Version mesh.BackendVersion
	// Moving is false if the service has no move, so that routing may use any
	// version.
	Moving bool
}

// Links describes the node's position in the distribution tree.
type Links struct {
	// Parent is the parent within the failure domain. It is empty on the domain's
	// root node.
	Parent mesh.HostID
	// Children holds the children within the failure domain.
	Children []mesh.HostID
	// Roots holds the root nodes of the other reachable failure domains. Only a
	// root node uses it.
	Roots []mesh.HostID
	// Reader is set on nodes that read the platform and may drive moves.
	Reader bool
}

// Message carries the states, evidence and stops of moves to one peer.
type Message struct {
	// Sequence numbers the messages with evidence from one incarnation of the
	// sender, so that the receiver ignores duplicates. It is zero in messages
	// without evidence.
	Sequence    uint64
	Incarnation mesh.Incarnation
	Domain      mesh.FailureDomain
	States      []MoveState
	Evidence    []Report
	Stops       []Stop
}

// Stop tells peers that a fault of the new version was found. The receivers
// stop sending calls to the new version without waiting for the platform.
type Stop struct {
	Move  mesh.MoveID
	Step  uint64
	Cause Cause
	Route mesh.Route
}

// Send is the effect of sending a message to a peer.
type Send struct {
	To      mesh.HostID
	Message Message
}

// EventKind identifies a kind of state change in the event timeline.
type EventKind uint8

// Kinds of events.
const (
	// EventStep reports that this node has applied a newer move state.
	EventStep EventKind = iota + 1
	// EventStopped reports that this node no longer uses the new version because
	// a root node found a fault.
	EventStopped
	// EventPaused reports that this node, by its own call results, avoids the new
	// version until the next step of the move.
	EventPaused
	// EventLeaseTaken reports that this node became the driver of the move.
	EventLeaseTaken
	// EventLeaseLost reports that another node or a later incarnation of this one
	// has taken the lease.
	EventLeaseLost
	// EventEarlyReport stands for a report that the move cannot complete by its
	// deadline, with the cause. The Reducer does not emit it.
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
	// ID is the ID of the request that is answered.
	ID  uint64
	Err error
}

// Effects collects the effects of the Reducer.
type Effects struct {
	Platform []platform.Request
	Sends    []Send
	Events   []Event
	Replies  []Reply
}

// Reset empties e and keeps the capacity of its slices for reuse.
func (e *Effects) Reset() {
	e.Platform = e.Platform[:0]
	e.Sends = e.Sends[:0]
	e.Events = e.Events[:0]
	e.Replies = e.Replies[:0]
}

// StartRequest is an operator's request to move a service to a new version.
type StartRequest struct {
	// ID is repeated in the Reply.
	ID       uint64
	Move     mesh.MoveID
	Service  mesh.Service
	From     mesh.BackendVersion
	To       mesh.BackendVersion
	Deadline mesh.Time
	// KeepOld is how long the old version stays ready after the move is done.
	KeepOld time.Duration
}

// WithdrawRequest is an operator's request to withdraw a running move.
type WithdrawRequest struct {
	// ID is repeated in the Reply.
	ID   uint64
	Move mesh.MoveID
}
