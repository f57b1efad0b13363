package distribution

import (
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// deltaPullTimeout and fullPullTimeout are the times after which another
	// source is asked.
	deltaPullTimeout = 400 * time.Millisecond
	fullPullTimeout  = 600 * time.Millisecond
	// pushPatience is the time that a reader waits for a push of a version that
	// it learned from the platform, before it reads the object store.
	pushPatience = 250 * time.Millisecond
	// readerPulls and memberPulls are the numbers of pulls from peers before
	// the object store is read. Members that are no readers ask once more, as
	// there are many of them. Each pull may take fullPullTimeout, and all of
	// them must leave time for the read within the target of 4 s.
	readerPulls = 2
	memberPulls = 3
	// objectTimeout is the time after which a read of the object store is
	// given up.
	objectTimeout = 5 * time.Second
)

// fetch is the search for the content of the target.
type fetch struct {
	version  mesh.ConfigVersion
	attempts int
	deadline mesh.Time
	// asked is set while a Pull waits for its answer.
	asked bool
	// last is the peer that was asked last.
	last mesh.HostID
	// hash is known once the head or the history row has been read.
	hash string
	// objectRead and historyRead are IDs of platform requests under way.
	objectRead  uint64
	historyRead uint64
}

// missing reports whether the content of the target is to be fetched.
func (r *Reducer) missing() bool {
	target := r.target()
	return target > r.applied.Version && r.contents.get(target) == nil
}

// fetchTarget starts to fetch the target. The peer that told of the head is
// asked first; without one, a push is awaited.
func (r *Reducer) fetchTarget(now mesh.Time, from mesh.HostID, out *Output) {
	target := r.target()
	if !r.missing() {
		return
	}
	f := &r.fetch
	if f.version != target {
		*f = fetch{version: target, deadline: now.Add(pushPatience)}
		if from != "" {
			r.pull(now, from, Pull{Want: target, Have: r.contents.newestUpTo(target)}, out)
		}
	}
	if target == r.head.Version && r.head.Hash != "" {
		f.hash = r.head.Hash
	}
}

// pull asks a peer for content and sets the time for its answer.
func (r *Reducer) pull(now mesh.Time, from mesh.HostID, m Pull, out *Output) {
	r.fetch.attempts++
	r.fetch.asked, r.fetch.last = true, from
	r.fetch.deadline = now.Add(pullTimeout(m))
	r.send(from, Message{Pull: &m}, out)
}

// tickFetch asks the next source once the last one has not answered in time.
func (r *Reducer) tickFetch(now mesh.Time, rng *rand.Rand, out *Output) {
	if !r.missing() {
		return
	}
	r.fetchTarget(now, "", out)
	f := &r.fetch
	if now < f.deadline {
		return
	}
	f.asked = false
	limit := memberPulls
	if r.topology.IsReader() {
		limit = readerPulls
	}
	holders := r.sources(f.version)
	if len(holders) > 0 && f.attempts < limit {
		have := r.contents.newestUpTo(f.version)
		r.pull(now, holders[rng.IntN(len(holders))], Pull{Want: f.version, Have: have}, out)
		return
	}
	if r.topology.IsReader() || f.attempts >= limit {
		r.readObject(now, out)
		f.attempts = 0
		return
	}
	f.attempts++
	f.deadline = now.Add(fullPullTimeout + time.Duration(rng.Int64N(int64(fullPullTimeout))))
}

// offerSource asks a peer that holds the target, unless a peer that is known
// to hold it has been asked already.
func (r *Reducer) offerSource(now mesh.Time, from mesh.HostID, out *Output) {
	if !r.missing() {
		return
	}
	r.fetchTarget(now, "", out)
	target := r.fetch.version
	waiting := r.fetch.asked && (r.fetch.last == from || r.heldBy(r.fetch.last) >= target)
	if !waiting && r.heldBy(from) >= target {
		r.pull(now, from, Pull{Want: target, Have: r.contents.newestUpTo(target)}, out)
	}
}

// sources returns the peers to ask for a version. A delta comes from a known
// holder, as any of them can serve it. Full content comes from the parent at
// first and then from any member of the failure domain: the few holders that
// joining nodes know of would have to serve all of them.
func (r *Reducer) sources(v mesh.ConfigVersion) []mesh.HostID {
	if r.contents.newestUpTo(v) == 0 && r.fetch.attempts > 0 {
		if hosts := r.otherMembers(); len(hosts) > 0 {
			return hosts
		}
	}
	var hosts []mesh.HostID
	for _, host := range sortedKeys(r.peers) {
		if r.peers[host].held >= v && host != r.fetch.last {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	if parent, ok := r.topology.Parent(); ok {
		return []mesh.HostID{parent}
	}
	if r.heldBy(r.fetch.last) >= v {
		hosts = append(hosts, r.fetch.last)
	}
	return hosts
}

// otherMembers returns the live members of the local failure domain without
// this host and the peer that was asked last.
func (r *Reducer) otherMembers() []mesh.HostID {
	return slices.DeleteFunc(r.topology.Hosts(r.settings.Domain), func(host mesh.HostID) bool {
		return host == r.settings.Host || host == r.fetch.last
	})
}

// readObject reads the content from the object store, after the history row
// if the hash is not known.
func (r *Reducer) readObject(now mesh.Time, out *Output) {
	f := &r.fetch
	f.deadline = now.Add(objectTimeout)
	if f.hash == "" {
		f.historyRead = r.reads.nextID()
		out.Platform = append(out.Platform, platform.Request{
			ID: f.historyRead, Op: platform.OpRead, Keys: []string{platform.HistoryKey(f.version)},
		})
		return
	}
	f.objectRead = r.reads.nextID()
	out.Platform = append(out.Platform, platform.Request{ID: f.objectRead, Op: platform.OpGetObject, Hash: f.hash})
}

func (r *Reducer) acceptHistory(now mesh.Time, res *platform.Result, out *Output) {
	f := &r.fetch
	f.historyRead = 0
	if res.Status != platform.OK || len(res.Rows) == 0 || res.Rows[0].Key != platform.HistoryKey(f.version) {
		return
	}
	var row HeadRow
	if err := json.Unmarshal(res.Rows[0].Value, &row); err != nil || row.Hash == "" {
		return
	}
	f.hash = row.Hash
	r.readObject(now, out)
}

func (r *Reducer) acceptObject(now mesh.Time, res *platform.Result, out *Output) {
	f := &r.fetch
	if res.ID == 0 || res.ID != f.objectRead {
		return
	}
	f.objectRead = 0
	f.deadline = now.Add(fullPullTimeout)
	if res.Status == platform.OK {
		r.acceptContent(now, "", Head{Version: f.version, Hash: f.hash}, res.Object, out)
	}
}
