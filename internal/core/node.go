package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/claims"
	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/distribution"
	"github.com/chicoryscale/chicoryscale/internal/membership"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/moves"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/publish"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// TickInterval is the period of KindTick. It bounds the delay of timeouts.
const TickInterval = 20 * time.Millisecond

// Settings describe the node.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// ControlAddr and PeerAddr are the "ip:port" at which peers reach the node
	// for control messages and for forwarded calls, respectively.
	ControlAddr string
	PeerAddr    string
	// Started is the start time of the process.
	Started mesh.Time
	// Seeds are the control addresses of nodes that this node contacts to join.
	Seeds []string
	// QueuePerSlot bounds the calls that wait for each slot of an instance.
	// Zero selects the default of package admission.
	QueuePerSlot int
}

// Node is the reducer of one node. It combines the reducers of all subsystems.
type Node struct {
	settings Settings

	members  *membership.Reducer
	dist     *distribution.Reducer
	publish  *publish.Publisher
	router   *routing.Router
	gate     *admission.Gate
	retrier  *retry.Retrier
	claims   *claims.State
	poison   *poison.Table
	moves    *moves.Reducer
	counters Counters

	// accepted is the configuration in force, nil before the first one. It is
	// never changed, only replaced as a whole.
	accepted *config.Accepted

	calls          map[mesh.CallID]*call
	freeCalls      []*call // ended calls, whose memory newCall reuses
	gateCalls      map[mesh.CallID]gateCall
	localInstances map[mesh.InstanceID]bool
	// firstSeen holds the times of the first announcements of instances, zero for
	// those learned during startup.
	firstSeen map[mesh.InstanceID]mesh.Time

	versions       servingVersions
	instancesDirty bool
	nextControlAt  mesh.Time
	// establishedAt is the time at which the version floor became known.
	// moveStatesReceived is set once the node has received states of moves from
	// a peer or has read them from the platform.
	establishedAt      mesh.Time
	moveStatesReceived bool
	// sharedPoisonVersion is the version of the poison table that was last sent to
	// the other nodes.
	sharedPoisonVersion uint64
	// pendingApplies holds the encoded snapshots of the apply requests that are
	// not yet answered, by request ID.
	pendingApplies map[uint64][]byte
	drainStartedAt mesh.Time // start of a graceful stop, zero if none
	leftAt         mesh.Time // announcement that the node leaves, zero before it
	nextExpireAt   mesh.Time

	scratch scratch
}

// scratch holds the outputs of sub-reducers, to reuse their memory in later
// steps.
type scratch struct {
	members       membership.Output
	dist          distribution.Output
	publish       publish.Effects
	claims        claims.Effects
	moves         moves.Effects
	gate          []admission.Effect
	instances     []routing.Instance
	crashSuspects []mesh.Fingerprint
	poisonEntries []poison.Entry
	expiredCalls  []mesh.CallID
	outbox        outbox
}

// New returns the reducer of a node with empty state.
func New(s Settings) *Node {
	n := &Node{
		settings:       s,
		publish:        publish.New(),
		router:         routing.New(s.Domain),
		gate:           admission.New(admission.Limits{QueuePerSlot: s.QueuePerSlot}),
		retrier:        retry.New(),
		claims:         claims.New(claims.Replica{Host: s.Host, Started: s.Started}, s.Domain),
		poison:         poison.New(),
		calls:          make(map[mesh.CallID]*call),
		gateCalls:      make(map[mesh.CallID]gateCall),
		localInstances: make(map[mesh.InstanceID]bool),
		firstSeen:      make(map[mesh.InstanceID]mesh.Time),
		pendingApplies: make(map[uint64][]byte),
		versions:       newServingVersions(),
	}
	n.members = membership.New(membership.Settings{
		Host: s.Host, Domain: s.Domain, ControlAddr: s.ControlAddr, CallAddr: s.PeerAddr,
		Incarnation: mesh.Incarnation(s.Started), Seeds: s.Seeds,
	})
	n.dist = distribution.New(distribution.Settings{
		Host: s.Host, Domain: s.Domain, Content: configContent{},
		Merges: map[distribution.AggregateKind]distribution.Merge{aggregatePoison: mergePoison},
	}, n.members)
	n.moves = moves.New(moves.Config{Host: s.Host, Domain: s.Domain, Incarnation: mesh.Incarnation(s.Started)})
	return n
}

// Step applies one event and appends its effects to out.
func (n *Node) Step(ev *Event, out *Ready) {
	switch ev.Kind {
	case KindCallArrived:
		n.callArrived(ev, out)
	case KindAttemptDone:
		n.attemptDone(ev, out)
	case KindCallCancelled:
		n.callCancelled(ev, out)
	case KindGateArrived:
		n.gateArrived(ev, out)
	case KindGateDone:
		n.gateDone(ev, out)
	case KindGateCancelled:
		n.gateCancelled(ev, out)
	case KindTick:
		n.tick(ev, out)
	case KindAnnounced:
		n.announced(ev, out)
	case KindEnvelope:
		n.envelope(ev, out)
	case KindPlatform:
		n.platformResult(ev, out)
	case KindOperator:
		n.operator(ev, out)
	case KindSendFailed:
		n.counters.SendsFailed++ // the protocols resend lost messages that are still needed
	case KindDrain:
		n.drain(ev, out)
	}
	n.scratch.outbox.flush(n, out)
}

// Applied returns the version in force, for metrics.
func (n *Node) Applied() mesh.ConfigVersion { return n.dist.AppliedHead().Version }

// Counters returns the counts since the start of the process.
func (n *Node) Counters() Counters {
	c := n.counters
	r := n.retrier.Counters()
	c.Retries, c.LateAnswers = r.Retries, c.LateAnswers+r.LateResults
	return c
}
