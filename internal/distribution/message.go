package distribution

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Head identifies an accepted configuration by its version and hash. A version
// never changes its hash. "The head" is the newest accepted configuration.
type Head struct {
	Version mesh.ConfigVersion
	// Hash is the SHA-256 of the content in hex.
	Hash string
}

// Message is a distribution message to one peer. Unused fields are empty and
// are not encoded, apart from their presence bits.
type Message struct {
	Status *Status
	Push   *Push
	Pull   *Pull
	// FreshRequest asks the receiver for a head read from the platform by a
	// read that begins after this message arrives. The value is the sender's
	// nonce, which the answer repeats.
	FreshRequest uint64
	FreshHead    *FreshHead
	Items        []Item
	// ItemSteps lists the steps of all items of the sender. It is sent when
	// the item digests of two peers differ.
	ItemSteps []ItemStep
	// RequestedItems holds the IDs of items that the sender asks for.
	RequestedItems []string
}

// Status is exchanged with the neighbours once a second. It carries the
// sender's versions and its aggregates.
type Status struct {
	// Reply marks the answer to a Status, which is not answered again.
	Reply bool
	// Head is the newest version that the sender knows of, and Applied the one
	// in force on it.
	Head    mesh.ConfigVersion
	Applied mesh.ConfigVersion
	// Held is the newest version whose content the sender holds, or zero if
	// that is Applied.
	Held mesh.ConfigVersion
	// ItemDigest is the XOR of the hashes of the IDs and steps of the sender's
	// items.
	ItemDigest uint64
	// Ack is the acknowledgement of the sender's subtree. It is set only in
	// messages to the parent.
	Ack *Ack
	// Domains holds acknowledgements of whole failure domains. It is set only
	// between readers.
	Domains []DomainAck
	// Aggregates holds the aggregates that changed since the last Status:
	// those of the sender's subtree in a message to the parent, and those of
	// all failure domains in a message to a child. An empty value removes the
	// aggregate.
	Aggregates []Aggregate
}

// Ack tells on how many hosts of a subtree, or of a larger group, a version is
// in force.
type Ack struct {
	Version mesh.ConfigVersion
	// InForce counts the hosts that have applied the version, and Total all
	// hosts of the subtree.
	InForce uint32
	Total   uint32
	// Missing names up to MaxMissing hosts on which the version is not in
	// force. A child whose acknowledgement is missing or concerns another
	// version is named in place of its whole subtree.
	Missing []mesh.HostID
	// Rejection is set if a host of the subtree rejected the version.
	Rejection *Rejection
}

// DomainAck is the acknowledgement of a failure domain.
type DomainAck struct {
	Domain mesh.FailureDomain
	// Stamp orders the acknowledgements of one failure domain; a higher stamp
	// replaces a lower one.
	Stamp mesh.Time
	Ack   Ack
	// Aggregates holds the aggregates of the failure domain.
	Aggregates []Aggregate
}

// Rejection tells why a version was not applied.
type Rejection struct {
	Version mesh.ConfigVersion
	// Hosts is the number of hosts that rejected the version, and Host is one
	// of them.
	Hosts  uint32
	Host   mesh.HostID
	Reason string
}

// Push carries the content of a version. If both Delta and Full are empty, it
// only announces that the sender holds the version.
type Push struct {
	Head Head
	// Base is the version that Delta applies to. It is zero for full content.
	Base  mesh.ConfigVersion
	Delta []byte
	// Full is the full content, compressed with DEFLATE.
	Full []byte
}

// Pull asks for the content of a version.
type Pull struct {
	Want mesh.ConfigVersion
	// Have is a version whose content the sender holds and that a delta may be
	// based on. Zero asks for full content.
	Have mesh.ConfigVersion
}

// FreshHead answers a FreshRequest with a head read from the platform after
// the request arrived.
type FreshHead struct {
	Nonce uint64
	Head  Head
}

// Item is a small opaque value, such as the state of a move. An item is never
// replaced by one with the same ID and a lower or equal step.
type Item struct {
	ID    string
	Step  uint64
	Value []byte
}

// ItemStep is the ID and the step of an item.
type ItemStep struct {
	ID   string
	Step uint64
}

// AggregateKind identifies the package that an aggregate belongs to and its
// merge function.
type AggregateKind uint8

// Aggregate is a small opaque value that is merged over the hosts of a
// subtree, a failure domain or the mesh.
type Aggregate struct {
	Kind  AggregateKind
	Value []byte
}

// Send is a message to a member.
type Send struct {
	To      mesh.HostID
	Message Message
}

// Applied instructs the node to put a configuration in force.
type Applied struct {
	Head    Head
	Content []byte
}

// Output collects the effects of calls to a Reducer.
type Output struct {
	Sends    []Send
	Platform []platform.Request
	// Applied holds the configurations to put in force, in the order of the
	// calls. Only the last one counts.
	Applied []Applied
	// Rejected lists the versions that this node rejected.
	Rejected []Rejection
	// Items lists the items that are new or have advanced to a higher step.
	Items []Item
	// Established is set in the step in which the version floor becomes known.
	Established bool
}

// Reset empties o and keeps its memory for reuse.
func (o *Output) Reset() {
	clear(o.Sends)
	clear(o.Platform)
	clear(o.Applied)
	clear(o.Items)
	*o = Output{Sends: o.Sends[:0], Platform: o.Platform[:0], Applied: o.Applied[:0],
		Rejected: o.Rejected[:0], Items: o.Items[:0]}
}
