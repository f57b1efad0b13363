package proxy

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/quota"
)

// The requests of a tenant may enter at all hosts, and most tenants have less than a request
// per second at each. A share for each host would be less than a token. The hosts of a
// failure domain therefore ask one of them, the tenant's accountant, for the admission of
// each request. Accountants hold the shares.

const (
	// maxAccountants bounds the hosts of a failure domain that are accountants.
	maxAccountants = 4
	// AskTimeout is the time after which an unanswered question counts as lost.
	AskTimeout = 200 * time.Millisecond
	// maxAskTenants and maxAskCount bound a question.
	maxAskTenants = 1024
	maxAskCount   = 1024
)

// QuotaQuestion asks an accountant to admit requests.
type QuotaQuestion struct {
	Host  mesh.HostID
	Items []QuotaItem
}

// QuotaItem is the part of a question about one tenant.
type QuotaItem struct {
	Tenant mesh.Tenant
	// First counts the requests that are asked for the first time, Again the others.
	// Returned counts tokens of earlier answers whose requests have not run.
	First, Again, Returned uint16
}

// QuotaAnswer is the answer to a question, with a verdict for each of its items.
type QuotaAnswer struct{ Items []QuotaVerdict }

// QuotaVerdict is the part of an answer about one tenant.
type QuotaVerdict struct {
	Admitted uint16
	// Pending is set if the accountant has no share yet, so that the others may be asked
	// for again. Otherwise they exceed the quota, and a token is expected after RetryAfter.
	Pending    bool
	RetryAfter time.Duration
}

// AddressedQuestion is a question to be sent to an accountant.
type AddressedQuestion struct {
	To       mesh.HostID
	Addr     string
	Sequence uint64
	Question QuotaQuestion
}

// QuotaAsked is a question that arrives at the accountant. Ready.QuotaAnswer is the answer.
type QuotaAsked struct{ Question QuotaQuestion }

// QuotaAnswered is the answer of an accountant. Failed is set if none came.
type QuotaAnswered struct {
	From mesh.HostID
	// Sequence is that of the question.
	Sequence uint64
	Answer   QuotaAnswer
	Failed   bool
}

// accountant is the state of the questions to one accountant. One question is in progress
// at a time, and the requests that arrive meanwhile are asked for together.
type accountant struct {
	sequence uint64      // of the latest question
	asked    []QuotaItem // of the question in progress, nil if there is none
	askedAt  mesh.Time
	returned map[mesh.Tenant]uint16
}

const (
	// baseDelay is the time for which the accountants of the domain must be unchanged before
	// a host holds the base of a tenant in place of another one. The other one stops as soon
	// as it doesn't reach most of the domain, which it notices within a second.
	baseDelay = 3 * time.Second
	// baseInterval is the period at which a host checks whether it holds bases.
	baseInterval = 200 * time.Millisecond
)

// updateBases decides for which tenants this host holds the base of its failure domain: it
// is their accountant and reaches most hosts of the domain, and it is the first by the hash
// of all hosts that could be, or the accountants have been unchanged for baseDelay.
func (n *Node) updateBases(s *step) {
	if s.now < n.nextBaseCheck || !n.quota.Enabled() {
		return
	}
	n.nextBaseCheck = s.now.Add(baseInterval)
	known, reached, largest := 0, 0, 0
	for _, m := range n.members {
		if m.Domain != n.settings.Domain {
			continue
		}
		known++
		if m.usable() {
			reached++
		}
		largest = max(largest, m.LinkMbps)
	}
	var possible []mesh.HostID
	for host, m := range n.members {
		if m.Domain == n.settings.Domain && m.LinkMbps == largest {
			possible = append(possible, host)
		}
	}
	most := 2*reached > known && (known > 1 || n.store.Loaded) && !n.stopping
	unchanged := s.now.Sub(n.accountantsChangedAt) >= baseDelay
	n.quota.SetBases(s.now, func(tenant mesh.Tenant) bool {
		return most && n.accountantOf(tenant) == n.settings.Host && (unchanged || firstByHash(possible, tenant) == n.settings.Host)
	})
}

// updateAccountants chooses the accountants of this failure domain: its reachable hosts with
// the largest links, which serve the questions of all others.
func (n *Node) updateAccountants(now mesh.Time) {
	domains := make(map[mesh.FailureDomain]struct{})
	for _, m := range n.members {
		domains[m.Domain] = struct{}{}
	}
	n.holderCount = 0
	for domain := range domains {
		hosts := n.accountantsIn(domain)
		n.holderCount += len(hosts)
		if domain == n.settings.Domain {
			if !slices.Equal(hosts, n.accountantHosts) {
				n.accountantHosts, n.accountantsChangedAt = hosts, now
			}
		}
	}
	for host := range n.accountants {
		if n.members[host] == nil {
			delete(n.accountants, host)
		}
	}
}

