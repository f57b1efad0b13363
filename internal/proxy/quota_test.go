package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

// withQuota applies a configuration in which the key "k" belongs to a tenant with a
// quota. The node has the largest link of its domain, so that it is the token server.
func (tn *testNode) withQuota(q catalog.Quota) *testNode {
	tn.node.self.LinkMbps = 1000
	tn.node.setRecord(tn.node.members["h0"], &tn.node.self)
	tn.withConfigAndMembers()
	s := testSnapshot(tn.T, 6).WithTenants([]catalog.Tenant{{Name: "one", Quota: q}}, [][]string{{"k"}})
	tn.step(ConfigurationSeen{s})
	return tn
}

func (tn *testNode) keyedCall(id mesh.CallID) *Ready {
	return tn.step(CallArrived{Call: id, Host: "a", Path: "/book/1", Hash: mesh.RequestHash(id), Budget: time.Second, Key: "k"})
}

// grant answers the report among the effects of the last step as the coordinator.
func (tn *testNode) grant(share quota.Parts) *Ready {
	tn.Helper()
	if len(tn.out.QuotaReports) != 1 {
		tn.Fatalf("%d reports", len(tn.out.QuotaReports))
	}
	g := quota.Grant{Term: 1, Sequence: tn.out.QuotaReports[0].Report.Sequence}
	g.Shares = append(g.Shares, quota.TenantGrant{Tenant: quota.IDOf("one"), Share: share, Bonus: quota.Whole / 2})
	return tn.step(QuotaGranted{g})
}

// Guards against reports, rows and a coordinator in a deployment whose tenants have no
// limit.
func TestTenantsWithoutLimitCauseNoQuotaTraffic(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withQuota(catalog.Quota{})
	tn.step(StoreState{Loaded: true, Alive: true})
	for id := range mesh.CallID(100) {
		tn.now = tn.now.Add(100 * ms)
		out := tn.step(Tick{})
		is.Equal(len(out.QuotaReports)+len(out.QuotaWrites), 0)
		is.Equal(tn.keyedCall(id).Calls[0].Action, CallForward)
	}
	is.Equal(tn.node.Counters().Quota, quota.Counters{})
}

// Guards against a host that doesn't read the store and takes a term, against a request
// beyond the quota that is sent or gets no time for its retry, and against a request that
// has not run but counts.
func TestRequestBeyondTheQuotaIsRefused(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withQuota(catalog.Quota{RatePerSecond: 1, Burst: 4})
	is.Equal(len(tn.step(Tick{}).QuotaWrites), 0)
	tn.step(StoreState{Loaded: true, Alive: true})
	w := tn.step(Tick{}).QuotaWrites[0]
	is.Equal(w.Row.Host, mesh.HostID("h0"))
	w.Row.Revision = 1
	tn.step(QuotaRowSeen{w.Row})
	tn.endAttempt(tn.keyedCall(100).Calls[0], AttemptDone{Outcome: mesh.Answered}) // so that there is demand
	for range 30 {
		tn.now = tn.now.Add(100 * ms)
		tn.step(Tick{}) // the share grows to the whole limit
	}
	var forwarded []CallEffect
	var last CallEffect
	for id := range mesh.CallID(50) {
		if last = tn.keyedCall(id).Calls[0]; last.Action == CallForward {
			forwarded = append(forwarded, last)
		}
	}
	is.True(len(forwarded) > 0)
	is.True(len(forwarded) <= 4+12) // the burst and the whole bonus
	is.Equal(last.Reason, mesh.ReasonQuota)
	is.True(last.RetryAfter > shareWaitTime && last.RetryAfter <= time.Second) // the time for one request at the rate
	e := forwarded[0]
	for e.Action == CallForward {
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	}
	is.Equal(tn.keyedCall(60).Calls[0].Action, CallForward) // in place of the one that has not run
	is.Equal(tn.keyedCall(61).Calls[0].Reason, mesh.ReasonQuota)
	tn.endAttempt(forwarded[1], AttemptDone{Outcome: mesh.MayHaveRun, Reason: mesh.ReasonConnectionLost})
	is.Equal(tn.keyedCall(62).Calls[0].Reason, mesh.ReasonQuota)
}

// Guards against a first request at a host that is refused although the coordinator
// would have answered in time, and against one that waits without end.
func TestFirstRequestWaitsForAShare(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withQuota(catalog.Quota{RatePerSecond: 2, Burst: 4})
	tn.step(QuotaRowSeen{quota.Row{Host: "h1", Incarnation: 1, Term: 1, Revision: 1}})
	out := tn.step(Tick{})
	is.Equal(out.QuotaReports[0].Addr, "h1:2")
	tn.grant(0)
	tn.now = tn.now.Add(100 * ms)
	is.Equal(len(tn.keyedCall(1).Calls), 0)
	tn.keyedCall(2)
	tn.step(CallCancelled{Call: 2})
	tn.now = tn.now.Add(shareWaitTime)
	out = tn.step(Tick{})
	is.Equal(len(out.Calls), 1)
	is.Equal(out.Calls[0].Reason, mesh.ReasonNoShare)
	is.Equal(out.Calls[0].Outcome, mesh.NotRun)
	is.True(out.Calls[0].RetryAfter > 0)
	tn.now = tn.now.Add(2 * time.Second)
	is.Equal(len(tn.keyedCall(3).Calls), 0)
	tn.now = tn.now.Add(20 * ms)
	out = tn.grant(quota.Whole / 2)
	is.Equal(out.Calls[0].Action, CallForward)
	is.Equal(out.Calls[0].Deadline, tn.now.Add(980*ms)) // the time for which it waited counts
	is.True(!tn.node.Idle())
}
