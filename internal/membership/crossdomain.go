package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// inboundLinkTimeout is the time for which a heartbeat from another failure
	// domain makes its sender a link.
	inboundLinkTimeout = 3 * time.Second
	// unreachableMisses is the number of consecutive unanswered heartbeats or
	// exchanges after which a failure domain that has been silent for DeadAfter
	// is unreachable.
	unreachableMisses = 3
	// deadExchangeRounds is the number of heartbeat rounds between two exchanges
	// with a dead member. They tell a member that was partitioned from its
	// failure domain, and can be reached again, that it was declared dead.
	deadExchangeRounds = 5
)

// reachability is the state of a reader's contact with another failure domain.
type reachability struct {
	// lastReceived is the time of the latest message from the failure domain,
	// lastSent that of the latest heartbeat or exchange to it.
	lastReceived mesh.Time
	lastSent     mesh.Time
	// misses counts consecutive heartbeats and exchanges without an answer.
	misses int
}

// ringLink is the link of a reader to the next failure domain in the ring of
// all failure domains.
type ringLink struct {
	peer mesh.HostID
	// answered is set once a message from the peer has arrived after the latest
	// heartbeat to it.
	answered bool
	// peerOffset is raised after an unanswered heartbeat to select another
	// member.
	peerOffset int
}

// inboundLinks holds the readers of other failure domains that chose this node
// for their ring link, with the time of their latest heartbeat.
type inboundLinks struct {
	lastHeartbeat map[mesh.HostID]mesh.Time
}

// recordInboundLink makes the sender of a heartbeat a link if it belongs to
// another failure domain.
func (r *Reducer) recordInboundLink(now mesh.Time, from mesh.HostID) {
	if sender := r.table.records[from]; sender != nil && sender.Domain != r.settings.Domain {
		r.inbound.lastHeartbeat[from] = now
		r.addLink(now, from)
	}
}

// expire removes the links without a heartbeat in the last inboundLinkTimeout
// and returns their hosts.
func (l *inboundLinks) expire(now mesh.Time) []mesh.HostID {
	var expired []mesh.HostID
	for _, host := range l.hosts() {
		if now.Sub(l.lastHeartbeat[host]) > inboundLinkTimeout {
			delete(l.lastHeartbeat, host)
			expired = append(expired, host)
		}
	}
	return expired
}

