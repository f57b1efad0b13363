// Package distribution brings every node to the newest accepted
// configuration: it polls the head, pushes deltas down the tree, repairs what
// was lost, and never applies a version below one that the host has applied
// before.
//
// It is a pure reducer. Time, seeds and platform results are arguments,
// messages and platform requests are appended to an Output, and iteration
// order is deterministic.
package distribution

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Content interprets the bytes of a configuration. Implementations are pure.
type Content interface {
	// Hash returns the SHA-256 of the canonical content in hex.
	Hash(full []byte) string
	// Validate decodes the content and checks that every reference in it is
	// closed. The error is the reason of the rejection.
	Validate(full []byte) error
	// Diff returns the delta from base to next.
	Diff(base, next []byte) ([]byte, error)
	// Patch applies a delta to base and returns the canonical content.
	Patch(base, delta []byte) ([]byte, error)
}

// Topology is the view of the mesh that distribution needs.
// *membership.Reducer implements it.
type Topology interface {
	// Joined reports whether the node knows its place in the tree.
	Joined() bool
	Parent() (mesh.HostID, bool)
	Children() []mesh.HostID
	IsReader() bool
	Readers(domain mesh.FailureDomain) []mesh.HostID
	Domains() []mesh.FailureDomain
	// Unreachable reports whether a failure domain cannot be reached.
	Unreachable(domain mesh.FailureDomain) bool
	// LiveCount returns the number of live members of a failure domain.
	LiveCount(domain mesh.FailureDomain) int
	// Links returns the peers that new versions are pushed to.
	Links() []mesh.HostID
	// Exchanges returns the peers that are sent a Status in this step.
	Exchanges() []mesh.HostID
}

// Merge combines two aggregates of one kind. It must be commutative and
// associative and must not change its arguments.
type Merge func(a, b []byte) []byte

// Settings describe the local host and the packages that share the channel.
type Settings struct {
	Host    mesh.HostID
	Domain  mesh.FailureDomain
	Content Content
	// ItemStep returns the step of the value of a platform row below
	// ItemPrefix. It is false for a row that is malformed.
	ItemStep func(value []byte) (step uint64, ok bool)
	// Merges holds the merge function of each kind of aggregate.
	Merges map[AggregateKind]Merge
}

// Reducer holds the distribution state of one node.
type Reducer struct {
	settings Settings
	topology Topology
}

// New returns the reducer of a node that knows no configuration.
func New(s Settings, t Topology) *Reducer { return &Reducer{settings: s, topology: t} }

// Tick advances time: head polling, requests for a fresh head, status
// exchange with the peers of Topology.Exchanges, and retries. It follows the
// Tick of the membership in the same step.
func (r *Reducer) Tick(now mesh.Time, seed uint64, out *Output) {}

// Receive handles a message of a member.
func (r *Reducer) Receive(now mesh.Time, from mesh.HostID, m *Message, out *Output) {}

// PlatformResult handles the result of a platform request of this package.
func (r *Reducer) PlatformResult(now mesh.Time, res *platform.Result, out *Output) {}

// Published tells that this node has moved the platform's head to content.
func (r *Reducer) Published(now mesh.Time, head Head, content []byte, out *Output) {}

// PutItem distributes an item that this node has written to the platform.
func (r *Reducer) PutItem(now mesh.Time, item Item, out *Output) {}

// SetLocal sets this node's contribution to an aggregate. A nil value removes
// it.
func (r *Reducer) SetLocal(kind AggregateKind, value []byte) {}

// Aggregate returns the aggregate of all reachable failure domains as known
// here, and nil if there is none.
func (r *Reducer) Aggregate(kind AggregateKind) []byte { return nil }

// Established reports whether the version floor is known.
func (r *Reducer) Established() bool { return false }

// Floor returns the version floor. It is false while the floor is unknown.
func (r *Reducer) Floor() (mesh.ConfigVersion, bool) { return 0, false }

// Head returns the newest configuration known here.
func (r *Reducer) Head() Head { return Head{} }

// AppliedHead returns the configuration in force on this node.
func (r *Reducer) AppliedHead() Head { return Head{} }

// Item returns the newest state of an item.
func (r *Reducer) Item(id string) (Item, bool) { return Item{}, false }

// Items returns all items in ascending order of their IDs.
func (r *Reducer) Items() []Item { return nil }

// InForce returns the acknowledgement of the newest version over all failure
// domains. It is complete on readers only.
func (r *Reducer) InForce() Ack { return Ack{} }
