package distribution

import (
	"bytes"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// MaxMissing is the number of hosts without the version that an Ack names.
	// Further ones are only counted.
	MaxMissing = 16
	// ackTimeout is the age up to which a child's acknowledgement and
	// aggregates count.
	ackTimeout = 5 * time.Second
	// domainAckInterval is the shortest time between two changes of a failure
	// domain's acknowledgement, each of which is sent to all other readers.
	// Changes of the acknowledgement alone that leave it incomplete wait twice
	// as long, since they carry the names of the missing hosts.
	domainAckInterval = time.Second
)

// subtreeAck merges the acknowledgements of this node and of its children's
// subtrees for the head. A child without a recent one counts as one missing
// host.
func (r *Reducer) subtreeAck(now mesh.Time) Ack {
	ack := r.localAck()
	for _, child := range r.topology.Children() {
		p := r.peers[child]
		if p == nil || p.ack == nil || now.Sub(p.ackReceivedAt) > ackTimeout {
			ack.Total++
			ack.addMissing(child)
			continue
		}
		ack.add(p.ack, child)
	}
	return ack
}

// localAck returns the acknowledgement of this host alone for the head.
func (r *Reducer) localAck() Ack {
	ack := Ack{Version: r.head.Version, Total: 1}
	if r.applied.Version == r.head.Version {
		ack.InForce = 1
	} else {
		ack.addMissing(r.settings.Host)
	}
	if rejection, ok := r.rejected[r.head.Version]; ok {
		ack.Rejection = &rejection
	}
	return ack
}

// add merges in the acknowledgement of a subtree. If it concerns another
// version, all of its hosts count as not having the version, and only the
// child is named as missing.
func (a *Ack) add(sub *Ack, child mesh.HostID) {
	a.Total += sub.Total
	if sub.Version != a.Version {
		a.addMissing(child)
		return
	}
	a.InForce += sub.InForce
	for _, host := range sub.Missing {
		a.addMissing(host)
	}
	if sub.Rejection == nil {
		return
	}
	merged := *sub.Rejection
	if a.Rejection != nil {
		merged.Hosts += a.Rejection.Hosts
		merged.Host, merged.Reason = a.Rejection.Host, a.Rejection.Reason
	}
	a.Rejection = &merged
}

func (a *Ack) addMissing(host mesh.HostID) {
	if len(a.Missing) < MaxMissing {
		a.Missing = append(a.Missing, host)
	}
}

func (a *Ack) equal(b *Ack) bool {
	sameRejection := a.Rejection == b.Rejection ||
		(a.Rejection != nil && b.Rejection != nil && *a.Rejection == *b.Rejection)
	return sameRejection && a.Version == b.Version && a.InForce == b.InForce && a.Total == b.Total &&
		slices.Equal(a.Missing, b.Missing)
}

// updateDomainAck renews the acknowledgement of the local failure domain if it
// has changed and domainAckInterval has passed. Only the root of the domain's
// tree does so.
func (r *Reducer) updateDomainAck(now mesh.Time) {
	if _, ok := r.topology.Parent(); ok || !r.topology.IsReader() {
		return
	}
	old, ok := r.domainAcks[r.settings.Domain]
	if ok && now.Sub(old.Stamp) < domainAckInterval {
		return
	}
	next := DomainAck{Domain: r.settings.Domain, Ack: r.subtreeAck(now), Aggregates: r.subtreeAggregates(now)}
	next.Ack.Total = uint32(r.topology.LiveCount(r.settings.Domain))
	if ok && slices.EqualFunc(old.Aggregates, next.Aggregates, Aggregate.equal) {
		tooEarly := next.Ack.InForce < next.Ack.Total && now.Sub(old.Stamp) < 2*domainAckInterval
		if tooEarly || old.Ack.equal(&next.Ack) {
			return
		}
	}
	next.Stamp = max(now, old.Stamp+1)
	r.domainAcks[next.Domain] = next
}

// changedDomains returns the acknowledgements of failure domains that have
// changed since they were last sent to the peer, and records them as sent.
func (r *Reducer) changedDomains(p *peer) []DomainAck {
	var changed []DomainAck
	for _, domain := range sortedKeys(r.domainAcks) {
		ack := r.domainAcks[domain]
		if ack.Stamp > p.sentDomainStamps[domain] {
			p.sentDomainStamps[domain] = ack.Stamp
			changed = append(changed, ack)
		}
	}
	return changed
}

func (r *Reducer) acceptDomains(acks []DomainAck) {
	for _, ack := range acks {
		if ack.Stamp > r.domainAcks[ack.Domain].Stamp {
			r.domainAcks[ack.Domain] = ack
		}
	}
}

// InForce returns the acknowledgement of the head over all failure domains. It
// is complete on readers only. A failure domain without an acknowledgement of
// the head counts as not having it.
func (r *Reducer) InForce() Ack {
	total := Ack{Version: r.head.Version}
	for _, domain := range r.topology.Domains() {
		members := uint32(r.topology.LiveCount(domain))
		domainAck, ok := r.domainAcks[domain]
		if !ok || domainAck.Ack.Version != total.Version {
			total.Total += members
			continue
		}
		ack := domainAck.Ack
		ack.Total = members
		total.add(&ack, "")
	}
	return total
}

func (a Aggregate) equal(b Aggregate) bool { return a.Kind == b.Kind && bytes.Equal(a.Value, b.Value) }
