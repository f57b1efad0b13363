package publish

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// MaxRequests is the largest number of requests in progress on one node.
	MaxRequests = 64

	// minBackoff and maxBackoff bound the time before a request continues
	// after a platform operation without an answer. The time doubles with each
	// missing answer.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 2 * time.Second
)

// flow is the state machine of one kind of request. Its state determines the
// next platform operation: after an operation whose answer was lost, it reads
// the rows to find out whether the operation took effect.
type flow interface {
	// nextRequest returns the platform operation for the current state.
	nextRequest(now mesh.Time) platform.Request
	// handleResult handles a result whose status is neither Unknown nor
	// Invalid. It returns the reply, or nil if the request is not finished.
	handleResult(res *platform.Result) *Reply
	// handleUnknown handles an operation whose answer did not arrive.
	handleUnknown()
	// writeMayTakeEffect reports whether a write has been sent that may have
	// taken effect or may still do so.
	writeMayTakeEffect() bool
}

// request is a request in progress.
type request struct {
	id       RequestID
	deadline mesh.Time
	flow     flow
	// pendingID is the ID of the platform operation in progress, or zero if
	// the next one starts at retryAt.
	pendingID uint64
	retryAt   mesh.Time
	backoff   time.Duration
}

// Publisher is the reducer of one node. It holds only the requests in
// progress.
type Publisher struct {
	lastID uint64
	// requests holds the requests in progress in the order in which they
	// started.
	requests []*request
}

// New returns a Publisher without requests.
func New() *Publisher { return &Publisher{} }

// Apply starts to publish a snapshot.
func (p *Publisher) Apply(now mesh.Time, ev *Apply, out *Effects) {
	f, refusal := newApplyFlow(ev)
	p.start(now, ev.Request, ev.Deadline, f, refusal, out)
}

// ReadHistory starts to read the history.
func (p *Publisher) ReadHistory(now mesh.Time, ev *ReadHistory, out *Effects) {
	f, refusal := newHistoryFlow(ev)
	p.start(now, ev.Request, ev.Deadline, f, refusal, out)
}

// start starts the flow of a request, or replies at once if it is refused.
func (p *Publisher) start(now mesh.Time, id RequestID, deadline mesh.Time, f flow, refusal *Reply, out *Effects) {
	if refusal == nil && len(p.requests) >= MaxRequests {
		refusal = &Reply{Status: Unavailable, Detail: "too many requests in progress"}
	}
	if refusal != nil {
		refusal.Request = id
		out.Replies = append(out.Replies, *refusal)
		return
	}
	r := &request{id: id, deadline: deadline, flow: f, backoff: minBackoff}
	p.requests = append(p.requests, r)
	p.send(now, r, out)
}

// send issues the flow's next platform operation.
func (p *Publisher) send(now mesh.Time, r *request, out *Effects) {
	p.lastID++
	op := r.flow.nextRequest(now)
	op.ID = p.lastID
	r.pendingID = p.lastID
	out.Platform = append(out.Platform, op)
}

// PlatformResult continues the request that issued the operation. Results of
// finished requests are ignored.
func (p *Publisher) PlatformResult(now mesh.Time, res *platform.Result, out *Effects) {
	i := slices.IndexFunc(p.requests, func(r *request) bool { return r.pendingID == res.ID && res.ID != 0 })
	if i < 0 {
		return
	}
	r := p.requests[i]
	r.pendingID = 0
	if res.Status == platform.Unknown {
		r.flow.handleUnknown()
		r.retryAt = now.Add(r.backoff)
		r.backoff = min(2*r.backoff, maxBackoff)
		return
	}
	r.backoff = minBackoff
	reply := invalidRequestReply(res)
	if reply == nil {
		reply = r.flow.handleResult(res)
	}
	if reply == nil {
		p.send(now, r, out)
		return
	}
	if r.flow.writeMayTakeEffect() && (reply.Status == Failed || res.Status == platform.Invalid) {
		reply.Status = Unsettled
	}
	p.finish(i, reply, out)
}

// invalidRequestReply returns the reply to a request with an operation that
// the platform refused as invalid, or nil for other results.
func invalidRequestReply(res *platform.Result) *Reply {
	if res.Status != platform.Invalid {
		return nil
	}
	return &Reply{Status: Rejected, Detail: "the platform refused the request: " + res.Err}
}

// finish removes a request and sends its reply.
func (p *Publisher) finish(i int, reply *Reply, out *Effects) {
	reply.Request = p.requests[i].id
	p.requests = slices.Delete(p.requests, i, i+1)
	out.Replies = append(out.Replies, *reply)
}

// Tick retries the requests whose backoff has ended and replies to those whose
// deadline has passed.
func (p *Publisher) Tick(now mesh.Time, out *Effects) {
	for i := 0; i < len(p.requests); {
		r := p.requests[i]
		if now >= r.deadline {
			p.finish(i, expiredReply(r), out)
			continue
		}
		if r.pendingID == 0 && now >= r.retryAt {
			p.send(now, r, out)
		}
		i++
	}
}

// expiredReply returns the reply to a request whose deadline has passed.
func expiredReply(r *request) *Reply {
	const detail = "the platform did not answer before the deadline"
	if r.flow.writeMayTakeEffect() {
		return &Reply{Status: Unsettled, Detail: detail}
	}
	return &Reply{Status: Unavailable, Detail: detail}
}
