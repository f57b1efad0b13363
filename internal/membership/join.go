package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// joinBase and joinCap bound the full jitter between two attempts to join.
	joinBase = 100 * time.Millisecond
	joinCap  = 5 * time.Second
	// joinPatience is the time after which a node that reached no seed acts on
	// its own. It keeps trying to join.
	joinPatience = 5 * time.Second
	// seedInterval is the time between two contacts of a reader with a seed.
	// They unite groups of nodes that started without reaching each other.
	seedInterval = 15 * time.Second
	// seedFirst is the first such time. It doubles up to seedInterval while a
	// seed's host is unknown.
	seedFirst = time.Second
)

// joinState is the progress of joining through the seeds.
type joinState struct {
	seeds    []string
	done     bool
	attempts int
	next     mesh.Time
	// pause is the time between contacts after the node has joined.
	pause time.Duration
}

func otherSeeds(s Settings) []string {
	return slices.DeleteFunc(slices.Clone(s.Seeds), func(addr string) bool { return addr == s.ControlAddr })
}

// Joined reports whether the node has reached a seed, needs none, or has
// waited joinPatience for one.
func (r *Reducer) Joined() bool {
	return r.join.done || len(r.join.seeds) == 0 || (r.started != 0 && r.now.Sub(r.started) >= joinPatience)
}

func (r *Reducer) tickJoin(now mesh.Time, rng *rand.Rand, out *Output) {
	j := &r.join
	if len(j.seeds) == 0 {
		return
	}
	if j.next == 0 {
		j.next = now.Add(time.Duration(rng.Int64N(int64(joinBase))))
	}
	if now < j.next {
		return
	}
	candidates := j.seeds
	if j.done {
		if candidates = r.seedsToUnite(now); len(candidates) == 0 {
			return
		}
	} else {
		j.next = now.Add(joinDelay(j.attempts, rng))
		j.attempts++
	}
	addr := candidates[rng.IntN(len(candidates))]
	m := Message{Kind: KindJoin, Digest: r.table.digest, Records: Batch{*r.Self()}}
	out.Sends = append(out.Sends, Send{Addr: addr, Message: m})
}

// seedsToUnite returns the seeds that a reader contacts after it has joined:
// those whose hosts it does not know, or all of them.
func (r *Reducer) seedsToUnite(now mesh.Time) []string {
	j := &r.join
	j.pause = min(seedInterval, max(seedFirst, 2*j.pause))
	j.next = now.Add(j.pause)
	if !r.IsReader() {
		j.pause = 0
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
	j.pause = seedInterval
	j.next = now.Add(j.pause)
	return j.seeds
}

// joinDelay returns a random time up to the exponentially growing limit, and
// at least joinBase so that an attempt can be answered.
func joinDelay(attempts int, rng *rand.Rand) time.Duration {
	limit := min(joinCap, joinBase<<min(attempts+1, 16))
	return joinBase + time.Duration(rng.Int64N(int64(limit)))
}

// answerJoin sends a joining node the members that it contacts first: its
// parent, the readers of its failure domain and this node. The parent then
// sends it the other records, as a seed would have to serve too many nodes.
func (r *Reducer) answerJoin(from mesh.HostID, out *Output) {
	joiner := r.table.records[from]
	if joiner == nil {
		return
	}
	r.send(from, Message{Kind: KindJoinReply, Records: r.firstContacts(joiner)}, out)
}

func (r *Reducer) firstContacts(joiner *Record) Batch {
	d := r.table.domain(joiner.Domain)
	members := d.order
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
	if i, ok := d.index(keyOf(joiner.Host)); ok && i > 0 {
		add(members[(i-1)/FanOut])
	}
	return batch
}
