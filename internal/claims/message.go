package claims

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// MessageKind tells which fields of a Message are set.
type MessageKind uint8

// Kinds of messages.
const (
	// MsgClaim asks the primary for a grant.
	MsgClaim MessageKind = iota + 1
	// MsgVerdict answers MsgClaim.
	MsgVerdict
	// MsgRelease tells the primary that a granted request surely did not run.
	MsgRelease
	// MsgReplicate asks the backup to store records.
	MsgReplicate
	// MsgAck acknowledges MsgReplicate.
	MsgAck
	// MsgSynced tells the manager that the backup has all records.
	MsgSynced
	// MsgLeaving tells the manager that the sender stops soon and that its shards
	// should continue elsewhere.
	MsgLeaving
)

// Message is a control message between nodes. EncodeMessages omits the fields
// that are not set.
type Message struct {
	Kind   MessageKind
	From   Replica
	Domain mesh.FailureDomain
	Shard  int
	Epoch  uint64
	ID     Identity
	// Ticket identifies the claim at the node that asked.
	Ticket  Ticket
	Verdict Verdict
	// Seq matches MsgAck with MsgReplicate.
	Seq     uint64
	Records []Record
}

// Ticket identifies one claim of one entry node's process.
type Ticket struct {
	Asker  Replica
	Number uint64
}

// RecordState is what is known of an identity.
type RecordState uint8

// States of a record.
const (
	// Granted means that the request may run or may have run.
	Granted RecordState = iota + 1
	// Released means that the granted request surely did not run.
	Released
)

// Record is the memory of one identity.
type Record struct {
	ID     Identity
	State  RecordState
	Ticket Ticket
	// Epoch and Revision order the changes of the record. The epoch comes
	// first: a change that the former primary made alone, and never had
	// acknowledged, must not hide one of its successor.
	Epoch    uint64
	Revision uint32
}

// Verdict is the answer to a claim.
type Verdict uint8

// Verdicts.
const (
	// VerdictGranted lets the entry node forward the request.
	VerdictGranted Verdict = iota + 1
	// VerdictDuplicate means that the request may have run already.
	VerdictDuplicate
	// VerdictUnavailable means that no owner could decide; nothing is known of
	// earlier sends.
	VerdictUnavailable
	// VerdictFuture means that the identity's time is ahead of the clock. The
	// request has surely never been granted.
	VerdictFuture
)

var verdictNames = [...]string{
	VerdictGranted: "granted", VerdictDuplicate: "duplicate",
	VerdictUnavailable: "unavailable", VerdictFuture: "future",
}

// String returns the verdict's name.
func (v Verdict) String() string {
	if v == 0 || int(v) >= len(verdictNames) {
		return "unknown"
	}
	return verdictNames[v]
}

// newer reports whether r is a later change than old.
func (r *Record) newer(old *Record) bool {
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.Revision > old.Revision
}
