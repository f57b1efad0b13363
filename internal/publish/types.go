// Package publish is the reducer that publishes an operator's configuration
// through the platform's table and object store.
//
// A version number is assigned by one transaction that advances the row "head"
// and creates the version's history row, so a version always names the same
// content. The same transaction records the operation ID, so an operation that
// is sent again, or whose answer was lost, finds its first result.
package publish

import (
	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// OperationID identifies an operator's operation. It is the same each time the
// operation is sent.
type OperationID string

// RequestID matches a reply to its request within one node.
type RequestID uint64

// Apply requests that a snapshot be accepted as version Base+1.
type Apply struct {
	Request   RequestID
	Operation OperationID
	Operator  string
	Note      string
	// Base is the version from which the operator's change was made. The
	// request conflicts if the head has another version.
	Base     mesh.ConfigVersion
	Snapshot *config.Snapshot
	// Deadline is the time at which the reducer replies even if the result is
	// not known.
	Deadline mesh.Time
}

// ReadHistory requests the newest history rows, newest first.
type ReadHistory struct {
	Request RequestID
	// Limit is the largest number of rows to return, 1 to MaxHistoryRows.
	Limit    int
	Deadline mesh.Time
}

// Status tells how a request ended.
type Status uint8

// Results of a request.
const (
	// Done means that the request took effect, either now or when it was sent
	// before.
	Done Status = iota + 1
	// Conflict means that the head's version is not the base. Nothing was
	// changed.
	Conflict
	// Rejected means that the request is invalid. Nothing was changed.
	Rejected
	// NotFound means that the move does not exist.
	NotFound
	// Unavailable means that the platform did not answer before the deadline,
	// or that MaxRequests was reached, and that this request has changed
	// nothing. The same operation may have taken effect when it was sent
	// before.
	Unavailable
	// Unsettled means that the result is not known, usually because the
	// platform did not answer before the deadline, and that the request may
	// have taken effect or may still do so. Sending the same operation ID
	// again returns its result.
	Unsettled
	// Failed means that platform rows are malformed or missing. This request
	// has changed nothing.
	Failed
)

var statusNames = [...]string{Done: "done", Conflict: "conflict", Rejected: "rejected",
	NotFound: "not-found", Unavailable: "unavailable", Unsettled: "unsettled", Failed: "failed"}

// String returns the status as the operator commands print it.
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
	// Version is the version that the Apply created if it is Done, or the
	// current version on Conflict and in a reply to ReadHistory. Hash is its
	// hash.
	Version mesh.ConfigVersion
	Hash    config.Hash
	// Faults lists the faults of a rejected snapshot.
	Faults config.Faults
	// History holds the history rows, newest first.
	History []platform.History
	// Detail explains a Status other than Done.
	Detail string
}

// Effects collects the effects of calls to a Publisher.
type Effects struct {
	Platform []platform.Request
	Replies  []Reply
}

// Reset empties e and keeps its memory for reuse.
func (e *Effects) Reset() {
	e.Platform = e.Platform[:0]
	e.Replies = e.Replies[:0]
}
