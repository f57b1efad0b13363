// Package proxy is the reducer of a sidecar on a platform whose store holds the
// operator's rows and the list of hosts. It combines routing, admission, retries
// and roll-outs into one state machine: events in, effects as data out. It reads
// no clock, random source or network; all three come with the events.
//
// A request enters the mesh at its entry node, which forwards it to the gate of a host:
// the admission control in front of the host's instance. A run is the execution of a
// request by an instance. A repeat is an attempt after an earlier one has reached, or
// may have reached, an instance. A run that a repeat has started is a repeated run; the
// attempts of the calls that it makes count as repeats too.
package proxy

import (
	"cmp"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/admission"
	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/placement"
	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/quota"
	"github.com/chicoryscale/chicoryscale/internal/random"
	"github.com/chicoryscale/chicoryscale/internal/retry"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
	"github.com/chicoryscale/chicoryscale/internal/warmup"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

// Settings describe the host and the limits of the deployment.
type Settings struct {
	Host   mesh.HostID
	Domain mesh.FailureDomain
	// ForwardAddr and PeerAddr are the "ip:port" at which other nodes reach this
	// one, for requests and for exchanges of state.
	ForwardAddr string
	PeerAddr    string
	// LinkMbps is the bandwidth of the host's network link in Mbit/s.
	LinkMbps int
	// Service is the service whose instance runs on this host.
	Service     mesh.Service
	Incarnation mesh.Incarnation
	// Repeats is the retry budget that all nodes of the deployment share.
	Repeats retry.WindowBudget
	// Warmup bounds the requests that a cold instance may receive.
	Warmup warmup.Bounds
	// Quota states by how much tenants may exceed their quotas. The zero value stands for
	// quota.DefaultBounds.
	Quota quota.Bounds
	// WorkAware makes placement and the gate use the predicted work of each request
	// instead of the mean work of its route.
	WorkAware bool
}

// Node is the reducer of one sidecar.
type Node struct {
	settings Settings

	config   *catalog.Snapshot
	table    *placement.Table
	gate     *admission.Gate
	poison   *poison.Table
	rollouts *rollout.Reducer
	work     *workcost.Estimator // nil unless Settings.WorkAware is set
	windows  map[mesh.Service]*retry.Window
	// routeWindows count the requests and repeats of each route at this node as the
	// entry node. runs counts the runs of the instance on this host.
	routeWindows  map[mesh.Route]*retry.Window
	runs          instanceRuns
	splits        map[mesh.Route]*trafficSplit
	maxClientTime map[mesh.Route]time.Duration // largest CallArrived.Budget of each route so far

	heldCalls    []heldCall // requests that wait for the first configuration, oldest first
	quota        *quota.Node
	quotaEffects quota.Effects // of the current step; reused
	// waitingCalls are requests that wait for a share of their tenant's quota, oldest first.
	waitingCalls          []waitingCall
	tokenServerHosts      []mesh.HostID // of this failure domain
	tokenServersChangedAt mesh.Time
	holderCount           int // token servers of all failure domains
	nextBaseCheck         mesh.Time
	tokenServers          map[mesh.HostID]*tokenServer
	calls                 map[mesh.CallID]*call
	gateCalls             map[mesh.CallID]*gateCall
	gateEffects           []admission.Effect
	warmup                *warmup.Limiter // of the instance on this host
	// loggedWarmUp is the state of the instance in the newest log line about it.
	loggedWarmUp warmup.State
	evacuations  map[mesh.FailureDomain]evacuation

	self    Member
	members map[mesh.HostID]*memberState
	digest  memberDigest // digest of the records of members
	// forgotten holds the tombstones of hosts that were forgotten a short time ago.
	forgotten      map[mesh.HostID]forgottenHost
	firstAnnounced map[mesh.InstanceID]mesh.Time // time of each instance's first announcement, zero if it counts as warm
	local          localInstance
	predecessor    predecessor
	// unconfirmed is the newest heartbeat of an instance that has not answered a probe yet,
	// nil if there is none.
	unconfirmed *InstanceReported
	probing     mesh.InstanceID // instance whose probe is in progress, empty if there is none
	// membersChanged causes the routing table to be rebuilt at the end of the step.
	membersChanged bool

	started      mesh.Time
	store        StoreState
	stopping     bool
	stopDeadline mesh.Time
	// gateClosesAt is the time at which the gate of this node closes if it is stopping.
	gateClosesAt mesh.Time
	counters     Counters
}

// step holds the arguments of one call of Step.
type step struct {
	now    mesh.Time
	random random.Source
	out    *Ready
}

// New returns the reducer of a node that has no configuration and knows no other host.
func New(now mesh.Time, s Settings) *Node {
	n := &Node{
		settings:       s,
		table:          placement.New(s.Domain),
		gate:           admission.New(admission.Limits{QueuePerSlot: queuePerSlot, InitialServiceTime: initialServiceTime}),
		tokenServers:   make(map[mesh.HostID]*tokenServer),
		evacuations:    make(map[mesh.FailureDomain]evacuation),
		warmup:         warmup.New(now, s.Warmup),
		poison:         poison.New(),
		rollouts:       rollout.New(s.Host),
		windows:        make(map[mesh.Service]*retry.Window),
		routeWindows:   make(map[mesh.Route]*retry.Window),
		runs:           newInstanceRuns(now),
		splits:         make(map[mesh.Route]*trafficSplit),
		maxClientTime:  make(map[mesh.Route]time.Duration),
		calls:          make(map[mesh.CallID]*call),
		gateCalls:      make(map[mesh.CallID]*gateCall),
		members:        make(map[mesh.HostID]*memberState),
		forgotten:      make(map[mesh.HostID]forgottenHost),
		firstAnnounced: make(map[mesh.InstanceID]mesh.Time),
		started:        now,
		quota:          quota.NewNode(now, s.Host, s.Incarnation, cmp.Or(s.Quota, quota.DefaultBounds)),
	}
	n.quota.SetResponsible(func(tenant mesh.Tenant) bool { return n.tokenServerOf(tenant) == s.Host })
	if s.WorkAware {
		n.work = workcost.New()
	}
	n.self = Member{
		Host: s.Host, Domain: s.Domain, ForwardAddr: s.ForwardAddr, PeerAddr: s.PeerAddr,
		LinkMbps: s.LinkMbps, Incarnation: s.Incarnation, Sequence: 1,
	}
	n.members[s.Host] = &memberState{reachable: true}
	n.setRecord(n.members[s.Host], &n.self)
	return n
}

// Step applies one event and appends its effects to out. The seed determines the random
// choices of the step.
func (n *Node) Step(now mesh.Time, seed uint64, ev Event, out *Ready) {
	s := &step{now: now, random: random.New(seed), out: out}
	ev.apply(n, s)
	n.flushGate(s)
	n.probeWarmUp(s)
	if n.membersChanged {
		n.membersChanged = false
		n.updateRouting(s)
		out.MembersChanged = true
	}
}

// log appends a log line.
func (s *step) log(kind string, attrs ...any) {
	s.out.LogRecords = append(s.out.LogRecords, LogRecord{Kind: kind, Attrs: attrs})
}

// jitter returns a random duration of at least half of d and less than d.
func (s *step) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(s.random.Next()%uint64(max(d/2, 1)))
}

