package distribution

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Head names an accepted configuration. A version never changes its hash.
type Head struct {
	Version mesh.ConfigVersion
	// Hash is the SHA-256 of the content in hex.
	Hash string
}

// Message is a distribution message to one peer. Fields that do not apply are
// empty and take no bytes on the wire.
type Message struct {
	Status *Status
	Push   *Push
	Pull   *Pull
	// FreshRequest asks for a read of the head that begins after this message
	// arrives. It is the asking node's nonce.
	FreshRequest uint64
	Fresh        *Fresh
	Items        []Item
	// ItemSteps lists all items of the sender after a mismatch of digests.
	ItemSteps []ItemStep
	// WantItems names items that the sender asks for.
	WantItems []string
}

// Status is exchanged with the neighbours once a second.
type Status struct {
	// Reply is set on the answer to a Status.
	Reply   bool
	Head    mesh.ConfigVersion
	Applied mesh.ConfigVersion
	// Held is the newest version whose content the sender holds, if it is not
	// Applied.
	Held mesh.ConfigVersion
	// ItemDigest covers the items of the sender.
	ItemDigest uint64
	// Ack is the aggregate of the sender's subtree, set towards the parent.
	Ack *Ack
	// Domains holds the acknowledgements of whole failure domains, exchanged
	// between readers.
	Domains []DomainAck
	// Aggregates holds the aggregates that changed since the last Status: of
	// the sender's subtree towards the parent, of all failure domains towards
	// a child.
	Aggregates []Aggregate
}

// Ack tells on how many hosts of a subtree a version is in force.
type Ack struct {
	Version mesh.ConfigVersion
	// InForce and Total count hosts.
	InForce uint32
	Total   uint32
	// Missing names up to MaxMissing hosts without the version.
	Missing []mesh.HostID
	// Rejection is set if a host of the subtree rejected a version.
	Rejection *Rejection
}

// DomainAck is the acknowledgement of a failure domain.
type DomainAck struct {
	Domain mesh.FailureDomain
	// Stamp orders the acknowledgements of a failure domain.
	Stamp mesh.Time
	Ack   Ack
	// Aggregates holds the aggregates of the failure domain.
	Aggregates []Aggregate
}

// Rejection tells why a version was not applied.
type Rejection struct {
	Version mesh.ConfigVersion
	// Hosts counts the hosts that rejected the version; Host is one of them.
	Hosts  uint32
	Host   mesh.HostID
	Reason string
}

// Push carries the content of a version, or only tells that the sender holds
// it if both Delta and Full are empty.
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
	// Have is a version whose content the sender holds, zero for none.
	Have mesh.ConfigVersion
}

// Fresh answers a FreshRequest.
type Fresh struct {
	Nonce uint64
	Head  Head
}

// Item is a small opaque value, such as the state of a move, that is never
// replaced by one with a lower step.
type Item struct {
	ID    string
	Step  uint64
	Value []byte
}

// ItemStep names the step of an item.
type ItemStep struct {
	ID   string
	Step uint64
}

// AggregateKind names the owner of an aggregate.
type AggregateKind uint8

// Aggregate is a small opaque value that is merged over a subtree.
type Aggregate struct {
	Kind  AggregateKind
	Value []byte
}

// Send is a message to a member.
type Send struct {
	To      mesh.HostID
	Message Message
}

// Applied reports that a configuration is to be put in force.
type Applied struct {
	Head    Head
	Content []byte
}

// Output collects the effects of calls to a Reducer.
type Output struct {
	Sends    []Send
	Platform []platform.Request
	// Applied is at most one configuration; the last one counts.
	Applied []Applied
	// Rejected lists versions that this node refused.
	Rejected []Rejection
	// Items lists items that are new or have a higher step.
	Items []Item
	// Established is set when the version floor becomes known.
	Established bool
}

// Reset empties o and keeps its memory.
func (o *Output) Reset() {
	clear(o.Sends)
	clear(o.Platform)
	clear(o.Applied)
	clear(o.Items)
	*o = Output{Sends: o.Sends[:0], Platform: o.Platform[:0], Applied: o.Applied[:0],
		Rejected: o.Rejected[:0], Items: o.Items[:0]}
}
