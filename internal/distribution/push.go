package distribution

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// fullBytesPerSecond and fullBurstBytes limit the full content that a node
	// sends. The burst allows a few copies of about 2 KB each; the peers that
	// received one can serve others.
	fullBytesPerSecond = 1200
	fullBurstBytes     = 9000
	// maxServeQueue bounds the number of peers waiting for full content.
	maxServeQueue = 256
)

// pushToLinks pushes a new version, as a delta, to each link (a peer in
// Topology.Links) that is not known to hold it. If no delta can be made for a
// link, the Push only announces the version. The source, the peer from which
// the version came, is skipped.
func (r *Reducer) pushToLinks(source mesh.HostID, held *content, out *Output) {
	for _, host := range r.topology.Links() {
		if host == source || r.heldBy(host) >= held.head.Version {
			continue
		}
		push, ok := r.deltaFor(held, r.heldBy(host))
		if ok {
			r.serveQueue.drop(host)
		} else {
			push = &Push{Head: held.head}
		}
		r.send(host, Message{Push: push}, out)
	}
}

// deltaFor returns the delta that leads to the given content from peerVersion,
// a version that the peer holds. If that is unknown or not held here, the delta
// starts at the newest older version held here. The result is false if there
// is no such base, the diff fails, or the delta would be no smaller than the
// full content.
func (r *Reducer) deltaFor(held *content, peerVersion mesh.ConfigVersion) (*Push, bool) {
	base := r.contents.get(peerVersion)
	if base == nil {
		base = r.contents.get(r.contents.newestUpTo(held.head.Version - 1))
	}
	if base == nil || base.head.Version >= held.head.Version {
		return nil, false
	}
	delta, err := r.settings.Content.Diff(base.full, held.full)
	if err != nil || len(delta) >= len(held.full) {
		return nil, false
	}
	return &Push{Head: held.head, Base: base.head.Version, Delta: delta}, true
}

// acceptPush handles the content or the announcement of a version. If a delta
// cannot be used, the content is pulled from the sender in another form: as a
// delta from the newest version held here, or in full if the unusable delta
// already had that base. If full content cannot be used, tickFetch tries another
// source at the deadline.
func (r *Reducer) acceptPush(now mesh.Time, from mesh.HostID, m *Push, out *Output) {
	r.recordHeld(now, from, m.Head.Version)
	if m.Head.Version < r.target() || r.contents.get(m.Head.Version) != nil {
		return
	}
	if len(m.Delta)+len(m.Full) == 0 {
		r.learnHead(now, from, m.Head, out)
		r.pullFromHolder(now, from, out)
		return
	}
	full, err := r.contentOf(m)
	if err == nil && r.acceptContent(now, from, m.Head, full, out) {
		return
	}
	// Record only that the version exists, since the hash in the push has not
	// been verified. The empty peer keeps learnHead from starting a pull.
	r.learnHead(now, "", Head{Version: m.Head.Version}, out)
	if m.Base != 0 {
		have := r.contents.newestUpTo(m.Head.Version - 1)
		if have == m.Base {
			have = 0
		}
		r.pull(now, from, Pull{Want: m.Head.Version, Have: have}, out)
	}
}

// contentOf returns the full content that a push carries. The hash is not
// checked. The error is of type ErrContent if the base is not held or the full
// content cannot be decompressed. The error of a failed patch is that of
// Content.Patch.
func (r *Reducer) contentOf(m *Push) ([]byte, error) {
	if m.Base == 0 {
		return decompress(m.Full)
	}
	base := r.contents.get(m.Base)
	if base == nil {
		return nil, ErrContent.New("base %s of the delta to %s is not held", m.Base, m.Head.Version)
	}
	return r.settings.Content.Patch(base.full, m.Delta)
}

// pullRequest is the request of a peer that waits for full content.
type pullRequest struct {
	host    mesh.HostID
	version mesh.ConfigVersion
	// expires is the time at which the peer turns to another source.
	expires mesh.Time
}

// serveQueue holds the requests for full content in the order of their arrival
// and the token bucket that limits the bytes sent.
type serveQueue struct {
	requests []pullRequest
	// budget is the number of bytes that may be sent now. Content is sent while
	// it is positive, and it goes negative if the content is larger than the
	// remaining budget. refilledAt is zero before the first refill.
	budget     float64
	refilledAt mesh.Time
}

// drop removes the request of a peer.
func (q *serveQueue) drop(host mesh.HostID) {
	q.requests = slices.DeleteFunc(q.requests, func(queued pullRequest) bool { return queued.host == host })
}

// add queues a request. A repeated request updates the earlier one of the same
// peer and keeps its position. Requests beyond maxServeQueue are dropped; the
// peers turn to another source.
func (q *serveQueue) add(request pullRequest) {
	i := slices.IndexFunc(q.requests, func(queued pullRequest) bool { return queued.host == request.host })
	switch {
	case i >= 0:
		q.requests[i] = request
	case len(q.requests) < maxServeQueue:
		q.requests = append(q.requests, request)
	}
}

// acceptPull answers with a delta at once if one can be made, and queues a
// request for full content otherwise. A request for the target version stays
// queued while this node is still fetching that version, until the request
// expires.
func (r *Reducer) acceptPull(now mesh.Time, from mesh.HostID, m *Pull, out *Output) {
	held := r.contents.get(m.Want)
	if held == nil && m.Want != r.target() {
		return
	}
	if held != nil && m.Have != 0 && r.contents.get(m.Have) != nil {
		if push, ok := r.deltaFor(held, m.Have); ok {
			r.send(from, Message{Push: push}, out)
			return
		}
	}
	r.serveQueue.add(pullRequest{host: from, version: m.Want, expires: now.Add(fullPullTimeout)})
	r.tickServe(now, out)
}

// tickServe sends queued full content within the byte budget. A request is
// dropped when its version is neither held nor the target version, when the
// peer holds the version by now, or when it has expired, since the peer has
// then turned to another source and would receive a second copy.
func (r *Reducer) tickServe(now mesh.Time, out *Output) {
	q := &r.serveQueue
	if q.refilledAt == 0 {
		q.budget = fullBurstBytes
	} else {
		seconds := now.Sub(q.refilledAt).Seconds()
		q.budget = min(fullBurstBytes, q.budget+seconds*fullBytesPerSecond)
	}
	q.refilledAt = now
	waiting := q.requests[:0]
	for _, request := range q.requests {
		held := r.contents.get(request.version)
		switch {
		case r.heldBy(request.host) >= request.version || now > request.expires || (held == nil && request.version != r.target()):
		case held == nil || q.budget <= 0:
			waiting = append(waiting, request)
		default:
			deflated := held.compressed()
			q.budget -= float64(len(deflated))
			r.send(request.host, Message{Push: &Push{Head: held.head, Full: deflated}}, out)
		}
	}
	q.requests = waiting
}

// pullTimeout returns the time to wait for the answer to a Pull. Full content
// may have to wait for the sender's budget.
func pullTimeout(m Pull) time.Duration {
	if m.Have == 0 {
		return fullPullTimeout
	}
	return deltaPullTimeout
}
