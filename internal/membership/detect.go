package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// SuspectAfter is the silence after which a neighbour is suspect.
	SuspectAfter = 3 * time.Second
	// DeadAfter is the silence after which a neighbour is dead.
	DeadAfter = 5 * time.Second
	// probeAfter is the silence after which a neighbour is sent extra
	// heartbeats, one each probeInterval. Five or more heartbeats must be lost
	// before the neighbour is suspect.
	probeAfter    = 1300 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	// isolationLimit is the longest time for which a host that hears nobody
	// holds back its judgement.
	isolationLimit = 30 * time.Second
)

// link is the state of the edge to a peer of Links.
type link struct {
	heard  mesh.Time
	probed mesh.Time
	// synced is set once the records of both ends were compared.
	synced bool
	// mismatchSince is the time since which the digests differ, zero while
	// they are equal.
	mismatchSince mesh.Time
}

// updateLinks recomputes the neighbours after a change of the tree.
func (r *Reducer) updateLinks(now mesh.Time) {
	if !r.treeDirty {
		return
	}
	r.treeDirty = false
	old := r.neighbours
	r.neighbours = r.Children()
	if parent, ok := r.Parent(); ok {
		r.neighbours = slices.Insert(r.neighbours, 0, parent)
	}
	for _, host := range old {
		r.dropLink(host)
	}
	for _, host := range r.neighbours {
		r.addLink(now, host)
	}
}

// addLink begins to exchange records with a peer.
func (r *Reducer) addLink(now mesh.Time, host mesh.HostID) {
	if _, ok := r.links[host]; !ok {
		r.links[host] = &link{heard: now}
		r.outboxes.add(host, r.settings.Host, true)
	}
}

// dropLink forgets the state of a peer that is no longer a link.
func (r *Reducer) dropLink(host mesh.HostID) {
	if host != "" && !slices.Contains(r.Links(), host) {
		delete(r.links, host)
	}
}

// heard notes a sign of life.
func (r *Reducer) heard(now mesh.Time, from mesh.HostID, sender *Record) {
	r.lastHeard = now
	if l, ok := r.links[from]; ok {
		l.heard = now
	}
	if sender != nil && sender.Domain != r.settings.Domain {
		r.heardDomain(now, sender.Domain)
	}
	if from == r.ring.peer {
		r.ring.answered = true
	}
}

// detect probes silent neighbours and declares them suspect or dead. Only
// neighbours in the tree are judged, and these are of the same failure domain.
func (r *Reducer) detect(now mesh.Time, out *Output) {
	for _, host := range r.inbound.expire(now) {
		r.dropLink(host)
	}
	isolated := r.isolated(now)
	for _, host := range r.neighbours {
		l := r.links[host]
		silence := now.Sub(l.heard)
		if silence >= probeAfter && now.Sub(l.probed) >= probeInterval {
			r.contact(host, KindHeartbeat, out)
		}
		rec := r.table.records[host]
		switch {
		case silence >= DeadAfter && !isolated && rec.Live():
			next := rec.withState(now, Dead)
			r.replace(now, "", &next, out)
		case silence >= SuspectAfter && !isolated && rec.State == Alive:
			next := rec.withState(now, Suspect)
			r.replace(now, "", &next, out)
		}
	}
}

// isolated reports whether no host at all is heard. It is then more likely
// that this host is partitioned than that all others have died. After
// isolationLimit the neighbours are judged nevertheless.
func (r *Reducer) isolated(now mesh.Time) bool {
	silence := now.Sub(r.lastHeard)
	return r.LiveCount(r.settings.Domain) > 2 && silence >= SuspectAfter && silence < isolationLimit
}

// restartDetection gives every peer a full period to answer.
func (r *Reducer) restartDetection(now mesh.Time) {
	r.lastHeard = now
	for _, l := range r.links {
		l.heard = now
	}
	for _, reach := range r.reach {
		reach.heard, reach.misses = now, 0
	}
	r.nextBeat = now
}
