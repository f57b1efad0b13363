package distribution

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// freshRequestInterval is the shortest time between two requests for a
	// fresh head. A random time of up to the same length is added.
	freshRequestInterval = 500 * time.Millisecond
	// directReadAfter is the number of unanswered requests after which a node
	// that is not a reader reads the head from the platform itself.
	directReadAfter = 8
	// maxDirectReadDelay is the upper limit of the random time before each
	// direct read, including the first, so that nodes that start together do
	// not read at the same time.
	maxDirectReadDelay = 10 * time.Second
	// maxNonces is the number of latest requests for a fresh head whose
	// answers are accepted.
	maxNonces = 8
)

// floor is the version floor, the lowest version that the node may apply. All
// versions that earlier processes of the host applied are at or below it.
type floor struct {
	known   bool
	version mesh.ConfigVersion

	// nonces are those of the latest requests for a fresh head, oldest first.
	// attempts counts the rounds of requests, including those without a peer
	// to ask.
	nonces   []uint64
	attempts int
	// nextRequest and nextDirectRead are the earliest times of the next
	// request to a peer and of the next direct read.
	nextRequest    mesh.Time
	nextDirectRead mesh.Time
}

// Established reports whether the version floor is known.
func (r *Reducer) Established() bool { return r.floor.known }

// Floor returns the version floor. The second result is false while the floor
// is unknown.
func (r *Reducer) Floor() (mesh.ConfigVersion, bool) { return r.floor.version, r.floor.known }

// setFloor sets the version floor from the head. The read of the head must
// have begun after this process started. Later calls have no effect.
func (r *Reducer) setFloor(head Head, out *Output) {
	if r.floor.known {
		return
	}
	r.floor = floor{known: true, version: head.Version}
	out.Established = true
}

// tickFloor requests a fresh head from a peer while the floor is unknown.
// Readers take the floor from their own polling.
func (r *Reducer) tickFloor(now mesh.Time, rng *rand.Rand, out *Output) {
	f := &r.floor
	if f.known || !r.topology.Joined() || r.topology.IsReader() || now < f.nextRequest {
		return
	}
	f.nextRequest = now.Add(freshRequestInterval + time.Duration(rng.Int64N(int64(freshRequestInterval))))
	f.attempts++
	if f.attempts > directReadAfter {
		r.readHeadDirectly(now, rng, out)
	}
	peer, ok := r.chooseFreshPeer(rng)
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

// readHeadDirectly reads the head from the platform if a direct read is due.
// The first call only draws the time of the first read.
func (r *Reducer) readHeadDirectly(now mesh.Time, rng *rand.Rand, out *Output) {
	if now < r.floor.nextDirectRead {
		return
	}
	first := r.floor.nextDirectRead == 0
	r.floor.nextDirectRead = now.Add(time.Duration(rng.Int64N(int64(maxDirectReadDelay))))
	if !first {
		r.startHeadRead(now, out)
	}
}

// chooseFreshPeer returns the peer to send the next request to: in turn a
// reader of the local failure domain, the parent, and a reader of any failure
// domain. A reader cannot answer a host whose membership record it does not
// have yet, whereas the parent receives the record with the heartbeats.
func (r *Reducer) chooseFreshPeer(rng *rand.Rand) (mesh.HostID, bool) {
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

// acceptFreshRequest registers a peer for the result of a read that begins
// from now on. Peers that wait at the same time share one read.
func (r *Reducer) acceptFreshRequest(now mesh.Time, from mesh.HostID, nonce uint64, out *Output) {
	r.reads.addWaiter(from, nonce)
	if now.Sub(r.reads.startedAt) >= minReadInterval {
		r.startHeadRead(now, out)
	}
}

// acceptFreshHead uses the head that a peer relayed if it answers a request of
// this process. The nonce excludes answers to requests of an earlier process,
// whose head may be below a version that the process applied later.
func (r *Reducer) acceptFreshHead(now mesh.Time, from mesh.HostID, m *FreshHead, out *Output) {
	if !slices.Contains(r.floor.nonces, m.Nonce) {
		return
	}
	r.setFloor(m.Head, out)
	// Nodes that start together all request the head from the readers. They
	// pull the content from their parents, so that the readers have to serve
	// only their own children.
	source := from
	if parent, ok := r.topology.Parent(); ok {
		source = parent
	}
	r.learnHead(now, source, m.Head, out)
	r.apply(out)
}