// Ready reports whether the node can serve: it has a configuration, it has read the
// store or knows another host, and it isn't stopping.
func (n *Node) Ready() bool {
	return n.config != nil && (n.store.Loaded || len(n.members) > 1) && !n.stopping
}

// RollingOut reports whether a roll-out is running.
func (n *Node) RollingOut() bool { return n.rollouts.AnyRunning() }

// Idle reports whether no request is in progress.
func (n *Node) Idle() bool {
	return len(n.heldCalls) == 0 && len(n.waitingCalls) == 0 && len(n.calls) == 0 && len(n.gateCalls) == 0
}

// Config returns the configuration in force, nil if none is known.
func (n *Node) Config() *catalog.Snapshot { return n.config }

// Counters returns the counts since the start of the process.
func (n *Node) Counters() Counters {
	c := n.counters
	c.Quota = n.quota.Counters()
	return c
}

// Counters count decisions since the start of the process.
type Counters struct {
	Calls, Answered, NotRun, MayHaveRun, Cancelled       uint64
	Forwards, RepeatsRefused                             uint64               // RepeatsRefused: by the retry budget
	Repeats                                              [repeatCauses]uint64 // by cause
	GateCalls, GateDispatched, GateRejected              uint64
	GateRepeats                                          uint64 // dispatched requests that are certainly repeats
	Evacuations                                          uint64 // begins and ends of evacuations that this node has learned of
	WarmUpRefused, WarmUpProbes                          uint64 // requests refused by the limit of a cold instance, and probes for it
	HostFailures, ConfigApplied                          uint64
	UnknownKeys                                          uint64 // requests refused because no tenant holds their key
	HeartbeatsAccepted, HeartbeatsIgnored, RolloutWrites uint64
	Quota                                                quota.Counters
}