func (l *inboundLinks) hosts() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(l.lastHeartbeat))
	for host := range l.lastHeartbeat {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// Unreachable reports whether a failure domain cannot be reached from here.
// The records of its members are kept.
func (r *Reducer) Unreachable(domain mesh.FailureDomain) bool { return r.unreachable[domain] }

func (r *Reducer) unreachableDomains() []mesh.FailureDomain {
	var domains []mesh.FailureDomain
	for _, name := range r.table.domainNames {
		if r.unreachable[name] {
			domains = append(domains, name)
		}
	}
	return domains
}

// adoptUnreachable replaces the set of unreachable failure domains by that of
// the parent, since only readers have contact with other failure domains.
func (r *Reducer) adoptUnreachable(domains []mesh.FailureDomain) {
	clear(r.unreachable)
	for _, domain := range domains {
		r.unreachable[domain] = true
	}
}

// markReachable notes that a message from a failure domain was received.
func (r *Reducer) markReachable(now mesh.Time, domain mesh.FailureDomain) {
	reach := r.reachabilityOf(now, domain)
	reach.lastReceived, reach.misses = now, 0
	delete(r.unreachable, domain)
}

func (r *Reducer) reachabilityOf(now mesh.Time, domain mesh.FailureDomain) *reachability {
	reach, ok := r.reachability[domain]
	if !ok {
		reach = &reachability{lastReceived: now}
		r.reachability[domain] = reach
	}
	return reach
}

// recordContact notes that a heartbeat or an exchange is sent to a failure
// domain. The previous one counts as a miss if nothing was received since, and
// enough misses make the failure domain unreachable.
func (r *Reducer) recordContact(now mesh.Time, domain mesh.FailureDomain) {
	reach := r.reachabilityOf(now, domain)
	if reach.lastSent > reach.lastReceived {
		reach.misses++
	}
	reach.lastSent = now
	if reach.misses >= unreachableMisses && now.Sub(reach.lastReceived) >= DeadAfter {
		r.unreachable[domain] = true
	}
}

// heartbeatRing sends a reader's heartbeat to the next reachable failure domain.
// Changed records cross failure domains on this link in both directions.
func (r *Reducer) heartbeatRing(now mesh.Time, out *Output) {
	domain, ok := r.nextDomain()
	if !ok || !r.IsReader() {
		old := r.ring.peer
		r.ring = ringLink{}
		r.dropLink(old)
		return
	}
	if r.ring.peer != "" && !r.ring.answered {
		r.ring.peerOffset++
	}
	index, _ := r.selfIndex()
	members := r.Members(domain)
	peer := members[(index+r.ring.peerOffset)%len(members)].Host
	old := r.ring.peer
	r.ring.peer, r.ring.answered = peer, false
	if peer != old {
		r.dropLink(old)
		r.addLink(now, peer)
	}
	r.recordContact(now, domain)
	r.contact(peer, KindHeartbeat, out)
}

// nextDomain returns the failure domain after the local one in the ring of
// those that are reachable and have live members.
func (r *Reducer) nextDomain() (mesh.FailureDomain, bool) {
	names := r.table.domainNames
	local, _ := slices.BinarySearch(names, r.settings.Domain)
	for i := 1; i < len(names); i++ {
		name := names[(local+i)%len(names)]
		if !r.unreachable[name] && r.LiveCount(name) > 0 {
			return name, true
		}
	}
	return "", false
}

// exchangeLocal compares digests with a random member of the local failure
// domain, and every deadExchangeRounds rounds with a dead one. While records
// change, digests differ anyway, so live members are not contacted.
func (r *Reducer) exchangeLocal(rng *rand.Rand, out *Output) {
	if r.heartbeatRounds%deadExchangeRounds == 0 {
		if dead := r.deadMembers(); len(dead) > 0 {
			r.contact(dead[rng.IntN(len(dead))], KindExchange, out)
			return
		}
	}
	members := r.Members(r.settings.Domain)
	if len(members) < 2 || r.now.Sub(r.lastChange) < quietPeriod {
		return
	}
	peer := members[rng.IntN(len(members))].Host
	if peer != r.settings.Host && !slices.Contains(r.exchanges, peer) {
		r.contact(peer, KindExchange, out)
	}
}

func (r *Reducer) deadMembers() []mesh.HostID {
	var dead []mesh.HostID
	for _, host := range r.table.domain(r.settings.Domain).hosts {
		if r.table.records[host].State == Dead {
			dead = append(dead, host)
		}
	}
	return dead
}

// exchangeRemote compares digests with a random reader of a random other
// failure domain. A failure domain that did not answer is contacted again
// until it answers or is found to be unreachable.
func (r *Reducer) exchangeRemote(now mesh.Time, rng *rand.Rand, out *Output) {
	if !r.IsReader() {
		return
	}
	domain, ok := r.domainToProbe(now, rng)
	if !ok {
		return
	}
	r.probedDomain = domain
	members := r.Members(domain)
	peer := members[rng.IntN(min(2*ReadersPerDomain, len(members)))].Host
	r.recordContact(now, domain)
	if !slices.Contains(r.exchanges, peer) {
		r.contact(peer, KindExchange, out)
	}
}

// domainToProbe selects the failure domain for the next exchange: the previous
// one if it has not answered, else an unreachable one in every other round, else
// a random one.
func (r *Reducer) domainToProbe(now mesh.Time, rng *rand.Rand) (mesh.FailureDomain, bool) {
	if r.probedDomain != "" && !r.unreachable[r.probedDomain] && r.LiveCount(r.probedDomain) > 0 {
		if reach := r.reachabilityOf(now, r.probedDomain); reach.lastSent > reach.lastReceived {
			return r.probedDomain, true
		}
	}
	if unreachable := r.unreachableDomains(); len(unreachable) > 0 && r.heartbeatRounds%2 == 0 {
		if domain := unreachable[rng.IntN(len(unreachable))]; r.LiveCount(domain) > 0 {
			return domain, true
		}
	}
	names := r.table.domainNames
	domain := names[rng.IntN(len(names))]
	return domain, domain != r.settings.Domain && r.LiveCount(domain) > 0
}