func (n *Node) accountantsIn(domain mesh.FailureDomain) (hosts []mesh.HostID) {
	nodes := n.nodesByLink(domain)
	for _, m := range nodes[:min(len(nodes), maxAccountants)] {
		if m.LinkMbps == nodes[0].LinkMbps {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// accountantOf returns the accountant of a tenant by rendezvous hashing, so that few tenants
// change theirs when a host joins or leaves.
func (n *Node) accountantOf(tenant mesh.Tenant) mesh.HostID {
	if len(n.accountantHosts) == 0 {
		return n.settings.Host
	}
	return firstByHash(n.accountantHosts, tenant)
}

// firstByHash returns the first of the hosts in the order of rendezvous hashing.
func firstByHash(hosts []mesh.HostID, tenant mesh.Tenant) mesh.HostID {
	return slices.MaxFunc(hosts, func(a, b mesh.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(tenant)+"\x00"+string(a)), xxhash.Sum64String(string(tenant)+"\x00"+string(b)))
	})
}

func (n *Node) questionsTo(host mesh.HostID) *accountant {
	a := n.accountants[host]
	if a == nil {
		a = &accountant{returned: make(map[mesh.Tenant]uint16)}
		n.accountants[host] = a
	}
	return a
}

// ask sends a question for the requests that wait for an accountant, unless one is in
// progress.
func (n *Node) ask(s *step, host mesh.HostID) {
	a, m := n.questionsTo(host), n.members[host]
	if m == nil || a.asked != nil && s.now.Sub(a.askedAt) < AskTimeout {
		return
	}
	index := make(map[mesh.Tenant]int)
	var items []QuotaItem
	for i := range n.waitingCalls {
		w := &n.waitingCalls[i]
		if w.accountant != host || s.now < w.notBefore {
			continue
		}
		at, ok := index[w.tenant.Name]
		if !ok {
			if len(items) == maxAskTenants {
				continue
			}
			at = len(items)
			index[w.tenant.Name] = at
			items = append(items, QuotaItem{Tenant: w.tenant.Name, Returned: a.returned[w.tenant.Name]})
			delete(a.returned, w.tenant.Name)
		}
		if w.asked {
			items[at].Again++
		} else {
			items[at].First++
		}
		w.asked, w.inQuestion = true, true
	}
	if len(items) == 0 {
		return
	}
	a.asked, a.askedAt = items, s.now
	a.sequence++
	s.out.QuotaQuestions = append(s.out.QuotaQuestions, AddressedQuestion{
		To: host, Addr: m.PeerAddr, Sequence: a.sequence, Question: QuotaQuestion{Host: n.settings.Host, Items: items},
	})
}

func (e QuotaAsked) apply(n *Node, s *step) {
	if len(e.Question.Items) > maxAskTenants {
		return
	}
	for _, item := range e.Question.Items {
		n.quota.Return(s.now, item.Tenant, int(item.Returned))
		s.out.QuotaAnswer.Items = append(s.out.QuotaAnswer.Items, n.admitRemote(s, item))
	}
}

// admitRemote decides on the requests of one tenant at another host.
func (n *Node) admitRemote(s *step, item QuotaItem) (v QuotaVerdict) {
	limit, limited := n.quota.Limit(item.Tenant)
	if !limited {
		return QuotaVerdict{Pending: true} // the configuration of one of the two hosts is behind
	}
	requests := min(int(item.First)+int(item.Again), maxAskCount)
	for i := range requests {
		d := n.quota.AdmitRemote(s.now, item.Tenant, limit, i < int(item.Again))
		switch d.Verdict {
		case quota.Admitted:
			v.Admitted++
			continue
		case quota.Pending:
			v.Pending = true
			n.quota.SendReport(s.now, &n.quotaEffects)
			n.flushQuota(s)
		default:
			v.RetryAfter = d.RetryAfter
		}
		return v
	}
	return v
}

func (e QuotaAnswered) apply(n *Node, s *step) {
	a := n.accountants[e.From]
	if a == nil || a.asked == nil || e.Sequence != a.sequence {
		return
	}
	items := a.asked
	a.asked = nil
	verdicts := make(map[mesh.Tenant]QuotaVerdict, len(items))
	usable := !e.Failed && s.now.Sub(a.askedAt) < quota.TokenValidity && len(e.Answer.Items) == len(items)
	for i, item := range items {
		v := QuotaVerdict{Pending: true}
		if usable {
			v = e.Answer.Items[i]
		}
		verdicts[item.Tenant] = v
	}
	waiting := n.waitingCalls
	n.waitingCalls = nil
	for _, w := range waiting {
		v, ok := verdicts[w.tenant.Name]
		if !w.inQuestion || w.accountant != e.From || !ok {
			n.waitingCalls = append(n.waitingCalls, w)
			continue
		}
		w.inQuestion = false
		switch {
		case v.Admitted > 0:
			v.Admitted--
			verdicts[w.tenant.Name] = v
			w.admitted = true
			n.resume(s, w)
		case v.Pending:
			n.waitingCalls = append(n.waitingCalls, w)
		case w.mayWaitFor(s.now, v.RetryAfter):
			w.notBefore, w.refused = s.now.Add(v.RetryAfter), true
			n.waitingCalls = append(n.waitingCalls, w)
		default:
			n.quota.CountRefused()
			n.rejectNew(s, w.Call, mesh.ReasonQuota, v.RetryAfter)
		}
	}
	for _, item := range items { // of requests that were cancelled meanwhile
		if left := verdicts[item.Tenant].Admitted; left > 0 {
			a.returned[item.Tenant] += left
		}
	}
	if !e.Failed && slices.ContainsFunc(n.waitingCalls, func(w waitingCall) bool { return w.accountant == e.From && !w.asked }) {
		n.ask(s, e.From) // for the requests that have arrived meanwhile
	}
}

// returnToken returns the token of a request that has not run to the accountant that gave
// it, with the next question.
func (n *Node) returnToken(host mesh.HostID, tenant *catalog.Tenant) {
	a := n.questionsTo(host)
	if a.returned[tenant.Name] < maxAskCount {
		a.returned[tenant.Name]++
	}
}
