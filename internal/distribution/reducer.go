// Package distribution brings every node to the newest accepted configuration.
// Readers poll the platform for the head, nodes push deltas down the tree of
// their failure domain, and content that was lost on the way is pulled from
// peers or read from the object store. A node never applies a version below
// one that its host has applied before.
//
// It is a pure reducer. Time, random seeds and platform results are arguments,
// messages and platform requests are appended to an Output, and iteration
// order is deterministic.
package distribution

import (
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Content interprets the bytes of a configuration. Implementations are pure.
type Content interface {
	// Hash returns the SHA-256 of the canonical content in hex.
	Hash(full []byte) string
	// Validate decodes the content and checks that every reference in it names
	// an object of the same content. The error is the reason of the rejection.
	Validate(full []byte) error
	// Diff returns the delta from base to next.
	Diff(base, next []byte) ([]byte, error)
	// Patch applies a delta to base and returns the canonical content.
	Patch(base, delta []byte) ([]byte, error)
}

// Topology is the view of the mesh that distribution needs.
// *membership.Reducer implements it.
type Topology interface {
	// Joined reports whether the node knows its position in the tree.
	Joined() bool
	Parent() (mesh.HostID, bool)
	Children() []mesh.HostID
	IsReader() bool
	Readers(domain mesh.FailureDomain) []mesh.HostID
	// Hosts returns the live members of a failure domain in a new slice.
	Hosts(domain mesh.FailureDomain) []mesh.HostID
	Domains() []mesh.FailureDomain
	// DomainOf returns the failure domain of a known host.
	DomainOf(host mesh.HostID) (mesh.FailureDomain, bool)
	// LiveCount returns the number of live members of a failure domain.
	LiveCount(domain mesh.FailureDomain) int
	// Links returns the peers that new versions are pushed to.
	Links() []mesh.HostID
	// Exchanges returns the peers that are sent a Status in this step, which
	// are those that the membership protocol contacted in its last Tick.
	Exchanges() []mesh.HostID
}

// Merge combines two aggregates of one kind. It must be commutative and
// associative and must not change its arguments.
type Merge func(a, b []byte) []byte

// Settings describe the local host and hold the callbacks of the packages
// whose data travels in distribution messages: configuration, items and
// aggregates.
type Settings struct {
	Host    mesh.HostID
	Domain  mesh.FailureDomain
	Content Content
	// ItemStep returns the step in the value of a platform row below
	// ItemPrefix, and false for a malformed row. If it is nil, items are not
	// read from the platform.
	ItemStep func(value []byte) (step uint64, ok bool)
	// Merges holds the merge function of each kind of aggregate. Aggregates of
	// other kinds are left out when aggregates are merged.
	Merges map[AggregateKind]Merge
}

// Reducer is the state machine of distribution on one node. Its methods take
// events, change the state and append the resulting messages and platform
// requests to an Output; they do no I/O.
type Reducer struct {
	settings Settings
	topology Topology
	now      mesh.Time

	// head is the newest known configuration. Its hash is empty while only the
	// version is known. applied is the configuration in force on this node.
	head     Head
	applied  Head
	floor    floor
	contents contentStore
	// rejected holds the versions whose content failed validation here, up to
	// maxRejected.
	rejected map[mesh.ConfigVersion]Rejection

	reads      platformReads
	fetch      fetch
	serveQueue serveQueue
	peers      map[mesh.HostID]*peer

	// itemDigest is the XOR of the hashes of all items, and itemsChangedAt the
	// time of the last change.
	items          map[string]Item
	itemDigest     uint64
	itemsChangedAt mesh.Time

	// domainAcks holds the latest acknowledgement of each failure domain. It
	// is maintained on readers only.
	domainAcks map[mesh.FailureDomain]DomainAck
	// localAggregates are this node's contributions, and parentTotals the
	// aggregates of the whole mesh as the parent reported them.
	localAggregates map[AggregateKind][]byte
	parentTotals    map[AggregateKind][]byte

	checks checks
}

// checks are the conditions that a version must meet to be applied. Tests
// disable single ones to show which fault each of them prevents.
type checks struct {
	floor    bool
	validate bool
}

// New returns a reducer without any configuration.
func New(s Settings, t Topology) *Reducer {
	return &Reducer{
		settings:        s,
		topology:        t,
		rejected:        make(map[mesh.ConfigVersion]Rejection),
		peers:           make(map[mesh.HostID]*peer),
		items:           make(map[string]Item),
		domainAcks:      make(map[mesh.FailureDomain]DomainAck),
		localAggregates: make(map[AggregateKind][]byte),
		parentTotals:    make(map[AggregateKind][]byte),
		checks:          checks{floor: true, validate: true},
	}
}

// random returns the source of the random choices of one step. The host is
// part of the seed, since several nodes may be given the same seed.
func (r *Reducer) random(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(r.settings.Host))))
}

// Tick does the work that is due: polling the head, requesting a fresh head,
// sending a Status to the peers of Topology.Exchanges, and retrying. It must
// follow the Tick of the membership reducer in the same step.
func (r *Reducer) Tick(now mesh.Time, seed uint64, out *Output) {
	r.now = now
	rng := r.random(seed)
	r.expirePeers(now)
	r.tickFloor(now, rng, out)
	r.tickReads(now, rng, out)
	r.tickFetch(now, rng, out)
	r.tickServe(now, out)
	r.updateDomainAck(now)
	for _, host := range r.topology.Exchanges() {
		r.sendStatus(now, host, out)
	}
}

// Receive handles a message from a member.
func (r *Reducer) Receive(now mesh.Time, from mesh.HostID, m *Message, out *Output) {
	r.now = now
	if m.FreshRequest != 0 {
		r.acceptFreshRequest(now, from, m.FreshRequest, out)
	}
	if m.FreshHead != nil {
		r.acceptFreshHead(now, from, m.FreshHead, out)
	}
	if m.Push != nil {
		r.acceptPush(now, from, m.Push, out)
	}
	if m.Pull != nil {
		r.acceptPull(now, from, m.Pull, out)
	}
	if len(m.Items) > 0 {
		r.acceptItems(from, m.Items, out)
	}
	if len(m.ItemSteps) > 0 || len(m.RequestedItems) > 0 {
		r.acceptItemSteps(from, m, out)
	}
	if m.Status != nil {
		r.acceptStatus(now, from, m.Status, out)
	}
}

// PlatformResult handles the result of a platform request that this reducer
// issued.
func (r *Reducer) PlatformResult(now mesh.Time, res *platform.Result, out *Output) {
	r.now = now
	switch res.Op {
	case platform.OpRead:
		r.acceptRead(now, res, out)
	case platform.OpGetObject:
		r.acceptObject(now, res, out)
	}
}

// Published applies and pushes a configuration that this node has just made
// the platform's head.
func (r *Reducer) Published(now mesh.Time, head Head, content []byte, out *Output) {
	r.now = now
	r.acceptContent(now, "", head, content, out)
}

func (r *Reducer) send(to mesh.HostID, m Message, out *Output) {
	out.Sends = append(out.Sends, Send{To: to, Message: m})
}

// Head returns the newest configuration that this node knows of.
func (r *Reducer) Head() Head { return r.head }

// AppliedHead returns the configuration in force on this node.
func (r *Reducer) AppliedHead() Head { return r.applied }

// Rejections returns the rejections by this node, of up to maxRejected
// versions, in ascending order of the versions.
func (r *Reducer) Rejections() []Rejection {
	out := make([]Rejection, 0, len(r.rejected))
	for _, version := range sortedKeys(r.rejected) {
		out = append(out, r.rejected[version])
	}
	return out
}
