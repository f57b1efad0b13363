package membership

import "github.com/chicoryscale/chicoryscale/internal/mesh"

// MessageKind tells what a Message is for.
type MessageKind uint8

// Kinds of messages.
const (
	// KindHeartbeat probes a neighbour or the ring peer and carries record
	// deltas.
	KindHeartbeat MessageKind = iota + 1
	// KindHeartbeatReply answers a heartbeat or an exchange.
	KindHeartbeatReply
	// KindExchange compares digests with a random member. Unlike a heartbeat it
	// does not make the sender a link of the receiver.
	KindExchange
	// KindDelta carries records between heartbeats.
	KindDelta
	// KindJoin announces a node to a seed.
	KindJoin
	// KindJoinReply carries the records of the members that a joining node
	// contacts first.
	KindJoinReply
	// KindRepair carries one step of a repair after a digest mismatch.
	KindRepair
)

// Message is a membership message to one peer. Fields that do not apply are
// empty and take no bytes on the wire.
type Message struct {
	Kind MessageKind
	// Digest covers all records of the sender.
	Digest uint64
	// Unreachable lists the failure domains that the sender cannot reach. A
	// child adopts the list of its parent.
	Unreachable []mesh.FailureDomain
	Records     Batch
	Repair      *Repair
	// Assignment is set on replies to a member of the sender's failure domain
	// that is not a child of the sender.
	Assignment *ParentAssignment
}

// Repair is one step of an anti-entropy repair, in which two members compare
// their records. The steps carry Digests, Buckets, Summaries and RequestedHosts
// in this order, and each narrows the difference further.
type Repair struct {
	// Digests has one entry for each failure domain that the sender knows. If
	// LocalOnly is set, it covers only the failure domain of both members.
	Digests   []DomainDigest
	LocalOnly bool
	// Buckets has an entry for each failure domain whose digests differ.
	Buckets []BucketDigests
	// Summaries lists the sender's records in the buckets that differ.
	Summaries []BucketSummary
	// RequestedHosts names the hosts whose records the sender requests.
	RequestedHosts []mesh.HostID
	// RequestedDomains names failure domains of which the sender requests all
	// records.
	RequestedDomains []mesh.FailureDomain
}

// DomainDigest summarises the records of one failure domain.
type DomainDigest struct {
	Domain mesh.FailureDomain
	Digest uint64
	// Count is the number of records.
	Count uint32
}

// BucketDigests holds one digest for each of the digestBuckets hash buckets of
// a failure domain's records.
type BucketDigests struct {
	Domain  mesh.FailureDomain
	Digests []uint64
}

// BucketSummary lists the records of one hash bucket.
type BucketSummary struct {
	Domain mesh.FailureDomain
	Bucket uint8
	IDs    []RecordID
}

// Batch is a list of records.
type Batch []Record

// Send is a message to a peer. To is empty for a seed whose host is unknown.
type Send struct {
	To mesh.HostID
	// Addr is the control address of the peer.
	Addr    string
	Message Message
}

// Change reports that the record of a member was replaced.
type Change struct {
	// Old is nil for a new member.
	Old *Record
	New *Record
}

// Output collects the effects of calls to a Reducer.
type Output struct {
	Sends   []Send
	Changes []Change
}

// Reset empties o and keeps its memory.
func (o *Output) Reset() {
	clear(o.Sends)
	clear(o.Changes)
	o.Sends = o.Sends[:0]
	o.Changes = o.Changes[:0]
}
