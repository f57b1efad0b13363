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
	// deltaPullTimeout and fullPullTimeout are the times to wait for the
	// answer to a pull before another source is tried.
	deltaPullTimeout = 400 * time.Millisecond
	fullPullTimeout  = 600 * time.Millisecond
	// pushTimeout is the time to wait for a push of a version that was learned
	// from the platform, before the content is pulled or read from the object
	// store.
	pushTimeout = 250 * time.Millisecond
	// maxReaderPulls and maxMemberPulls are the numbers of pulls from peers
	// before the object store is read. Members that are not readers pull once
	// more, since there are many of them and each would read the object store.
	// Each pull may take fullPullTimeout, and all of them must leave time for
	// the read within the convergence target of 4 s.
	maxReaderPulls = 2
	maxMemberPulls = 3
	// objectTimeout is the time to wait for a read of the history row or the
	// object store.
	objectTimeout = 5 * time.Second
)

// fetch is the state of obtaining the content of the target version. It starts
// anew when the target changes.
type fetch struct {
	// attempts counts the pulls and the attempts without a peer to pull from.
	// After deadline the next source is tried.
	version  mesh.ConfigVersion
	attempts int
	deadline mesh.Time
	// pullPending is set while the answer to a pull is awaited.
	pullPending bool
	// lastPeer is the peer that the latest pull was sent to.
	lastPeer mesh.HostID
	// hash is the hash of the target's content. It is empty until it is known
	// from the head or from the history row.
	hash string
	// objectReadID and historyReadID are the IDs of the platform requests in
	// progress, or zero.
	objectReadID  uint64
	historyReadID uint64
}

// targetMissing reports whether the target is newer than the version in force
// and its content is not held.
func (r *Reducer) targetMissing() bool {
	target := r.target()
	return target > r.applied.Version && r.contents.get(target) == nil
}

// fetchTarget starts to fetch the target unless that is in progress. It pulls
// from the peer that reported the version; if from is empty, it waits
// pushTimeout for a push.
func (r *Reducer) fetchTarget(now mesh.Time, from mesh.HostID, out *Output) {
	target := r.target()
	if !r.targetMissing() {
		return
	}
	f := &r.fetch
	if f.version != target {
		*f = fetch{version: target, deadline: now.Add(pushTimeout)}
		if from != "" {
			r.pull(now, from, Pull{Want: target, Have: r.contents.newestUpTo(target)}, out)
		}
	}
	if target == r.head.Version && r.head.Hash != "" {
		f.hash = r.head.Hash
	}
}

// pull requests content from a peer and sets the deadline for the answer.
func (r *Reducer) pull(now mesh.Time, from mesh.HostID, m Pull, out *Output) {
	r.fetch.attempts++
	r.fetch.pullPending, r.fetch.lastPeer = true, from
	r.fetch.deadline = now.Add(pullTimeout(m))
	r.send(from, Message{Pull: &m}, out)
}

// tickFetch tries the next source once the deadline of the current one has
// passed.
func (r *Reducer) tickFetch(now mesh.Time, rng *rand.Rand, out *Output) {
	if !r.targetMissing() {
		return
	}
	r.fetchTarget(now, "", out)
	f := &r.fetch
	if now < f.deadline {
		return
	}
	f.pullPending = false
	limit := maxMemberPulls
	if r.topology.IsReader() {
		limit = maxReaderPulls
	}
	sources := r.pullSources(f.version)
	if len(sources) > 0 && f.attempts < limit {
		have := r.contents.newestUpTo(f.version)
		r.pull(now, sources[rng.IntN(len(sources))], Pull{Want: f.version, Have: have}, out)
		return
	}
	if r.topology.IsReader() || f.attempts >= limit {
		r.readObject(now, out)
		f.attempts = 0
		return
	}
	// No peer can be asked yet; try again after a random delay.
	f.attempts++
	f.deadline = now.Add(fullPullTimeout + time.Duration(rng.Int64N(int64(fullPullTimeout))))
}

// pullFromHolder pulls the target from a peer that holds it, unless the answer
// of this peer or of another known holder is already awaited.
func (r *Reducer) pullFromHolder(now mesh.Time, from mesh.HostID, out *Output) {
	if !r.targetMissing() {
		return
	}
	r.fetchTarget(now, "", out)
	target := r.fetch.version
	pending := r.fetch.pullPending && (r.fetch.lastPeer == from || r.heldBy(r.fetch.lastPeer) >= target)
	if !pending && r.heldBy(from) >= target {
		r.pull(now, from, Pull{Want: target, Have: r.contents.newestUpTo(target)}, out)
	}
}

// pullSources returns the peers from which a version may be pulled. A delta
// comes from a known holder, any of which can serve it. Full content comes
// first from a known holder or the parent and then from any member of the
// failure domain: if joining nodes pulled only from the few holders that they
// know, these would have to serve all of them.
func (r *Reducer) pullSources(v mesh.ConfigVersion) []mesh.HostID {
	if r.contents.newestUpTo(v) == 0 && r.fetch.attempts > 0 {
		if hosts := r.otherMembers(); len(hosts) > 0 {
			return hosts
		}
	}
	var hosts []mesh.HostID
	for _, host := range sortedKeys(r.peers) {
		if r.peers[host].held >= v && host != r.fetch.lastPeer {
			hosts = append(hosts, host)
		}
	}
	if len(hosts) > 0 {
		return hosts
	}
	if parent, ok := r.topology.Parent(); ok {
		return []mesh.HostID{parent}
	}
	if r.heldBy(r.fetch.lastPeer) >= v {
		hosts = append(hosts, r.fetch.lastPeer)
	}
	return hosts
}

// otherMembers returns the live members of the local failure domain except
// this host and the peer of the latest pull.
func (r *Reducer) otherMembers() []mesh.HostID {
	return slices.DeleteFunc(r.topology.Hosts(r.settings.Domain), func(host mesh.HostID) bool {
		return host == r.settings.Host || host == r.fetch.lastPeer
	})
}

// readObject reads the content from the object store. If its hash is not
// known, it first reads the version's history row.
func (r *Reducer) readObject(now mesh.Time, out *Output) {
	f := &r.fetch
	f.deadline = now.Add(objectTimeout)
	if f.hash == "" {
		f.historyReadID = r.reads.nextID()
		out.Platform = append(out.Platform, platform.Request{
			ID: f.historyReadID, Op: platform.OpRead, Keys: []string{platform.HistoryKey(f.version)},
		})
		return
	}
	f.objectReadID = r.reads.nextID()
	out.Platform = append(out.Platform, platform.Request{ID: f.objectReadID, Op: platform.OpGetObject, Hash: f.hash})
}

// acceptHistory takes the hash from the history row and reads the object.
// After a failed or malformed read the fetch continues at its deadline.
func (r *Reducer) acceptHistory(now mesh.Time, res *platform.Result, out *Output) {
	f := &r.fetch
	f.historyReadID = 0
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

// acceptObject handles the content read from the object store. If the read
// failed or the hash does not match, the fetch continues after
// fullPullTimeout.
func (r *Reducer) acceptObject(now mesh.Time, res *platform.Result, out *Output) {
	f := &r.fetch
	if res.ID == 0 || res.ID != f.objectReadID {
		return
	}
	f.objectReadID = 0
	f.deadline = now.Add(fullPullTimeout)
	if res.Status == platform.OK {
		r.acceptContent(now, "", Head{Version: f.version, Hash: f.hash}, res.Object, out)
	}
}
