package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// joinBackoffBase and joinBackoffMax bound the random time between two
	// attempts to join.
	joinBackoffBase = 100 * time.Millisecond
	joinBackoffMax  = 5 * time.Second
	// joinTimeout is the time after which a node that reached no seed counts as
	// joined and works without one. It keeps trying to join.
	joinTimeout = 5 * time.Second
	// maxSeedInterval is the longest time between two join messages that a reader
	// sends to seeds after it has joined. They merge groups of nodes that started
	// without reaching each other.
	maxSeedInterval = 15 * time.Second
	// minSeedInterval is the first time between two of these join messages. The
	// time doubles up to maxSeedInterval while the host of a seed is unknown.
	minSeedInterval = time.Second
)

// joinState is the progress of joining through the seeds.
type joinState struct {
	seeds       []string
	joined      bool
	attempts    int
	nextAttempt mesh.Time
	// seedInterval is the time between join messages to seeds after the node has
	// joined.
	seedInterval time.Duration
}

// otherSeeds returns the seeds other than the local node.
func otherSeeds(s Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.ControlAddr })
}

// Joined reports whether the node has reached a seed, has no other seeds, or
// has waited joinTimeout for one.
func (r *Reducer) Joined() bool {
	return r.join.joined || len(r.join.seeds) == 0 || (r.started != 0 && r.now.Sub(r.started) >= joinTimeout)
}

func (r *Reducer) tickJoin(now mesh.Time, rng *rand.Rand, out *Output) {
	j := &r.join
	if len(j.seeds) == 0 {
		return
	}
	if j.nextAttempt == 0 {
		j.nextAttempt = now.Add(time.Duration(rng.Int64N(int64(joinBackoffBase))))
	}
	if now < j.nextAttempt {
		return
	}
	candidates := j.seeds
	if j.joined {
		if candidates = r.seedsToContact(now); len(candidates) == 0 {
			return
		}
	} else {
		j.nextAttempt = now.Add(joinBackoff(j.attempts, rng))
		j.attempts++
	}
	addr := candidates[rng.IntN(len(candidates))]
	m := Message{Kind: KindJoin, Digest: r.table.digest, Records: Batch{*r.Self()}}
	out.Sends = append(out.Sends, Send{Addr: addr, Message: m})
}

// seedsToContact returns the seeds that a reader contacts after it has joined:
// those whose hosts it does not know, or all of them.
func (r *Reducer) seedsToContact(now mesh.Time) []string {
	j := &r.join
	j.seedInterval = min(maxSeedInterval, max(minSeedInterval, 2*j.seedInterval))
	j.nextAttempt = now.Add(j.seedInterval)
	if !r.IsReader() {
		j.seedInterval = 0
		return nil
	}
	known := make(map[string]bool, len(r.table.records))
	for _, rec := range r.table.records {
		known[rec.ControlAddr] = true
	}
	unknown := slices.DeleteFunc(slices.Clone(j.seeds), func(addr string) bool { return known[addr] })
	if len(unknown) > 0 {
		return unknown
	}
	j.seedInterval = maxSeedInterval
	j.nextAttempt = now.Add(j.seedInterval)
	return j.seeds
}

// joinBackoff returns the time until the next attempt: joinBackoffBase, so that
// the previous attempt can be answered, and a random time up to a limit that
// grows exponentially (full jitter).
func joinBackoff(attempts int, rng *rand.Rand) time.Duration {
	limit := min(joinBackoffMax, joinBackoffBase<<min(attempts+1, 16))
	return joinBackoffBase + time.Duration(rng.Int64N(int64(limit)))
}

// sendJoinReply sends a joining node the members that it contacts first: its
// parent, the readers of its failure domain and this node. The parent then
// sends it the other records, because a seed would have to serve too many nodes.
func (r *Reducer) sendJoinReply(from mesh.HostID, out *Output) {
	joiner := r.table.records[from]
	if joiner == nil {
		return
	}
	r.send(from, Message{Kind: KindJoinReply, Records: r.firstContacts(joiner)}, out)
}

func (r *Reducer) firstContacts(joiner *Record) Batch {
	d := r.table.domain(joiner.Domain)
	members := d.treeOrder
	batch := Batch{*r.Self()}
	add := func(rec *Record) {
		known := slices.ContainsFunc(batch, func(b Record) bool { return b.Host == rec.Host })
		if !known && rec.Host != joiner.Host {
			batch = append(batch, *rec)
		}
	}
	for _, rec := range members[:min(ReadersPerDomain, len(members))] {
		add(rec)
	}
	if i, ok := d.index(treeKeyOf(joiner.Host)); ok && i > 0 {
		add(members[(i-1)/FanOut])
	}
	return batch
}
