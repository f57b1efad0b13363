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
	// MsgRelease tells the primary that a granted request definitely did not run.
	MsgRelease
	// MsgReplicate asks the backup to store records.
	MsgReplicate
	// MsgAck acknowledges MsgReplicate.
	MsgAck
	// MsgSynced tells the manager that the backup has all records.
	MsgSynced
	// MsgLeaving tells the manager that the sender is about to stop and that
	// its shards should move to other replicas.
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
	// Ticket identifies the claim at the entry node that made it.
	Ticket  Ticket
	Verdict Verdict
	// Seq matches MsgAck with MsgReplicate.
	Seq     uint64
	Records []Record
}

// Ticket identifies one claim: Requester is the process of the entry node that
// made it, and Number is unique within that process.
type Ticket struct {
	Requester Replica
	Number    uint64
}

// RecordState is the state of the record of an identity.
type RecordState uint8

// States of a record.
const (
	// Granted means that the request may run or may have run.
	Granted RecordState = iota + 1
	// Released means that the granted request definitely did not run.
	Released
)

// Record is the stored state of one claimed identity.
type Record struct {
	ID     Identity
	State  RecordState
	Ticket Ticket
	// Epoch and Revision order the changes of the record, by epoch first: a
	// change that a former primary made alone and that was never acknowledged
	// must not override a change by its successor.
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
	// VerdictUnavailable means that no member of the shard could decide. An
	// earlier send of the request may have run or not.
	VerdictUnavailable
	// VerdictFuture means that the creation time of the identity is too far
	// ahead of the primary's clock. The request has definitely never been
	// granted.
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

// isNewerThan reports whether r is a later change than old.
func (r *Record) isNewerThan(old *Record) bool {
	if r.Epoch != old.Epoch {
		return r.Epoch > old.Epoch
	}
	return r.Revision > old.Revision
}
