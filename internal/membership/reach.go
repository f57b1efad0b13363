package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// inboundLife is the time for which a heartbeat from another failure
	// domain makes its sender a link.
	inboundLife = 3 * time.Second
	// unreachableMisses is the number of unanswered heartbeats or exchanges
	// after which a silent failure domain is unreachable.
	unreachableMisses = 3
	// deadExchangeRounds is the number of rounds after which an exchange goes
	// to a dead member, which finds out so when a partition within the failure
	// domain heals.
	deadExchangeRounds = 5
)

// reachability is what a reader knows of the way to another failure domain.
type reachability struct {
	heard mesh.Time
	asked mesh.Time
	// misses counts contacts in a row without an answer.
	misses int
}

// ringLink is the link of a reader to the next failure domain.
type ringLink struct {
	peer     mesh.HostID
	answered bool
	// turn chooses another member after an unanswered heartbeat.
	turn int
}

// inboundLinks are readers of other failure domains that chose this node for
// their ring link.
type inboundLinks struct {
	seen map[mesh.HostID]mesh.Time
}

// noteInbound makes a sender of another failure domain a link.
func (r *Reducer) noteInbound(now mesh.Time, from mesh.HostID) {
	if sender := r.table.records[from]; sender != nil && sender.Domain != r.settings.Domain {
		r.inbound.seen[from] = now
		r.addLink(now, from)
	}
}

// expire removes the links that are no longer used and returns them.
func (l *inboundLinks) expire(now mesh.Time) []mesh.HostID {
	var expired []mesh.HostID
	for _, host := range l.hosts() {
		if now.Sub(l.seen[host]) > inboundLife {
			delete(l.seen, host)
			expired = append(expired, host)
		}
	}
	return expired
}

func (l *inboundLinks) hosts() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(l.seen))
	for host := range l.seen {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// Unreachable reports whether a failure domain cannot be reached from here.
// Its members are retained.
func (r *Reducer) Unreachable(domain mesh.FailureDomain) bool { return r.unreachable[domain] }

func (r *Reducer) unreachableDomains() []mesh.FailureDomain {
	var domains []mesh.FailureDomain
	for _, name := range r.table.names {
		if r.unreachable[name] {
			domains = append(domains, name)
		}
	}
	return domains
}

// adoptUnreachable takes over the parent's view, as only readers have contact
// with other failure domains.
func (r *Reducer) adoptUnreachable(domains []mesh.FailureDomain) {
	clear(r.unreachable)
	for _, domain := range domains {
		r.unreachable[domain] = true
	}
}

func (r *Reducer) heardDomain(now mesh.Time, domain mesh.FailureDomain) {
	reach := r.reachOf(now, domain)
	reach.heard, reach.misses = now, 0
	delete(r.unreachable, domain)
}

func (r *Reducer) reachOf(now mesh.Time, domain mesh.FailureDomain) *reachability {
	reach, ok := r.reach[domain]
	if !ok {
		reach = &reachability{heard: now}
		r.reach[domain] = reach
	}
	return reach
}

// noteContact counts the previous contact as missed if it was not answered.
func (r *Reducer) noteContact(now mesh.Time, domain mesh.FailureDomain) {
	reach := r.reachOf(now, domain)
	if reach.asked > reach.heard {
		reach.misses++
	}
	reach.asked = now
	if reach.misses >= unreachableMisses && now.Sub(reach.heard) >= DeadAfter {
		r.unreachable[domain] = true
	}
}

// beatRing sends a reader's heartbeat to the next reachable failure domain.
// Changes cross failure domains on this link in both directions.
func (r *Reducer) beatRing(now mesh.Time, out *Output) {
	domain, ok := r.nextDomain()
	if !ok || !r.IsReader() {
		old := r.ring.peer
		r.ring = ringLink{}
		r.dropLink(old)
		return
	}
	if r.ring.peer != "" && !r.ring.answered {
		r.ring.turn++
	}
	index, _ := r.selfIndex()
	members := r.Members(domain)
	peer := members[(index+r.ring.turn)%len(members)].Host
	old := r.ring.peer
	r.ring.peer, r.ring.answered = peer, false
	if peer != old {
		r.dropLink(old)
		r.addLink(now, peer)
	}
	r.noteContact(now, domain)
	r.contact(peer, KindHeartbeat, out)
}

// nextDomain returns the failure domain after the local one in the ring of
// those that are reachable and have live members.
func (r *Reducer) nextDomain() (mesh.FailureDomain, bool) {
	names := r.table.names
	own, _ := slices.BinarySearch(names, r.settings.Domain)
	for i := 1; i < len(names); i++ {
		name := names[(own+i)%len(names)]
		if !r.unreachable[name] && r.LiveCount(name) > 0 {
			return name, true
		}
	}
	return "", false
}

// exchangeLocal compares digests with a random member of the failure domain.
// While records change, digests differ anyway and nothing is exchanged.
func (r *Reducer) exchangeLocal(rng *rand.Rand, out *Output) {
	if r.beats%deadExchangeRounds == 0 {
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
// failure domain. A domain that did not answer is asked again until it is
// known whether it can be reached.
func (r *Reducer) exchangeRemote(now mesh.Time, rng *rand.Rand, out *Output) {
	if !r.IsReader() {
		return
	}
	domain, ok := r.remoteToProbe(now, rng)
	if !ok {
		return
	}
	r.probed = domain
	members := r.Members(domain)
	peer := members[rng.IntN(min(2*ReadersPerDomain, len(members)))].Host
	r.noteContact(now, domain)
	if !slices.Contains(r.exchanges, peer) {
		r.contact(peer, KindExchange, out)
	}
}

func (r *Reducer) remoteToProbe(now mesh.Time, rng *rand.Rand) (mesh.FailureDomain, bool) {
	if r.probed != "" && !r.unreachable[r.probed] && r.LiveCount(r.probed) > 0 {
		if reach := r.reachOf(now, r.probed); reach.asked > reach.heard {
			return r.probed, true
		}
	}
	if lost := r.unreachableDomains(); len(lost) > 0 && r.beats%2 == 0 {
		if domain := lost[rng.IntN(len(lost))]; r.LiveCount(domain) > 0 {
			return domain, true
		}
	}
	names := r.table.names
	domain := names[rng.IntN(len(names))]
	return domain, domain != r.settings.Domain && r.LiveCount(domain) > 0
}