func (e StoreState) apply(n *Node, s *step) {
	if e.Alive != n.store.Alive {
		s.log("store.state", "alive", e.Alive, "loaded", e.Loaded)
	}
	n.store = e
}

func (e ConfigurationSeen) apply(n *Node, s *step) {
	// A version is applied only if it is newer, so that a late or duplicate message
	// never reverts the configuration.
	if n.config != nil && e.Snapshot.Version <= n.config.Version {
		return
	}
	n.config = e.Snapshot
	n.counters.ConfigApplied++
	keptSplits := make(map[mesh.Route]*trafficSplit)
	keptWindows := make(map[mesh.Route]*retry.Window)
	for i := range e.Snapshot.Routes {
		name := e.Snapshot.Routes[i].Name
		if old := n.splits[name]; old != nil {
			keptSplits[name] = old
		}
		if old := n.routeWindows[name]; old != nil {
			keptWindows[name] = old
		}
	}
	n.splits = keptSplits
	n.routeWindows = keptWindows
	n.updateWarmUpLimit(s)
	n.quota.Configure(s.now, e.Snapshot.Tenants)
	s.log("config.applied", "version", uint64(e.Snapshot.Version), "routes", len(e.Snapshot.Routes), "services", len(e.Snapshot.Services))
	n.probePredecessorInstance(s)
	n.confirmReport(s)
	if len(n.heldCalls) > 0 {
		n.updateRouting(s) // so that the table has the members of this step too
		n.beginHeldCalls(s)
	}
}

// gateCloseDelay is the time for which the gate of a stopping node still accepts
// requests. Clients need longer than that to move to other nodes, and the instance
// keeps running while its node is replaced.
const gateCloseDelay = 1500 * time.Millisecond

// closeGateWhenDue closes the gate of a stopping node at gateClosesAt and announces it
// to the other hosts.
func (n *Node) closeGateWhenDue(s *step) {
	if !n.stopping || n.self.Leaving || s.now < n.gateClosesAt {
		return
	}
	n.self.Leaving = true
	n.announceSelf(s)
}

func (e Stop) apply(n *Node, s *step) {
	if n.stopping {
		return
	}
	n.stopping, n.stopDeadline, n.gateClosesAt = true, e.Ends, s.now.Add(gateCloseDelay)
	s.log("node.stopping", "calls", len(n.calls), "gate_calls", len(n.gateCalls))
}

// SettingsChanged carries the settings that take effect without a restart.
type SettingsChanged struct {
	Service mesh.Service
	Repeats retry.WindowBudget
}

func (e SettingsChanged) apply(n *Node, _ *step) {
	n.settings.Service, n.settings.Repeats = e.Service, e.Repeats
}
