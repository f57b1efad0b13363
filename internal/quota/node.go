package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// coordinatorTickInterval is the period of the coordinator's own work.
const coordinatorTickInterval = 200 * time.Millisecond

// cutOffRanks is added to the rank of a candidate that doesn't reach half of the known
// hosts, so that one that does takes over first.
const cutOffRanks = 50

// Node combines the limiter of a host with the lease of the coordinator and, while this
// host holds it, the coordinator. It does nothing while no tenant has a limit. It is not
// safe for concurrent use.
type Node struct {
	host        mesh.HostID
	limiter     *Limiter
	lease       *Lease
	coordinator *Coordinator
	enabled     bool // some tenant has a limit
	enabledAt   mesh.Time
	nextTick    mesh.Time // of the coordinator
	onFloor     bool
	counters    Counters
	// responsible reports whether this host is to hold shares of a tenant. It is nil if all
	// hosts are.
	responsible func(mesh.Tenant) bool
}

// Counters count since the start of the process.
type Counters struct {
	Admitted, AdmittedByFloor, Refused uint64
	// Waited counts the requests that waited for a first share, NoShare those that were
	// refused because none came.
	Waited, NoShare                     uint64
	Refunds                             uint64
	ReportsSent, ReportsHandled, Grants uint64 // Grants: answers applied by this host
	Terms                               uint64 // terms begun by this host
}

// NewNode returns a node that knows no limit.
func NewNode(now mesh.Time, host mesh.HostID, incarnation mesh.Incarnation, bounds Bounds) *Node {
	return &Node{host: host, limiter: NewLimiter(now, host, incarnation, bounds),
		lease: NewLease(now, host, incarnation), coordinator: NewCoordinator(bounds)}
}

// View is what a node knows of the other hosts.
type View struct {
	// Hosts is the number of known hosts, including this one, and Known lists those that may
	// hold shares.
	Hosts int
	Known func() []mesh.HostID
	// Holders is the number of hosts that are expected to hold shares.
	Holders int
	// Candidate returns the position of this host among the hosts that may become the
	// coordinator. ok is false if it may not, because it doesn't read the store.
	Candidate func() (rank int, ok bool)
	// Quorum reports whether this host reaches at least half of the known hosts.
	Quorum func() bool
}

// Effects are the effects of a step.
type Effects struct {
	Reports []AddressedReport
	Writes  []RowWrite
	Events  []Event
}

// Reset empties the effects and keeps the allocated slices for reuse.
func (e *Effects) Reset() { e.Reports, e.Writes, e.Events = e.Reports[:0], e.Writes[:0], e.Events[:0] }

// AddressedReport is a report to be sent to the coordinator.
type AddressedReport struct {
	To     mesh.HostID
	Report Report
}

// Event is a change of state, to be logged.
type Event struct {
	Kind  string
	Attrs []any // alternating keys and values, as in package slog
}

func (e *Effects) event(kind string, attrs ...any) { e.Events = append(e.Events, Event{kind, attrs}) }

// Configure sets the tenants of the configuration in force.
func (n *Node) Configure(now mesh.Time, tenants []catalog.Tenant) {
	enabled := false
	for i := range tenants {
		enabled = enabled || tenants[i].Quota.Limited()
	}
	if enabled && !n.enabled {
		n.enabledAt = now
	}
	n.enabled = enabled
	n.limiter.Configure(now, tenants)
	n.coordinator.Configure(tenants)
}

// SetResponsible sets the function that reports whether this host is to hold shares of a
// tenant.
func (n *Node) SetResponsible(f func(mesh.Tenant) bool) { n.responsible = f }

// SetBases sets for each tenant whether this host holds the base of its failure domain.
func (n *Node) SetBases(now mesh.Time, holds func(mesh.Tenant) bool) { n.limiter.SetBases(now, holds) }

// Enabled reports whether some tenant has a limit.
func (n *Node) Enabled() bool { return n.enabled }

// Counters returns the counts since the start of the process.
func (n *Node) Counters() Counters { return n.counters }

// Status returns the status of the limiter at the given time.
func (n *Node) Status(now mesh.Time) Status { return n.limiter.Status(now) }

// HeldTerm returns the term in which this host is the coordinator, zero if it isn't.
func (n *Node) HeldTerm() uint64 { return n.coordinator.Term() }

// Admit decides on a request of a limited tenant.
func (n *Node) Admit(now mesh.Time, tenant *catalog.Tenant) Decision {
	d := n.limiter.Admit(now, tenant.Name, tenant.Quota)
	if d.Verdict == Pending {
		n.counters.Waited++
	}
	return n.count(d)
}

// Readmit decides again on a request that waits for a share.
func (n *Node) Readmit(now mesh.Time, tenant *catalog.Tenant) Decision {
	return n.count(n.limiter.Readmit(now, tenant.Name, tenant.Quota))
}

func (n *Node) count(d Decision) Decision {
	switch {
	case d.Verdict == Refused:
		n.counters.Refused++
	case d.Verdict == Admitted && d.Floor:
		n.counters.AdmittedByFloor++
	case d.Verdict == Admitted:
		n.counters.Admitted++
	}
	return d
}

// Limit returns the limit of a tenant in the configuration in force. ok is false if the
// tenant has none.
func (n *Node) Limit(name mesh.Tenant) (limit catalog.Quota, ok bool) {
	if t := n.limiter.tenants[name]; t != nil {
		return t.configured, true
	}
	return catalog.Quota{}, false
}

