package publish

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// MaxRequests is the largest number of requests in progress in one node.
	MaxRequests = 64

	// firstRetry and maxRetry bound the wait before an operation without an
	// answer is repeated. The wait doubles with each missing answer.
	firstRetry = 100 * time.Millisecond
	maxRetry   = 2 * time.Second
)

// flow is the course of one kind of request. Its next platform operation
// follows from its state, so an operation whose answer was lost is followed by
// a read that settles what happened.
type flow interface {
	// next returns the platform operation of the current state.
	next(now mesh.Time) platform.Request
	// answered takes an answer other than Unknown and Invalid. It returns nil
	// if the request is not finished.
	answered(res *platform.Result) *Reply
	// unanswered notes that no answer came.
	unanswered()
	// mayHaveWritten reports whether a write may yet take effect.
	mayHaveWritten() bool
}

// request is one request in progress.
type request struct {
	id       RequestID
	deadline mesh.Time
	flow     flow
	// awaited is the ID of the platform operation in progress, or zero if the
	// next one starts at retryAt.
	awaited uint64
	retryAt mesh.Time
	wait    time.Duration
}

// Publisher is the reducer of one node. It keeps only requests in progress.
type Publisher struct {
	lastID uint64
	// requests holds the requests in progress in the order of their start.
	requests []*request
}

// New returns a Publisher without requests.
func New() *Publisher { return &Publisher{} }

// Apply starts the publication of a snapshot.
func (p *Publisher) Apply(now mesh.Time, ev *Apply, out *Effects) {
	f, refusal := newApplyFlow(ev)
	p.start(now, ev.Request, ev.Deadline, f, refusal, out)
}

// ReadHistory starts a read of the history.
func (p *Publisher) ReadHistory(now mesh.Time, ev *ReadHistory, out *Effects) {
	f, refusal := newHistoryFlow(ev)
	p.start(now, ev.Request, ev.Deadline, f, refusal, out)
}

// start begins a request, or replies at once to one that is refused.
func (p *Publisher) start(now mesh.Time, id RequestID, deadline mesh.Time, f flow, refusal *Reply, out *Effects) {
	if refusal == nil && len(p.requests) >= MaxRequests {
		refusal = &Reply{Status: Unavailable, Detail: "too many requests in progress"}
	}
	if refusal != nil {
		refusal.Request = id
		out.Replies = append(out.Replies, *refusal)
		return
	}
	r := &request{id: id, deadline: deadline, flow: f, wait: firstRetry}
	p.requests = append(p.requests, r)
	p.send(now, r, out)
}

func (p *Publisher) send(now mesh.Time, r *request, out *Effects) {
	p.lastID++
	op := r.flow.next(now)
	op.ID = p.lastID
	r.awaited = p.lastID
	out.Platform = append(out.Platform, op)
}

// PlatformResult continues the request that res belongs to. A result of a
// request that has already been replied to is ignored.
func (p *Publisher) PlatformResult(now mesh.Time, res *platform.Result, out *Effects) {
	i := slices.IndexFunc(p.requests, func(r *request) bool { return r.awaited == res.ID && res.ID != 0 })
	if i < 0 {
		return
	}
	r := p.requests[i]
	r.awaited = 0
	if res.Status == platform.Unknown {
		r.flow.unanswered()
		r.retryAt = now.Add(r.wait)
		r.wait = min(2*r.wait, maxRetry)
		return
	}
	r.wait = firstRetry
	reply := refusedReply(res)
	if reply == nil {
		reply = r.flow.answered(res)
	}
	if reply == nil {
		p.send(now, r, out)
		return
	}
	if r.flow.mayHaveWritten() && (reply.Status == Failed || res.Status == platform.Invalid) {
		reply.Status = Unsettled
	}
	p.finish(i, reply, out)
}

// refusedReply returns the reply to an operation that the platform refused.
func refusedReply(res *platform.Result) *Reply {
	if res.Status != platform.Invalid {
		return nil
	}
	return &Reply{Status: Rejected, Detail: "the platform refused the request: " + res.Err}
}

func (p *Publisher) finish(i int, reply *Reply, out *Effects) {
	reply.Request = p.requests[i].id
	p.requests = slices.Delete(p.requests, i, i+1)
	out.Replies = append(out.Replies, *reply)
}

// Tick repeats operations whose retry is due and replies to requests past
// their deadline.
func (p *Publisher) Tick(now mesh.Time, out *Effects) {
	for i := 0; i < len(p.requests); {
		r := p.requests[i]
		if now >= r.deadline {
			p.finish(i, expiredReply(r), out)
			continue
		}
		if r.awaited == 0 && now >= r.retryAt {
			p.send(now, r, out)
		}
		i++
	}
}

func expiredReply(r *request) *Reply {
	const detail = "the platform did not answer before the deadline"
	if r.flow.mayHaveWritten() {
		return &Reply{Status: Unsettled, Detail: detail}
	}
	return &Reply{Status: Unavailable, Detail: detail}
}
