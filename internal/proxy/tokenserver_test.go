package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

// withTokenServer makes h1 the token server of the tenant of the key "k".
func (tn *testNode) withTokenServer() *testNode {
	tn.withConfigAndMembers()
	m := remoteMember("h1", "i1", 2)
	m.LinkMbps = 1000
	tn.step(MembersSeen{Members: []Member{m}})
	tn.step(ConfigurationSeen{testSnapshot(tn.T, 6).WithTenants(
		[]catalog.Tenant{{Name: "one", Quota: catalog.Quota{RatePerSecond: 2, Burst: 4}}}, [][]string{{"k"}})})
	return tn
}

func (tn *testNode) answer(q AddressedTokenRequest, v ...TokenVerdict) *Ready {
	return tn.step(TokensAnswered{From: q.To, Sequence: q.Sequence, Answer: TokenAnswer{Items: v}})
}

// Guards against requests that are sent although their tenant's token server refuses them,
// that are lost between two requests for tokens, or whose token is lost although they have not run.
func TestTokenServerAdmitsRequests(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withTokenServer()
	q := tn.keyedCall(1).TokenRequests[0]
	is.Equal(q.Addr, "h1:2")
	is.Equal(q.Request.Items, []TokenRequestItem{{Tenant: "one", First: 1}})
	is.Equal(len(tn.keyedCall(2).TokenRequests), 0) // one request at a time
	tn.keyedCall(3)
	out := tn.answer(q, TokenVerdict{Admitted: 1})
	is.Equal(out.Calls[0].Action, CallForward)
	forwarded := out.Calls[0]
	q = out.TokenRequests[0]
	is.Equal(q.Request.Items[0].First, uint16(2))
	for e := forwarded; e.Action == CallForward; {
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	}
	out = tn.answer(q, TokenVerdict{Admitted: 1, RetryAfter: 300 * ms})
	is.Equal(len(out.Calls), 2)
	is.Equal(out.Calls[0].Action, CallForward)
	is.Equal(out.Calls[1].Reason, mesh.ReasonQuota)
	is.Equal(out.Calls[1].RetryAfter, 300*ms)
	q = tn.keyedCall(4).TokenRequests[0]
	is.Equal(q.Request.Items[0].Returned, uint16(1)) // of the call that has not run
}

// Guards against a token that is used after its validity, as by a process that was
// suspended, and against a request that waits for a token server that doesn't answer.
func TestTokensOfOtherHostsExpire(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withTokenServer()
	q := tn.keyedCall(1).TokenRequests[0]
	tn.now = tn.now.Add(quota.TokenValidity)
	is.Equal(len(tn.answer(q, TokenVerdict{Admitted: 1}).Calls), 0)
	out := tn.step(Tick{})
	q = out.TokenRequests[0]
	is.Equal(q.Request.Items[0].Again, uint16(1))
	tn.step(TokensAnswered{From: "h1", Sequence: q.Sequence, Failed: true})
	is.Equal(len(tn.answer(q, TokenVerdict{Admitted: 1}).Calls), 0) // the request has ended
	tn.now = tn.now.Add(shareWaitTime)
	out = tn.step(Tick{})
	is.Equal(out.Calls[0].Reason, mesh.ReasonNoShare)
	is.True(out.Calls[0].RetryAfter > 0)
}

// Guards against a token server that admits more than its share, and against two hosts that
// name different token servers.
func TestTokenServerAnswersForItsDomain(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withQuota(catalog.Quota{RatePerSecond: 2, Burst: 4})
	is.Equal(tn.node.tokenServerOf("one"), mesh.HostID("h0"))
	tn.step(QuotaRowSeen{quota.Row{Host: "h1", Incarnation: 1, Term: 1, Revision: 1}})
	tn.step(Tick{})
	tn.grant(0)
	ask := func(item TokenRequestItem) TokenVerdict {
		return tn.step(TokensRequested{TokenRequest{Host: "h2", Items: []TokenRequestItem{item}}}).TokenAnswer.Items[0]
	}
	tn.now = tn.now.Add(2 * time.Second)
	is.Equal(ask(TokenRequestItem{Tenant: "other", First: 1}), TokenVerdict{Pending: true}) // not known here
	is.Equal(ask(TokenRequestItem{Tenant: "one", First: 3}), TokenVerdict{Pending: true})
	tn.grant(quota.Whole)
	v := ask(TokenRequestItem{Tenant: "one", Again: 3, First: 50})
	is.True(v.Admitted > 0 && v.Admitted <= 4+12)
	is.True(v.RetryAfter > 0)
	is.Equal(ask(TokenRequestItem{Tenant: "one", First: 1}).Admitted, uint16(0))
	is.Equal(ask(TokenRequestItem{Tenant: "one", First: 2, Returned: 1}).Admitted, uint16(1))
}