// AdmitRemote decides on a request at another host. again is set if the other host has
// asked for the request before.
func (n *Node) AdmitRemote(now mesh.Time, name mesh.Tenant, limit catalog.Quota, again bool) Decision {
	var d Decision
	if again {
		d = n.limiter.Readmit(now, name, limit)
	} else {
		d = n.limiter.Admit(now, name, limit)
	}
	if d.Verdict == Admitted {
		n.limiter.Complete(ChargeOf(name, d)) // the other host returns the token if it doesn't use it
	}
	return d
}

// Return takes back tokens that another host has not used.
func (n *Node) Return(now mesh.Time, name mesh.Tenant, tokens int) {
	n.limiter.Return(now, name, tokens)
}

// CountRefused counts a request that another host has refused.
func (n *Node) CountRefused() { n.counters.Refused++ }

// NoShare counts a request that was refused because no share came in time.
func (n *Node) NoShare() { n.counters.NoShare++ }

// End ends an admitted request. A request that has not run returns its token.
func (n *Node) End(now mesh.Time, c Charge, ran bool) {
	if ran {
		n.limiter.Complete(c)
		return
	}
	n.counters.Refunds++
	n.limiter.Refund(now, c)
}

// ApplyRow applies the row of the coordinator. A Revision of zero means that the row
// doesn't exist.
func (n *Node) ApplyRow(now mesh.Time, row Row, out *Effects) {
	n.lease.ApplyRow(now, row)
	n.followTerm(now)
	n.followLease(now, out)
}

// followTerm tells the limiter the highest term that the lease knows.
func (n *Node) followTerm(now mesh.Time) {
	highest := n.lease.Highest()
	if highest <= n.limiter.term {
		return
	}
	n.limiter.SeeTerm(highest)
	// The hosts report to a new coordinator one after the other.
	spread := scaled(shortInterval, n.limiter.hosts)
	n.limiter.Expedite(now.Add(time.Duration(xxhash.Sum64String(string(n.host)) % uint64(spread))))
}

// followLease begins, renews or ends the term of the coordinator on this host.
func (n *Node) followLease(now mesh.Time, out *Effects) {
	term, holds := n.lease.Holds(now)
	current := n.coordinator.Term()
	if current > 0 && (!holds || term != current) {
		n.coordinator.EndTerm()
		out.event("quota.term_ended", "term", current, "highest", n.lease.Highest())
		current = 0
	}
	switch {
	case !holds:
	case current == 0:
		n.counters.Terms++
		n.coordinator.BeginTerm(now, term, n.lease.StopsAt())
		n.nextTick = now
		out.event("quota.term_began", "term", term)
	default:
		n.coordinator.Renew(n.lease.StopsAt())
	}
}

// Tick performs what is due.
func (n *Node) Tick(now mesh.Time, v *View, out *Effects) {
	n.limiter.SetHosts(v.Hosts)
	n.followLease(now, out)
	if !n.enabled {
		return
	}
	n.tickLease(now, v, out)
	if n.coordinator.Term() > 0 && now >= n.nextTick {
		n.nextTick = now.Add(coordinatorTickInterval)
		settled := n.coordinator.Settled()
		n.coordinator.Tick(now, v.Known(), v.Holders, max(v.Hosts, 1))
		if n.coordinator.Settled() && !settled {
			out.event("quota.term_settled", "term", n.coordinator.Term(), "hosts", v.Hosts)
		}
	}
	n.SendReport(now, out)
	if s := n.limiter.Status(now); s.OnFloor != n.onFloor {
		n.onFloor = s.OnFloor
		out.event("quota.floor", "used", s.OnFloor, "term", s.Term, "coordinator", string(n.lease.Row().Host))
	}
}

func (n *Node) tickLease(now mesh.Time, v *View, out *Effects) {
	if w, due := n.lease.Renewal(now); due && !n.coordinator.QuorumLost() {
		out.Writes = append(out.Writes, w)
		return
	}
	if !n.lease.MayTakeOver(now) {
		return
	}
	rank, ok := v.Candidate()
	if !v.Quorum() {
		rank += cutOffRanks
	}
	if !ok || now.Sub(n.enabledAt) < time.Duration(rank)*rankDelay {
		return
	}
	if w, due := n.lease.Takeover(now, rank); due {
		out.Writes = append(out.Writes, w)
	}
}

// SendReport sends a report to the coordinator if it is due. If this host is the
// coordinator, the report is handled at once.
func (n *Node) SendReport(now mesh.Time, out *Effects) {
	row := n.lease.Row()
	if !n.enabled || row.Revision == 0 || now < n.limiter.NextReport(now) {
		return
	}
	if row.Host == n.host && n.coordinator.Term() == 0 {
		return // the term of this host has ended or not begun
	}
	if n.responsible != nil {
		n.limiter.Release(now, n.responsible)
	}
	r := n.limiter.Report(now)
	n.counters.ReportsSent++
	if row.Host == n.host {
		g := n.HandleReport(now, &r, out)
		n.ApplyGrant(now, &g)
		return
	}
	out.Reports = append(out.Reports, AddressedReport{To: row.Host, Report: r})
}

// HandleReport answers the report of a host.
func (n *Node) HandleReport(now mesh.Time, r *Report, out *Effects) Grant {
	if r.Term > MaxTerm {
		return Grant{}
	}
	n.lease.SeeTerm(r.Term)
	n.followTerm(now)
	n.followLease(now, out)
	n.counters.ReportsHandled++
	return n.coordinator.HandleReport(now, r)
}

// ApplyGrant applies the answer to a report. It reports whether shares may have changed.
func (n *Node) ApplyGrant(now mesh.Time, g *Grant) bool {
	if !n.limiter.ApplyGrant(now, g) {
		return false
	}
	n.counters.Grants++
	return true
}
