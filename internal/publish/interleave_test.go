package publish

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/platform/memstore"
)

// inFlightOp is a platform operation whose result has not been delivered.
type inFlightOp struct {
	from *Publisher
	op   platform.Request
	// unread holds the keys of a read that have not been read yet. Each key is
	// read at its own time, so reads are not atomic; this guarantee is weaker
	// than the platform's.
	unread []string
	rows   []platform.Row
	// reportedUnknown is set if the publisher has been given the status
	// Unknown.
	reportedUnknown bool
}

// submission is one sending of an operation by an operator. reply is nil until
// the publisher replies.
type submission struct {
	ev    *Apply
	reply *Reply
}

// simulation runs several publishers against one store and lets rapid choose
// the order of events. history holds the history rows after the last write.
type simulation struct {
	t           *rapid.T
	now         mesh.Time
	store       *memstore.Store
	publishers  []*Publisher
	inFlight    []*inFlightOp
	submissions map[RequestID]*submission
	history     map[string]platform.Row
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{t: t, now: testStart, store: memstore.New(), submissions: map[RequestID]*submission{}, history: map[string]platform.Row{}}
	for range rapid.IntRange(2, 4).Draw(t, "publishers") {
		sim.publishers = append(sim.publishers, New())
	}
	return sim
}

// takeEffects queues the platform operations of a step and records its
// replies.
func (sim *simulation) takeEffects(p *Publisher, out *Effects) {
	for _, op := range out.Platform {
		sim.inFlight = append(sim.inFlight, &inFlightOp{from: p, op: op, unread: slices.Clone(op.Keys)})
	}
	for _, reply := range out.Replies {
		s := sim.submissions[reply.Request]
		if s.reply != nil {
			sim.t.Fatalf("request %d has two replies", reply.Request)
		}
		s.reply = &reply
	}
}

// apply submits an operation. Its number determines the operation ID and the
// snapshot.
func (sim *simulation) apply(p *Publisher, operation int, base mesh.ConfigVersion) {
	ev := newApply(OperationID(fmt.Sprint("op", operation)), base, uint32(operation))
	ev.Request, ev.Deadline = RequestID(len(sim.submissions)+1), sim.now.Add(10*time.Second)
	sim.submissions[ev.Request] = &submission{ev: ev}
	var out Effects
	p.Apply(sim.now, ev, &out)
	sim.takeEffects(p, &out)
}

func (sim *simulation) head() platform.Head {
	res := sim.store.Execute(&platform.Request{Op: platform.OpRead, Keys: []string{platform.HeadKey}})
	if len(res.Rows) == 0 {
		return platform.Head{}
	}
	return decode[platform.Head](res.Rows[0])
}

// advance executes an operation, or one key of it if it is a read. The second
// result is true once the operation is complete.
func (sim *simulation) advance(f *inFlightOp) (platform.Result, bool) {
	if f.op.Op != platform.OpRead {
		res := sim.store.Execute(&f.op)
		sim.checkRows()
		return res, true
	}
	i := rapid.IntRange(0, len(f.unread)-1).Draw(sim.t, "key")
	res := sim.store.Execute(&platform.Request{Op: platform.OpRead, Keys: f.unread[i : i+1]})
	f.rows = append(f.rows, res.Rows...)
	f.unread = slices.Delete(f.unread, i, i+1)
	return platform.Result{ID: f.op.ID, Op: f.op.Op, Status: platform.OK, Rows: f.rows}, len(f.unread) == 0
}

func (sim *simulation) deliver(f *inFlightOp, res platform.Result) {
	var out Effects
	f.from.PlatformResult(sim.now, &res, &out)
	sim.takeEffects(f.from, &out)
}

// reportUnknown tells the publisher that no answer came.
func (sim *simulation) reportUnknown(f *inFlightOp) {
	sim.deliver(f, platform.Result{ID: f.op.ID, Op: f.op.Op, Status: platform.Unknown})
	f.reportedUnknown = true
}

// step performs one randomly chosen action.
func (sim *simulation) step() {
	if len(sim.inFlight) > 0 && rapid.IntRange(0, 9).Draw(sim.t, "kind") < 7 {
		i := rapid.IntRange(0, len(sim.inFlight)-1).Draw(sim.t, "in flight")
		sim.stepInFlight(i, rapid.SampledFrom([]string{"answer", "answer", "answer", "request lost", "answer lost", "late"}).Draw(sim.t, "outcome"))
		return
	}
	p := rapid.IntRange(0, len(sim.publishers)-1).Draw(sim.t, "publisher")
	switch rapid.SampledFrom([]string{"apply", "apply", "resend", "rebase", "tick", "tick", "crash"}).Draw(sim.t, "action") {
	case "apply":
		sim.apply(sim.publishers[p], len(sim.submissions), sim.head().Version)
	case "resend":
		if ev := sim.drawSubmission(); ev != nil {
			sim.apply(sim.publishers[p], int(ev.Snapshot.Services[0].KeepReadySeconds), ev.Base)
		}
	case "rebase":
		if ev := sim.drawSubmission(); ev != nil {
			ahead := mesh.ConfigVersion(rapid.IntRange(0, 1).Draw(sim.t, "ahead"))
			sim.apply(sim.publishers[p], int(ev.Snapshot.Services[0].KeepReadySeconds), sim.head().Version+ahead)
		}
	case "tick":
		sim.now = sim.now.Add(rapid.SampledFrom([]time.Duration{minBackoff, maxBackoff}).Draw(sim.t, "wait"))
		var out Effects
		sim.publishers[p].Tick(sim.now, &out)
		sim.takeEffects(sim.publishers[p], &out)
	case "crash":
		sim.publishers[p] = New()
	}
}

