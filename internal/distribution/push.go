package distribution

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// fullBytesPerSecond and fullBurstBytes limit the full content that a node
	// serves. The burst is a few copies of 2 KB each; the peers that got one serve
	// the next ones.
	fullBytesPerSecond = 1200
	fullBurstBytes     = 9000
	// maxServeQueue bounds the peers that wait for full content.
	maxServeQueue = 256
)

// pushOn sends the delta of a new version to the links that may not have it.
// A link that holds no base of a delta is only told of the version.
func (r *Reducer) pushOn(source mesh.HostID, held *content, out *Output) {
	for _, host := range r.topology.Links() {
		if host == source || r.heldBy(host) >= held.head.Version {
			continue
		}
		push, ok := r.deltaFor(held, r.heldBy(host))
		if ok {
			r.serve.drop(host)
		} else {
			push = &Push{Head: held.head}
		}
		r.send(host, Message{Push: push}, out)
	}
}

// deltaFor returns the delta to a version from the peer's version, or from
// the one before if the peer's version is not known.
func (r *Reducer) deltaFor(held *content, have mesh.ConfigVersion) (*Push, bool) {
	base := r.contents.get(have)
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

// acceptPush takes the content of a version, or asks for it in another form
// if the delta cannot be used here.
func (r *Reducer) acceptPush(now mesh.Time, from mesh.HostID, m *Push, out *Output) {
	r.noteHeld(now, from, m.Head.Version)
	if m.Head.Version < r.target() || r.contents.get(m.Head.Version) != nil {
		return
	}
	if len(m.Delta)+len(m.Full) == 0 {
		r.learn(now, from, m.Head, out)
		r.offerSource(now, from, out)
		return
	}
	full, err := r.contentOf(m)
	if err == nil && r.acceptContent(now, from, m.Head, full, out) {
		return
	}
	r.learn(now, "", Head{Version: m.Head.Version}, out)
	if m.Base != 0 {
		have := r.contents.newestUpTo(m.Head.Version - 1)
		if have == m.Base {
			have = 0
		}
		r.pull(now, from, Pull{Want: m.Head.Version, Have: have}, out)
	}
}

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

// request is a peer that waits for full content.
type request struct {
	host mesh.HostID
	want mesh.ConfigVersion
	// until is the time at which the peer asks another source.
	until mesh.Time
}

// serveQueue holds the requests for full content and their byte budget.
type serveQueue struct {
	requests []request
	budget   float64
	filled   mesh.Time
}

// drop removes the request of a peer.
func (q *serveQueue) drop(host mesh.HostID) {
	q.requests = slices.DeleteFunc(q.requests, func(w request) bool { return w.host == host })
}

// add queues a request. A peer that asks again keeps its place.
func (q *serveQueue) add(next request) {
	i := slices.IndexFunc(q.requests, func(w request) bool { return w.host == next.host })
	switch {
	case i >= 0:
		q.requests[i] = next
	case len(q.requests) < maxServeQueue:
		q.requests = append(q.requests, next)
	}
}

// acceptPull answers with a delta at once, or queues the full content. A
// request for a version that is itself being fetched waits for its arrival.
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
	r.serve.add(request{host: from, want: m.Want, until: now.Add(fullPullTimeout)})
	r.tickServe(now, out)
}

// tickServe sends full content within the budget. A request whose sender has
// turned to another source is dropped, as its answer would be a second copy.
func (r *Reducer) tickServe(now mesh.Time, out *Output) {
	q := &r.serve
	if q.filled == 0 {
		q.budget = fullBurstBytes
	} else {
		seconds := now.Sub(q.filled).Seconds()
		q.budget = min(fullBurstBytes, q.budget+seconds*fullBytesPerSecond)
	}
	q.filled = now
	waiting := q.requests[:0]
	for _, next := range q.requests {
		held := r.contents.get(next.want)
		switch {
		case r.heldBy(next.host) >= next.want || now > next.until || (held == nil && next.want != r.target()):
		case held == nil || q.budget <= 0:
			waiting = append(waiting, next)
		default:
			packed := held.compressed()
			q.budget -= float64(len(packed))
			r.send(next.host, Message{Push: &Push{Head: held.head, Full: packed}}, out)
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
