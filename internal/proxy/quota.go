package proxy

import (
	"cmp"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

const (
	// shareWaitTime is the longest time for which a request waits for a share of its
	// tenant's quota or for a token. A coordinator answers a report within some milliseconds.
	shareWaitTime = quota.MaxWait
	// maxWaitingCalls bounds the requests that wait for a share.
	maxWaitingCalls = 256
	// noShareRetryAfter is the retry-after time, before jitter, for requests for whose
	// tenant no share came in time.
	noShareRetryAfter = 500 * time.Millisecond
)

// waitingCall is a request that waits for the answer of its tenant's token server.
type waitingCall struct {
	CallArrived
	tenant    *catalog.Tenant
	server    mesh.HostID
	since     mesh.Time // arrival of the request
	checked   mesh.Time // time of the latest decision, from which Budget counts
	asked     bool      // the token server has been asked to admit the call
	inRequest bool      // the token request in progress includes the call
	admitted  bool      // the token server has admitted the call
	notBefore mesh.Time // time at which a token is expected
	refused   bool      // the token server had no token for the call
}

// quotaCharge is the charge of a call to its tenant's quota: to a bucket of this host, or to
// one of another host, the token server. The zero value stands for none.
type quotaCharge struct {
	local  quota.Charge
	server mesh.HostID
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
// rejected or waits for the answer of the tenant's token server. w is set for a request that
// has waited.
func (n *Node) admitToQuota(s *step, e *CallArrived, tenant *catalog.Tenant, w *waitingCall) (quotaCharge, bool) {
	if tenant == nil || !tenant.Quota.Limited() {
		return quotaCharge{}, true
	}
	if w == nil {
		w = &waitingCall{CallArrived: *e, tenant: tenant, since: s.now}
	} else if w.admitted {
		return quotaCharge{server: w.server}, true
	}
	host := n.tokenServerOf(tenant.Name)
	if w.server != host {
		w.server, w.inRequest = host, false
	}
	w.tenant, w.checked = tenant, s.now
	lastCheck := s.now.Sub(w.since) >= w.waitTime()
	if host != n.settings.Host && !lastCheck {
		n.await(s, w)
		return quotaCharge{}, false
	}
	d := n.admitLocally(s, w)
	switch {
	case d.Verdict == quota.Admitted:
		return quotaCharge{local: quota.ChargeOf(tenant.Name, d)}, true
	case d.Verdict == quota.Refused && host == n.settings.Host && w.mayWaitFor(s.now, d.RetryAfter):
		n.await(s, w)
	case d.Verdict == quota.Refused && host == n.settings.Host:
		n.rejectNew(s, e.Call, mesh.ReasonQuota, d.RetryAfter)
	case !lastCheck:
		n.await(s, w)
	case w.refused:
		n.quota.CountRefused()
		n.rejectNew(s, e.Call, mesh.ReasonQuota, s.jitter(noShareRetryAfter))
	default:
		n.rejectWithoutShare(s, e.Call)
	}
	return quotaCharge{}, false
}

// admitLocally decides by the share and the floor of this host.
func (n *Node) admitLocally(s *step, w *waitingCall) quota.Decision {
	if w.asked {
		return n.quota.Readmit(s.now, w.tenant)
	}
	w.asked = true
	d := n.quota.Admit(s.now, w.tenant)
	if d.Verdict == quota.Pending {
		n.quota.SendReport(s.now, &n.quotaEffects)
		n.flushQuota(s)
		d = n.quota.Readmit(s.now, w.tenant) // the coordinator may be on this host
	}
	return d
}

// waitTime returns the longest time for which the request may wait.
func (w *waitingCall) waitTime() time.Duration {
	if w.Budget <= 0 {
		return shareWaitTime
	}
	return min(shareWaitTime, w.Budget/2)
}

// mayWaitFor reports whether the request may wait for another d.
func (w *waitingCall) mayWaitFor(now mesh.Time, d time.Duration) bool {
	return now.Sub(w.since)+d < w.waitTime()
}

// await lets a request wait for its token server.
func (n *Node) await(s *step, w *waitingCall) {
	if len(n.waitingCalls) >= maxWaitingCalls {
		n.rejectWithoutShare(s, w.Call)
		return
	}
	n.waitingCalls = append(n.waitingCalls, *w)
	if w.server != n.settings.Host {
		n.requestTokens(s, w.server)
	}
}

func (n *Node) rejectWithoutShare(s *step, id mesh.CallID) {
	n.quota.NoShare()
	n.rejectNew(s, id, mesh.ReasonNoShare, s.jitter(noShareRetryAfter))
}

// resume goes on with a request that has waited.
func (n *Node) resume(s *step, w waitingCall) {
	if w.Budget > 0 {
		w.Budget = max(w.Budget-s.now.Sub(w.checked), 1)
	}
	n.beginCall(s, w.CallArrived, &w)
}

// resumeWaitingCalls decides again on the requests that wait.
func (n *Node) resumeWaitingCalls(s *step) {
	waiting := n.waitingCalls
	n.waitingCalls = nil
	for _, w := range waiting {
		n.resume(s, w)
	}
}

// endCharge ends the charge of a call to its tenant's quota. A call that has not run is
// not charged.
func (n *Node) endCharge(s *step, c *call, ran bool) {
	switch {
	case c.charge == quotaCharge{}:
	case c.charge.server == "":
		n.quota.End(s.now, c.charge.local, ran)
	case !ran:
		n.returnToken(c.charge.server, c.tenant)
	}
}

// tickQuota renews the coordinator's row, sends reports and decides on waiting requests
// when due.
func (n *Node) tickQuota(s *step) {
	n.updateBases(s)
	n.quota.Tick(s.now, &quota.View{
		Hosts: len(n.members), Known: n.possibleHolders, Holders: n.holderCount, Candidate: n.coordinatorRank, Quorum: n.reachesHalf,
	}, &n.quotaEffects)
	n.flushQuota(s)
	n.resumeWaitingCalls(s)
}

// possibleHolders returns the hosts that may hold shares: those with the largest links of
// each failure domain, reachable or not, and any host whose link is as large as that of a
// current token server.
func (n *Node) possibleHolders() []mesh.HostID {
	least := make(map[mesh.FailureDomain]int)
	for _, m := range n.members {
		if _, ok := least[m.Domain]; ok {
			continue
		}
		least[m.Domain] = 0
		if hosts := n.tokenServersIn(m.Domain); len(hosts) > 0 {
			least[m.Domain] = n.members[hosts[0]].LinkMbps
		}
	}
	var holders []mesh.HostID
	for host, m := range n.members {
		if m.LinkMbps >= least[m.Domain] {
			holders = append(holders, host)
		}
	}
	return holders
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