// drawSubmission returns the request of an earlier submission, or nil if there
// is none.
func (sim *simulation) drawSubmission() *Apply {
	if len(sim.submissions) == 0 {
		return nil
	}
	return sim.submissions[RequestID(rapid.IntRange(1, len(sim.submissions)).Draw(sim.t, "submission"))].ev
}

// stepInFlight advances one operation. With the outcome "late" the publisher
// is told at once that no answer came, and the operation takes effect in some
// later step.
func (sim *simulation) stepInFlight(i int, outcome string) {
	f := sim.inFlight[i]
	if outcome == "late" {
		if !f.reportedUnknown {
			sim.reportUnknown(f)
		}
		return
	}
	if outcome == "request lost" && f.op.Op != platform.OpRead {
		sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
		if !f.reportedUnknown {
			sim.reportUnknown(f)
		}
		return
	}
	res, done := sim.advance(f)
	if !done {
		return
	}
	sim.inFlight = slices.Delete(sim.inFlight, i, i+1)
	switch {
	case f.reportedUnknown:
	case outcome == "answer lost":
		sim.reportUnknown(f)
	default:
		sim.deliver(f, res)
	}
}

// checkRows checks that history rows are created once and in order and never
// change, and that the head is the newest of them.
func (sim *simulation) checkRows() {
	tb := fakeTable{store: sim.store}
	rows := tb.rows("history/")
	for key, before := range sim.history {
		if now := rows[key]; string(now.Value) != string(before.Value) || now.Revision != 1 {
			sim.t.Fatalf("%s changed from %s to %s", key, before.Value, now.Value)
		}
	}
	sim.history = rows
	head := sim.head()
	if int(head.Version) != len(rows) {
		sim.t.Fatalf("head is %s with %d history rows", head.Version, len(rows))
	}
	if len(rows) > 0 {
		newest := decode[platform.History](rows[platform.HistoryKey(head.Version)])
		if newest.Writer != head.Writer || newest.Hash != head.Hash {
			sim.t.Fatalf("head %+v differs from its history row %+v", head, newest)
		}
	}
}

// settle submits each operation again and completes all operations in flight
// without faults.
func (sim *simulation) settle() {
	operations := len(sim.submissions)
	sim.checkUnavailable()
	for request := 1; request <= operations; request++ {
		ev := sim.submissions[RequestID(request)].ev
		sim.apply(sim.publishers[0], int(ev.Snapshot.Services[0].KeepReadySeconds), ev.Base)
		for len(sim.inFlight) > 0 {
			sim.stepInFlight(0, "answer")
		}
	}
}

// checkUnavailable checks that no operation was accepted if all of its
// submissions were reported as unavailable.
func (sim *simulation) checkUnavailable() {
	mayBeAccepted := map[string]bool{}
	for _, s := range sim.submissions {
		if s.reply == nil || s.reply.Status != Unavailable {
			mayBeAccepted[string(s.ev.Operation)] = true
		}
	}
	for _, row := range sim.history {
		if writer := decode[platform.History](row).Writer; !mayBeAccepted[writer] {
			sim.t.Fatalf("operation %s was accepted and reported as unavailable", writer)
		}
	}
}

// checkReplies checks each reply against the history.
func (sim *simulation) checkReplies() {
	accepted := map[string]platform.History{}
	for _, row := range sim.history {
		history := decode[platform.History](row)
		if first, ok := accepted[history.Writer]; ok {
			sim.t.Fatalf("operation %s created %s and %s", history.Writer, first.Version, history.Version)
		}
		accepted[history.Writer] = history
	}
	for request, s := range sim.submissions {
		if s.reply == nil {
			continue // the node crashed or the deadline has not been reached
		}
		history, ok := accepted[string(s.ev.Operation)]
		done := s.reply.Status == Done
		if done && (!ok || history.Version != s.reply.Version || history.Hash != string(s.reply.Hash)) {
			sim.t.Fatalf("request %d of %s is done as %s, history has %+v", request, s.ev.Operation, s.reply.Version, history)
		}
		// An operation whose base does not exist yet may be accepted when it is
		// submitted again. Once the head is past the base it never can be.
		headPastBase := s.reply.Status == Conflict && s.reply.Version > s.ev.Base
		if headPastBase && ok && history.Version == s.ev.Base+1 {
			sim.t.Fatalf("request %d of %s is a conflict and was accepted as %s", request, s.ev.Operation, history.Version)
		}
		if s.reply.Status == Rejected || s.reply.Status == Failed {
			sim.t.Fatalf("request %d of %s: %s", request, s.ev.Operation, s.reply.Detail)
		}
	}
}

// Guards against a version number that names two contents, an accepted
// operation that is lost or accepted twice, and a conflict reported for an
// accepted operation (guarantees G1 and G10). Several publishers run with lost
// and late answers, crashes and repeated submissions in any order.
func TestInterleavedPublishers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			sim.step()
		}
		sim.settle()
		sim.checkReplies()
	})
}
