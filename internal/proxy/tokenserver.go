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
// failure domain therefore ask one of them, the tenant's token server, for the admission of
// each request. Token servers hold the shares.

const (
	// maxTokenServers bounds the hosts of a failure domain that are token servers.
	maxTokenServers = 4
	// TokenRequestTimeout is the time after which an unanswered request counts as lost.
	TokenRequestTimeout = 200 * time.Millisecond
	// maxRequestTenants and maxRequestTokens bound a request.
	maxRequestTenants = 1024
	maxRequestTokens  = 1024
)

// TokenRequest asks a token server to admit requests.
type TokenRequest struct {
	Host  mesh.HostID
	Items []TokenRequestItem
}

// TokenRequestItem is the part of a request about one tenant.
type TokenRequestItem struct {
	Tenant mesh.Tenant
	// First counts the requests that are asked for the first time, Again the others.
	// Returned counts tokens of earlier answers whose requests have not run.
	First, Again, Returned uint16
}

// TokenAnswer is the answer to a request, with a verdict for each of its items.
type TokenAnswer struct{ Items []TokenVerdict }

// TokenVerdict is the part of an answer about one tenant.
type TokenVerdict struct {
	Admitted uint16
	// Pending is set if the token server has no share yet, so that the others may be asked
	// for again. Otherwise they exceed the quota, and a token is expected after RetryAfter.
	Pending    bool
	RetryAfter time.Duration
}

// AddressedTokenRequest is a request to be sent to a token server.
type AddressedTokenRequest struct {
	To       mesh.HostID
	Addr     string
	Sequence uint64
	Request  TokenRequest
}

// TokensRequested is a request that arrives at the token server. The answer is
// Ready.TokenAnswer.
type TokensRequested struct{ Request TokenRequest }

// TokensAnswered is the answer of a token server. Failed is set if none came.
type TokensAnswered struct {
	From mesh.HostID
	// Sequence is that of the request.
	Sequence uint64
	Answer   TokenAnswer
	Failed   bool
}

// tokenServer is the state of the requests to one token server. One request is in progress
// at a time, and the requests that arrive meanwhile are asked for together.
type tokenServer struct {
	sequence uint64             // of the latest request
	asked    []TokenRequestItem // of the request in progress, nil if there is none
	askedAt  mesh.Time
	returned map[mesh.Tenant]uint16
}

const (
	// baseDelay is the time for which the token servers of the domain must be unchanged before
	// a host holds the base of a tenant in place of another one. The other one stops as soon
	// as it doesn't reach most of the domain, which it notices within a second.
	baseDelay = 3 * time.Second
	// baseInterval is the period at which a host checks whether it holds bases.
	baseInterval = 200 * time.Millisecond
)

// updateBases decides for which tenants this host holds the base of its failure domain: it
// is their token server and reaches most hosts of the domain, and it is the first by the hash
// of all hosts that could be, or the domain's token servers have been unchanged for baseDelay.
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
	unchanged := s.now.Sub(n.tokenServersChangedAt) >= baseDelay
	n.quota.SetBases(s.now, func(tenant mesh.Tenant) bool {
		return most && n.tokenServerOf(tenant) == n.settings.Host && (unchanged || firstByHash(possible, tenant) == n.settings.Host)
	})
}

// updateTokenServers chooses the token servers of this failure domain: its reachable hosts with
// the largest links, which serve the requests of all others.
func (n *Node) updateTokenServers(now mesh.Time) {
	domains := make(map[mesh.FailureDomain]struct{})
	for _, m := range n.members {
		domains[m.Domain] = struct{}{}
	}
	n.holderCount = 0
	for domain := range domains {
		hosts := n.tokenServersIn(domain)
		n.holderCount += len(hosts)
		if domain == n.settings.Domain {
			if !slices.Equal(hosts, n.tokenServerHosts) {
				n.tokenServerHosts, n.tokenServersChangedAt = hosts, now
			}
		}
	}
	for host := range n.tokenServers {
		if n.members[host] == nil {
			delete(n.tokenServers, host)
		}
	}
}

func (n *Node) tokenServersIn(domain mesh.FailureDomain) (hosts []mesh.HostID) {
	nodes := n.nodesByLink(domain)
	for _, m := range nodes[:min(len(nodes), maxTokenServers)] {
		if m.LinkMbps == nodes[0].LinkMbps {
			hosts = append(hosts, m.Host)
		}
	}
	return hosts
}

