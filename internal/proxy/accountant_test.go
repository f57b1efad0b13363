package proxy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

// withAccountant makes h1 the accountant of the tenant of the key "k".
func (tn *testNode) withAccountant() *testNode {
	tn.withConfigAndMembers()
	m := remoteMember("h1", "i1", 2)
	m.LinkMbps = 1000
	tn.step(MembersSeen{Members: []Member{m}})
	tn.step(ConfigurationSeen{testSnapshot(tn.T, 6).WithTenants(
		[]catalog.Tenant{{Name: "one", Quota: catalog.Quota{RatePerSecond: 2, Burst: 4}}}, [][]string{{"k"}})})
	return tn
}

func (tn *testNode) answer(q AddressedQuestion, v ...QuotaVerdict) *Ready {
	return tn.step(QuotaAnswered{From: q.To, Sequence: q.Sequence, Answer: QuotaAnswer{Items: v}})
}

// Guards against requests that are sent although their tenant's accountant refuses them,
// that are lost between two questions, or whose token is lost although they have not run.
func TestAccountantAdmitsRequests(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withAccountant()
	q := tn.keyedCall(1).QuotaQuestions[0]
	is.Equal(q.Addr, "h1:2")
	is.Equal(q.Question.Items, []QuotaItem{{Tenant: "one", First: 1}})
	is.Equal(len(tn.keyedCall(2).QuotaQuestions), 0) // one question at a time
	tn.keyedCall(3)
	out := tn.answer(q, QuotaVerdict{Admitted: 1})
	is.Equal(out.Calls[0].Action, CallForward)
	forwarded := out.Calls[0]
	q = out.QuotaQuestions[0]
	is.Equal(q.Question.Items[0].First, uint16(2))
	for e := forwarded; e.Action == CallForward; {
		e = tn.endAttempt(e, AttemptDone{Outcome: mesh.NotRun, Reason: mesh.ReasonOverload})
	}
	out = tn.answer(q, QuotaVerdict{Admitted: 1, RetryAfter: 300 * ms})
	is.Equal(len(out.Calls), 2)
	is.Equal(out.Calls[0].Action, CallForward)
	is.Equal(out.Calls[1].Reason, mesh.ReasonQuota)
	is.Equal(out.Calls[1].RetryAfter, 300*ms)
	q = tn.keyedCall(4).QuotaQuestions[0]
	is.Equal(q.Question.Items[0].Returned, uint16(1)) // of the call that has not run
}

// Guards against a token that is used after its validity, as by a process that was
// suspended, and against a request that waits for an accountant that doesn't answer.
func TestAnswersOfAccountantsExpire(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withAccountant()
	q := tn.keyedCall(1).QuotaQuestions[0]
	tn.now = tn.now.Add(quota.TokenValidity)
	is.Equal(len(tn.answer(q, QuotaVerdict{Admitted: 1}).Calls), 0)
	out := tn.step(Tick{})
	q = out.QuotaQuestions[0]
	is.Equal(q.Question.Items[0].Again, uint16(1))
	tn.step(QuotaAnswered{From: "h1", Sequence: q.Sequence, Failed: true})
	is.Equal(len(tn.answer(q, QuotaVerdict{Admitted: 1}).Calls), 0) // the question has ended
	tn.now = tn.now.Add(shareWaitTime)
	out = tn.step(Tick{})
	is.Equal(out.Calls[0].Reason, mesh.ReasonNoShare)
	is.True(out.Calls[0].RetryAfter > 0)
}

// Guards against an accountant that admits more than its share, and against two hosts that
// name different accountants.
func TestAccountantAnswersForItsDomain(t *testing.T) {
	is := is.New(t)
	tn := newTestNode(t).withQuota(catalog.Quota{RatePerSecond: 2, Burst: 4})
	is.Equal(tn.node.accountantOf("one"), mesh.HostID("h0"))
	tn.step(QuotaRowSeen{quota.Row{Host: "h1", Incarnation: 1, Term: 1, Revision: 1}})
	tn.step(Tick{})
	tn.grant(0)
	ask := func(item QuotaItem) QuotaVerdict {
		return tn.step(QuotaAsked{QuotaQuestion{Host: "h2", Items: []QuotaItem{item}}}).QuotaAnswer.Items[0]
	}
	tn.now = tn.now.Add(2 * time.Second)
	is.Equal(ask(QuotaItem{Tenant: "other", First: 1}), QuotaVerdict{Pending: true}) // not known here
	is.Equal(ask(QuotaItem{Tenant: "one", First: 3}), QuotaVerdict{Pending: true})
	tn.grant(quota.Whole)
	v := ask(QuotaItem{Tenant: "one", Again: 3, First: 50})
	is.True(v.Admitted > 0 && v.Admitted <= 4+12)
	is.True(v.RetryAfter > 0)
	is.Equal(ask(QuotaItem{Tenant: "one", First: 1}).Admitted, uint16(0))
	is.Equal(ask(QuotaItem{Tenant: "one", First: 2, Returned: 1}).Admitted, uint16(1))
}
