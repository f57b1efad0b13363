// Package publish is the reducer that publishes an operator's configuration
// through the platform's table and object store.
//
// A version number is given out by one transaction that advances the row
// "head" and creates the version's history row, so it never changes meaning.
// The same transaction records the operation ID, so an operation that is sent
// again, or whose answer was lost, finds its first result.
package publish

import (
	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// OperationID identifies an operator's operation over all its sends.
type OperationID string

// RequestID matches a reply with its request within one node.
type RequestID uint64

// Apply asks for a snapshot to be accepted as version Base+1.
type Apply struct {
	Request   RequestID
	Operation OperationID
	Operator  string
	Note      string
	// Base is the version that the operator's change was made against.
	Base     mesh.ConfigVersion
	Snapshot *config.Snapshot
	// Deadline is the time at which the reducer replies even if the result is
	// not known.
	Deadline mesh.Time
}

// ReadHistory asks for the newest history rows, newest first.
type ReadHistory struct {
	Request RequestID
	// Limit is the number of rows, 1 to MaxHistoryRows.
	Limit    int
	Deadline mesh.Time
}

// Status tells how a request ended.
type Status uint8

// Results of a request.
const (
	// Done means that the request took effect, now or at an earlier send.
	Done Status = iota + 1
	// Conflict means that the head is not at the base; nothing was changed.
	Conflict
	// Rejected means that the request is invalid; nothing was changed.
	Rejected
	// NotFound means that the move does not exist.
	NotFound
	// Unavailable means that the platform did not answer before the deadline
	// and that this send has changed nothing. An earlier send may have.
	Unavailable
	// Unsettled means that the platform did not answer before the deadline and
	// that the request may yet take effect. Sending the same operation ID
	// again gives its result.
	Unsettled
	// Failed means that the platform's rows are malformed or missing. This
	// send has changed nothing.
	Failed
)

var statusNames = [...]string{Done: "done", Conflict: "conflict", Rejected: "rejected",
	NotFound: "not-found", Unavailable: "unavailable", Unsettled: "unsettled", Failed: "failed"}

// String returns the status as it stands in the operator commands' output.
func (s Status) String() string {
	if s == 0 || int(s) >= len(statusNames) {
		return "unknown"
	}
	return statusNames[s]
}

// Reply is the result of a request.
type Reply struct {
	Request RequestID
	Status  Status
	// Version is the version created by an Apply that is Done, or the current
	// version on Conflict.
	Version mesh.ConfigVersion
	Hash    config.Hash
	// Faults lists the faults of a rejected snapshot.
	Faults config.Faults
	// History holds the rows read, newest first.
	History []platform.History
	// Detail explains a Status other than Done.
	Detail string
}

// Effects collects the effects of a step.
type Effects struct {
	Platform []platform.Request
	Replies  []Reply
}

// Reset empties e and keeps its memory.
func (e *Effects) Reset() {
	e.Platform = e.Platform[:0]
	e.Replies = e.Replies[:0]
}
