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

// flight is an operation on its way to the platform or back.
type flight struct {
	from *Publisher
	op   platform.Request
	// unread holds the keys of a read that were not read yet. Reads are not
	// atomic in this model, which is weaker than the platform.
	unread []string
	rows   []platform.Row
	// lost is set if the sender was already told that no answer came.
	lost bool
}

// send is one send of an operation by an operator.
type send struct {
	ev    *Apply
	reply *Reply
}

// world runs several publishers against one store in a drawn order.
type world struct {
	t          *rapid.T
	now        mesh.Time
	store      *memstore.Store
	publishers []*Publisher
	flights    []*flight
	sends      map[RequestID]*send
	history    map[string]platform.Row
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, store: memstore.New(), sends: map[RequestID]*send{}, history: map[string]platform.Row{}}
	for range rapid.IntRange(2, 4).Draw(t, "publishers") {
		w.publishers = append(w.publishers, New())
	}
	return w
}

// collect takes the effects of a step of p.
func (w *world) collect(p *Publisher, out *Effects) {
	for _, op := range out.Platform {
		w.flights = append(w.flights, &flight{from: p, op: op, unread: slices.Clone(op.Keys)})
	}
	for _, reply := range out.Replies {
		s := w.sends[reply.Request]
		if s.reply != nil {
			w.t.Fatalf("request %d has two replies", reply.Request)
		}
		s.reply = &reply
	}
}

func (w *world) apply(p *Publisher, operation int, base mesh.ConfigVersion) {
	ev := applyOf(OperationID(fmt.Sprint("op", operation)), base, uint32(operation))
	ev.Request, ev.Deadline = RequestID(len(w.sends)+1), w.now.Add(10*time.Second)
	w.sends[ev.Request] = &send{ev: ev}
	var out Effects
	p.Apply(w.now, ev, &out)
	w.collect(p, &out)
}

func (w *world) head() platform.Head {
	res := w.store.Execute(&platform.Request{Op: platform.OpRead, Keys: []string{platform.HeadKey}})
	if len(res.Rows) == 0 {
		return platform.Head{}
	}
	return decode[platform.Head](res.Rows[0])
}

// advance moves one operation forward: one key of a read, or the whole of
// another operation. It returns the result once there is one.
func (w *world) advance(f *flight) (platform.Result, bool) {
	if f.op.Op != platform.OpRead {
		res := w.store.Execute(&f.op)
		w.checkRows()
		return res, true
	}
	i := rapid.IntRange(0, len(f.unread)-1).Draw(w.t, "key")
	res := w.store.Execute(&platform.Request{Op: platform.OpRead, Keys: f.unread[i : i+1]})
	f.rows = append(f.rows, res.Rows...)
	f.unread = slices.Delete(f.unread, i, i+1)
	return platform.Result{ID: f.op.ID, Op: f.op.Op, Status: platform.OK, Rows: f.rows}, len(f.unread) == 0
}

func (w *world) deliver(f *flight, res platform.Result) {
	var out Effects
	f.from.PlatformResult(w.now, &res, &out)
	w.collect(f.from, &out)
}

func (w *world) tell(f *flight) {
	w.deliver(f, platform.Result{ID: f.op.ID, Op: f.op.Op, Status: platform.Unknown})
	f.lost = true
}

// step runs one drawn action.
func (w *world) step() {
	if len(w.flights) > 0 && rapid.IntRange(0, 9).Draw(w.t, "kind") < 7 {
		i := rapid.IntRange(0, len(w.flights)-1).Draw(w.t, "flight")
		w.stepFlight(i, rapid.SampledFrom([]string{"answer", "answer", "answer", "lose before", "lose after", "late"}).Draw(w.t, "fate"))
		return
	}
	p := rapid.IntRange(0, len(w.publishers)-1).Draw(w.t, "publisher")
	switch rapid.SampledFrom([]string{"apply", "apply", "resend", "rebase", "tick", "tick", "crash"}).Draw(w.t, "action") {
	case "apply":
		w.apply(w.publishers[p], len(w.sends), w.head().Version)
	case "resend":
		if ev := w.drawSend(); ev != nil {
			w.apply(w.publishers[p], int(ev.Snapshot.Services[0].KeepReadySeconds), ev.Base)
		}
	case "rebase":
		if ev := w.drawSend(); ev != nil {
			ahead := mesh.ConfigVersion(rapid.IntRange(0, 1).Draw(w.t, "ahead"))
			w.apply(w.publishers[p], int(ev.Snapshot.Services[0].KeepReadySeconds), w.head().Version+ahead)
		}
	case "tick":
		w.now = w.now.Add(rapid.SampledFrom([]time.Duration{firstRetry, maxRetry}).Draw(w.t, "wait"))
		var out Effects
		w.publishers[p].Tick(w.now, &out)
		w.collect(w.publishers[p], &out)
	case "crash":
		w.publishers[p] = New()
	}
}