// tokenServerOf returns the token server of a tenant by rendezvous hashing, so that few tenants
// change theirs when a host joins or leaves.
func (n *Node) tokenServerOf(tenant mesh.Tenant) mesh.HostID {
	if len(n.tokenServerHosts) == 0 {
		return n.settings.Host
	}
	return firstByHash(n.tokenServerHosts, tenant)
}

// firstByHash returns the first of the hosts in the order of rendezvous hashing.
func firstByHash(hosts []mesh.HostID, tenant mesh.Tenant) mesh.HostID {
	return slices.MaxFunc(hosts, func(a, b mesh.HostID) int {
		return cmp.Compare(xxhash.Sum64String(string(tenant)+"\x00"+string(a)), xxhash.Sum64String(string(tenant)+"\x00"+string(b)))
	})
}

func (n *Node) requestsTo(host mesh.HostID) *tokenServer {
	a := n.tokenServers[host]
	if a == nil {
		a = &tokenServer{returned: make(map[mesh.Tenant]uint16)}
		n.tokenServers[host] = a
	}
	return a
}

// requestTokens asks a token server to admit the calls that wait for it, unless a request is in
// progress.
func (n *Node) requestTokens(s *step, host mesh.HostID) {
	a, m := n.requestsTo(host), n.members[host]
	if m == nil || a.asked != nil && s.now.Sub(a.askedAt) < TokenRequestTimeout {
		return
	}
	index := make(map[mesh.Tenant]int)
	var items []TokenRequestItem
	for i := range n.waitingCalls {
		w := &n.waitingCalls[i]
		if w.server != host || s.now < w.notBefore {
			continue
		}
		at, ok := index[w.tenant.Name]
		if !ok {
			if len(items) == maxRequestTenants {
				continue
			}
			at = len(items)
			index[w.tenant.Name] = at
			items = append(items, TokenRequestItem{Tenant: w.tenant.Name, Returned: a.returned[w.tenant.Name]})
			delete(a.returned, w.tenant.Name)
		}
		if w.asked {
			items[at].Again++
		} else {
			items[at].First++
		}
		w.asked, w.inRequest = true, true
	}
	if len(items) == 0 {
		return
	}
	a.asked, a.askedAt = items, s.now
	a.sequence++
	s.out.TokenRequests = append(s.out.TokenRequests, AddressedTokenRequest{
		To: host, Addr: m.PeerAddr, Sequence: a.sequence, Request: TokenRequest{Host: n.settings.Host, Items: items},
	})
}

func (e TokensRequested) apply(n *Node, s *step) {
	if len(e.Request.Items) > maxRequestTenants {
		return
	}
	for _, item := range e.Request.Items {
		n.quota.Return(s.now, item.Tenant, int(item.Returned))
		s.out.TokenAnswer.Items = append(s.out.TokenAnswer.Items, n.admitRemote(s, item))
	}
}

// admitRemote decides on the requests of one tenant at another host.
func (n *Node) admitRemote(s *step, item TokenRequestItem) (v TokenVerdict) {
	limit, limited := n.quota.Limit(item.Tenant)
	if !limited {
		return TokenVerdict{Pending: true} // the configuration of one of the two hosts is behind
	}
	requests := min(int(item.First)+int(item.Again), maxRequestTokens)
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

func (e TokensAnswered) apply(n *Node, s *step) {
	a := n.tokenServers[e.From]
	if a == nil || a.asked == nil || e.Sequence != a.sequence {
		return
	}
	items := a.asked
	a.asked = nil
	verdicts := make(map[mesh.Tenant]TokenVerdict, len(items))
	usable := !e.Failed && s.now.Sub(a.askedAt) < quota.TokenValidity && len(e.Answer.Items) == len(items)
	for i, item := range items {
		v := TokenVerdict{Pending: true}
		if usable {
			v = e.Answer.Items[i]
		}
		verdicts[item.Tenant] = v
	}
	waiting := n.waitingCalls
	n.waitingCalls = nil
	for _, w := range waiting {
		v, ok := verdicts[w.tenant.Name]
		if !w.inRequest || w.server != e.From || !ok {
			n.waitingCalls = append(n.waitingCalls, w)
			continue
		}
		w.inRequest = false
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
	if !e.Failed && slices.ContainsFunc(n.waitingCalls, func(w waitingCall) bool { return w.server == e.From && !w.asked }) {
		n.requestTokens(s, e.From) // for the requests that have arrived meanwhile
	}
}

// returnToken returns the token of a request that has not run to the token server that gave
// it, with the next request.
func (n *Node) returnToken(host mesh.HostID, tenant *catalog.Tenant) {
	a := n.requestsTo(host)
	if a.returned[tenant.Name] < maxRequestTokens {
		a.returned[tenant.Name]++
	}
}
