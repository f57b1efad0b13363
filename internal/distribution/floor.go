package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// freshInterval is the time between two requests for a fresh head.
	freshInterval = 500 * time.Millisecond
	// freshOwnAfter is the number of requests without an answer after which a
	// node that is no reader reads the platform itself.
	freshOwnAfter = 8
	// freshOwnInterval is the upper limit of the random time between two own
	// reads of such a node.
	freshOwnInterval = 10 * time.Second
	// maxNonces is the number of own requests that may be answered.
	maxNonces = 8
)

// floor is the lowest version that the node may apply. All versions that the
// host applied in earlier processes are at or below it.
type floor struct {
	known   bool
	version mesh.ConfigVersion

	nonces   []uint64
	attempts int
	next     mesh.Time
	nextOwn  mesh.Time
}

// Established reports whether the version floor is known.
func (r *Reducer) Established() bool { return r.floor.known }

// Floor returns the version floor. It is false while the floor is unknown.
func (r *Reducer) Floor() (mesh.ConfigVersion, bool) { return r.floor.version, r.floor.known }

// setFloor takes a head read from the platform that began after this process
// started.
func (r *Reducer) setFloor(head Head, out *Output) {
	if r.floor.known {
		return
	}
	r.floor = floor{known: true, version: head.Version}
	out.Established = true
}

// tickFloor asks peers for a fresh head while the floor is unknown. Readers
// learn it from their own polling.
func (r *Reducer) tickFloor(now mesh.Time, rng *rand.Rand, out *Output) {
	f := &r.floor
	if f.known || !r.topology.Joined() || r.topology.IsReader() || now < f.next {
		return
	}
	f.next = now.Add(freshInterval + time.Duration(rng.Int64N(int64(freshInterval))))
	f.attempts++
	if f.attempts > freshOwnAfter {
		r.readOwn(now, rng, out)
	}
	peer, ok := r.freshPeer(rng)
	if !ok {
		return
	}
	nonce := rng.Uint64() | 1
	f.nonces = append(f.nonces, nonce)
	if len(f.nonces) > maxNonces {
		f.nonces = f.nonces[1:]
	}
	r.send(peer, Message{FreshRequest: nonce}, out)
}

func (r *Reducer) readOwn(now mesh.Time, rng *rand.Rand, out *Output) {
	if now < r.floor.nextOwn {
		return
	}
	first := r.floor.nextOwn == 0
	r.floor.nextOwn = now.Add(time.Duration(rng.Int64N(int64(freshOwnInterval))))
	if !first {
		r.startRead(now, out)
	}
}

// freshPeer returns the peer to ask: in turn a reader of the local failure
// domain, the parent, and a reader of any failure domain. A reader cannot
// answer a host whose record it does not have yet, whereas the parent gets the
// record with the heartbeats.
func (r *Reducer) freshPeer(rng *rand.Rand) (mesh.HostID, bool) {
	if parent, ok := r.topology.Parent(); ok && r.floor.attempts%3 == 2 {
		return parent, true
	}
	domain := r.settings.Domain
	if domains := r.topology.Domains(); r.floor.attempts%3 == 0 && len(domains) > 0 {
		domain = domains[rng.IntN(len(domains))]
	}
	readers := slices.DeleteFunc(r.topology.Readers(domain), func(h mesh.HostID) bool { return h == r.settings.Host })
	if len(readers) == 0 {
		return "", false
	}
	return readers[rng.IntN(len(readers))], true
}

// acceptFreshRequest notes a peer that waits for a read which begins from now
// on. Requests that wait at the same time share one read.
func (r *Reducer) acceptFreshRequest(now mesh.Time, from mesh.HostID, nonce uint64, out *Output) {
	r.reads.wait(from, nonce)
	if now.Sub(r.reads.started) >= minReadInterval {
		r.startRead(now, out)
	}
}

// acceptFresh takes the relayed head if it answers a request of this process.
func (r *Reducer) acceptFresh(now mesh.Time, from mesh.HostID, m *Fresh, out *Output) {
	if !slices.Contains(r.floor.nonces, m.Nonce) {
		return
	}
	r.setFloor(m.Head, out)
	// All nodes that start together ask the readers for the head. The content
	// comes from the parent, so that the readers serve their children only.
	source := from
	if parent, ok := r.topology.Parent(); ok {
		source = parent
	}
	r.learn(now, source, m.Head, out)
	r.apply(out)
}