// drawSend returns an earlier send, or nil if there is none.
func (w *world) drawSend() *Apply {
	if len(w.sends) == 0 {
		return nil
	}
	return w.sends[RequestID(rapid.IntRange(1, len(w.sends)).Draw(w.t, "send"))].ev
}

// stepFlight advances one operation. A late one is reported as lost at once
// and takes effect at some later step.
func (w *world) stepFlight(i int, fate string) {
	f := w.flights[i]
	if fate == "late" {
		if !f.lost {
			w.tell(f)
		}
		return
	}
	if fate == "lose before" && f.op.Op != platform.OpRead {
		w.flights = slices.Delete(w.flights, i, i+1)
		if !f.lost {
			w.tell(f)
		}
		return
	}
	res, done := w.advance(f)
	if !done {
		return
	}
	w.flights = slices.Delete(w.flights, i, i+1)
	switch {
	case f.lost:
	case fate == "lose after":
		w.tell(f)
	default:
		w.deliver(f, res)
	}
}

// checkRows checks that history rows are created in order, once, and never
// changed, and that the head is the newest of them.
func (w *world) checkRows() {
	tb := table{store: w.store}
	rows := tb.rows("history/")
	for key, before := range w.history {
		if now := rows[key]; string(now.Value) != string(before.Value) || now.Revision != 1 {
			w.t.Fatalf("%s changed from %s to %s", key, before.Value, now.Value)
		}
	}
	w.history = rows
	head := w.head()
	if int(head.Version) != len(rows) {
		w.t.Fatalf("head is %s with %d history rows", head.Version, len(rows))
	}
	if len(rows) > 0 {
		newest := decode[platform.History](rows[platform.HistoryKey(head.Version)])
		if newest.Writer != head.Writer || newest.Hash != head.Hash {
			w.t.Fatalf("head %+v differs from its history row %+v", head, newest)
		}
	}
}

// settle lets every operation in progress end without faults and then sends
// each operation again.
func (w *world) settle() {
	operations := len(w.sends)
	w.checkUnavailable()
	for request := 1; request <= operations; request++ {
		ev := w.sends[RequestID(request)].ev
		w.apply(w.publishers[0], int(ev.Snapshot.Services[0].KeepReadySeconds), ev.Base)
		for len(w.flights) > 0 {
			w.stepFlight(0, "answer")
		}
	}
}

// checkUnavailable checks that an operation was not accepted if all its sends
// were replied to as unavailable.
func (w *world) checkUnavailable() {
	mayHaveRun := map[string]bool{}
	for _, s := range w.sends {
		if s.reply == nil || s.reply.Status != Unavailable {
			mayHaveRun[string(s.ev.Operation)] = true
		}
	}
	for _, row := range w.history {
		if writer := decode[platform.History](row).Writer; !mayHaveRun[writer] {
			w.t.Fatalf("operation %s was accepted and reported as unavailable", writer)
		}
	}
}

// checkReplies compares each reply with the history.
func (w *world) checkReplies() {
	accepted := map[string]platform.History{}
	for _, row := range w.history {
		history := decode[platform.History](row)
		if first, ok := accepted[history.Writer]; ok {
			w.t.Fatalf("operation %s created %s and %s", history.Writer, first.Version, history.Version)
		}
		accepted[history.Writer] = history
	}
	for request, s := range w.sends {
		if s.reply == nil {
			continue // the node crashed or the deadline has not come
		}
		history, ok := accepted[string(s.ev.Operation)]
		done := s.reply.Status == Done
		if done && (!ok || history.Version != s.reply.Version || history.Hash != string(s.reply.Hash)) {
			w.t.Fatalf("request %d of %s is done as %s, history has %+v", request, s.ev.Operation, s.reply.Version, history)
		}
		// A send whose base does not exist yet may be accepted when it is sent
		// again. Once the head is past the base it never may.
		passed := s.reply.Status == Conflict && s.reply.Version > s.ev.Base
		if passed && ok && history.Version == s.ev.Base+1 {
			w.t.Fatalf("request %d of %s is a conflict and was accepted as %s", request, s.ev.Operation, history.Version)
		}
		if s.reply.Status == Rejected || s.reply.Status == Failed {
			w.t.Fatalf("request %d of %s: %s", request, s.ev.Operation, s.reply.Detail)
		}
	}
}

// Guards against a version number with two meanings, an accepted operation
// that is lost or accepted twice, and a conflict reported for an accepted
// operation, with several publishers, lost and late answers, crashes and
// resends in any order (guarantees G1 and G10).
func TestInterleavedPublishers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(20, 120).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		w.checkReplies()
	})
}
