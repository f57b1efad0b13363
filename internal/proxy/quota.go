package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

const (
	// shareWaitTime is the longest time for which a request waits for a share of its
	// tenant's quota. A coordinator answers a report within some milliseconds.
	shareWaitTime = 250 * time.Millisecond
	// maxWaitingCalls bounds the requests that wait for a share.
	maxWaitingCalls = 256
	// noShareRetryAfter is the retry-after time, before jitter, for requests for whose
	// tenant no share came in time.
	noShareRetryAfter = 500 * time.Millisecond
)

// waitingCall is a request that waits for a share of its tenant's quota.
type waitingCall struct {
	CallArrived
	since   mesh.Time // arrival of the request
	checked mesh.Time // time of the latest decision, from which Budget counts
}

// QuotaReport is a report to be sent to the coordinator of the quotas.
type QuotaReport struct {
	Addr   string
	Report quota.Report
}

// QuotaReported is a host's report that arrives at the coordinator. Ready.QuotaGrant is
// the answer.
type QuotaReported struct{ Report quota.Report }

// QuotaGranted is the coordinator's answer to a report of this host.
type QuotaGranted struct{ Grant quota.Grant }

// QuotaRowSeen carries the row of the coordinator as it is stored.
type QuotaRowSeen struct{ Row quota.Row }

// admitToQuota decides whether a request is within the quota of its tenant. If not, it is
// rejected or waits for a share.
func (n *Node) admitToQuota(s *step, e *CallArrived, tenant *catalog.Tenant, waitsSince mesh.Time) (quota.Charge, bool) {
	if tenant == nil || !tenant.Quota.Limited() {
		return quota.Charge{}, true
	}
	var d quota.Decision
	if waitsSince == 0 {
		d = n.quota.Admit(s.now, tenant)
	} else {
		d = n.quota.Readmit(s.now, tenant)
	}
	if d.Verdict == quota.Pending {
		n.quota.SendReport(s.now, &n.quotaEffects)
		n.flushQuota(s)
		d = n.quota.Readmit(s.now, tenant) // the coordinator may be on this host
	}
	switch d.Verdict {
	case quota.Admitted:
		return quota.ChargeOf(tenant.Name, d), true
	case quota.Refused:
		n.rejectNew(s, e.Call, mesh.ReasonQuota, d.RetryAfter)
	default:
		n.awaitShare(s, e, cmp.Or(waitsSince, s.now))
	}
	return quota.Charge{}, false
}

// awaitShare lets a request wait for a share, or rejects it if it has waited for
// shareWaitTime or too little of its client's time would be left after the wait.
func (n *Node) awaitShare(s *step, e *CallArrived, since mesh.Time) {
	waited := s.now.Sub(since)
	tooShort := e.Budget > 0 && e.Budget+waited < 2*shareWaitTime
	if waited >= shareWaitTime || tooShort || len(n.waitingCalls) >= maxWaitingCalls {
		n.quota.NoShare()
		n.rejectNew(s, e.Call, mesh.ReasonNoShare, s.jitter(noShareRetryAfter))
		return
	}
	n.waitingCalls = append(n.waitingCalls, waitingCall{*e, since, s.now})
}

// resumeWaitingCalls decides again on the requests that wait for a share.
func (n *Node) resumeWaitingCalls(s *step) {
	if len(n.waitingCalls) == 0 {
		return
	}
	waiting := n.waitingCalls
	n.waitingCalls = nil
	for _, w := range waiting {
		if w.Budget > 0 {
			w.Budget = max(w.Budget-s.now.Sub(w.checked), 1)
		}
		n.beginCall(s, w.CallArrived, w.since)
	}
}

// endCharge ends the charge of a call to its tenant's quota. A call that has not run is
// not charged.
func (n *Node) endCharge(s *step, c *call, ran bool) {
	if c.charge != (quota.Charge{}) {
		n.quota.End(s.now, c.charge, ran)
	}
}

// tickQuota renews the coordinator's row, sends reports and decides on waiting requests
// when due.
func (n *Node) tickQuota(s *step) {
	n.quota.Tick(s.now, &quota.View{Hosts: len(n.members), Known: n.knownHosts, Candidate: n.coordinatorRank, Quorum: n.reachesHalf}, &n.quotaEffects)
	n.flushQuota(s)
	n.resumeWaitingCalls(s)
}

func (n *Node) knownHosts() []mesh.HostID {
	return slices.AppendSeq(make([]mesh.HostID, 0, len(n.members)), maps.Keys(n.members))
}

// coordinatorRank returns the position of this host among the readers of the store, in
// descending order of link bandwidth, since the coordinator serves the reports of all
// hosts. ok is false if this host may not become the coordinator.
func (n *Node) coordinatorRank() (rank int, ok bool) {
	if !n.store.Loaded || !n.store.Alive || n.stopping || !n.Role().Reads {
		return 0, false
	}
	readers := n.allReaders()
	slices.SortStableFunc(readers, func(a, b Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	rank = slices.IndexFunc(readers, func(m Member) bool { return m.Host == n.settings.Host })
	return rank, rank >= 0
}

// reachesHalf reports whether at least half of the known hosts are reachable.
func (n *Node) reachesHalf() bool {
	reachable := 0
	for _, m := range n.members {
		if m.usable() {
			reachable++
		}
	}
	return 2*reachable >= len(n.members)
}

// flushQuota passes the effects of the quotas on to the runtime.
func (n *Node) flushQuota(s *step) {
	for _, r := range n.quotaEffects.Reports {
		if m := n.members[r.To]; m != nil {
			s.out.QuotaReports = append(s.out.QuotaReports, QuotaReport{Addr: m.PeerAddr, Report: r.Report})
		}
	}
	s.out.QuotaWrites = append(s.out.QuotaWrites, n.quotaEffects.Writes...)
	for _, e := range n.quotaEffects.Events {
		s.log(e.Kind, e.Attrs...)
	}
	n.quotaEffects.Reset()
}

func (e QuotaReported) apply(n *Node, s *step) {
	if n.members[e.Report.Host] == nil {
		return // its record will arrive by an exchange
	}
	s.out.QuotaGrant = n.quota.HandleReport(s.now, &e.Report, &n.quotaEffects)
	n.flushQuota(s)
}

func (e QuotaGranted) apply(n *Node, s *step) {
	if n.quota.ApplyGrant(s.now, &e.Grant) {
		n.resumeWaitingCalls(s)
	}
}

func (e QuotaRowSeen) apply(n *Node, s *step) {
	n.quota.ApplyRow(s.now, e.Row, &n.quotaEffects)
	n.flushQuota(s)
}

// HasQuotas reports whether some tenant has a quota.
func (n *Node) HasQuotas() bool { return n.quota.Enabled() }

// QuotaStatus returns the state of this host's shares.
func (n *Node) QuotaStatus(now mesh.Time) quota.Status { return n.quota.Status(now) }

// HeldQuotaTerm returns the term in which this host is the coordinator of the quotas,
// zero if it isn't.
func (n *Node) HeldQuotaTerm() uint64 { return n.quota.HeldTerm() }
