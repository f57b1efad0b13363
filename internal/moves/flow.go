package moves

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// flushInterval is the time between two messages with evidence to one peer.
	flushInterval = 200 * time.Millisecond
	// urgentInterval replaces it after a call to the new version went wrong.
	urgentInterval = 50 * time.Millisecond
	// idleInterval replaces it while no call to the new version is counted: calls
	// to the old version alone show no fault, and at small shares they were 97%
	// of the messages with evidence. With 1 s the mean share of calls that reach a
	// bad version rose on both measured lists of 240 moves.
	idleInterval = 400 * time.Millisecond
	// repeatInterval is the time after which states and stops are sent again, in
	// case a message was lost.
	repeatInterval = time.Second
	// repeatTerminal is the time for which a terminal state is sent again.
	repeatTerminal = 10 * time.Minute
)

// flow is the state of the messages between peers.
type flow struct {
	flushed mesh.Time
	// sent is the time at which the pending evidence was last taken.
	sent     mesh.Time
	repeated mesh.Time
	sequence uint64
	// sequences holds the last message with evidence from each peer.
	sequences map[mesh.HostID]received
}

// received is the newest message with evidence from a peer.
type received struct {
	incarnation mesh.Incarnation
	sequence    uint64
}

// top reports whether the node is the top of its failure domain.
func (r *Reducer) top() bool { return r.links.Parent == "" }

// SetLinks replaces the node's place in the tree. The Reducer keeps no slice of
// the caller's. After a change all states are sent again with the next tick;
// unchanged links may be set at any rate.
func (r *Reducer) SetLinks(links Links) {
	if r.links.equal(&links) {
		return
	}
	r.links = Links{
		Parent: links.Parent, Children: slices.Clone(links.Children), Roots: slices.Clone(links.Roots), Reader: links.Reader,
	}
	r.flow.repeated = 0
}

func (l *Links) equal(other *Links) bool {
	return l.Parent == other.Parent && l.Reader == other.Reader &&
		slices.Equal(l.Children, other.Children) && slices.Equal(l.Roots, other.Roots)
}

// flush sends evidence up the tree or, on a top node, judges it together with
// that of the other domains and exchanges it with them.
func (r *Reducer) flush(now mesh.Time, out *Effects) {
	interval := flushInterval
	for _, f := range r.moves {
		if f.urgent {
			interval = urgentInterval
		}
	}
	if due(&r.flow.flushed, now, interval) {
		r.sendEvidence(now, out)
		for _, f := range r.moves {
			f.urgent = false
		}
	}
	if due(&r.flow.repeated, now, repeatInterval) {
		r.repeat(now, out)
	}
}

// sendEvidence sends the pending evidence. Receivers keep the slice, so each
// flush with evidence uses a new one.
func (r *Reducer) sendEvidence(now mesh.Time, out *Effects) {
	var reports []Report
	if r.pending.countsNew() || now.Sub(r.flow.sent) >= idleInterval {
		r.flow.sent = now
		reports = r.pending.take(nil)
	}
	if r.top() {
		r.collect(now, reports)
		r.judge(now, out)
	}
	if len(reports) == 0 {
		return
	}
	r.flow.sequence++
	m := r.message()
	m.Sequence, m.Evidence = r.flow.sequence, reports
	if !r.top() {
		out.Sends = append(out.Sends, Send{To: r.links.Parent, Message: m})
		return
	}
	for _, peer := range r.links.Roots {
		out.Sends = append(out.Sends, Send{To: peer, Message: m})
	}
}

// message returns a message without content.
func (r *Reducer) message() Message {
	return Message{Incarnation: r.cfg.Incarnation, Domain: r.cfg.Domain}
}

// collect adds evidence to the moves' judges.
func (r *Reducer) collect(now mesh.Time, reports []Report) {
	for i := range reports {
		f := r.move(reports[i].Move)
		if f == nil || f.state.State != Running {
			continue
		}
		f.judgeAt(now).add(now, &reports[i])
		f.urgent = f.urgent || wrong(&reports[i].Sides[NewSide])
	}
}

// judge evaluates the evidence and stops faulty versions.
func (r *Reducer) judge(now mesh.Time, out *Effects) {
	for _, f := range r.moves {
		if f.state.State != Running || f.stop.Cause != CauseNone {
			continue
		}
		j := f.judgeAt(now)
		j.evaluate(now, false)
		if j.faulty() {
			r.stop(f, Stop{Move: f.state.ID, Step: f.state.Step, Cause: j.worst.cause, Route: j.worst.route}, out)
		}
	}
}

// judgeAt returns the move's judge, created on first use.
func (f *follow) judgeAt(now mesh.Time) *judge {
	if f.judge == nil {
		f.judge = newJudge(now, f.state.Deadline.Sub(f.state.Started))
	}
	return f.judge
}

// stop takes all calls from the new version on this node and passes the order
// on. The first stop of a move is kept.
func (r *Reducer) stop(f *follow, s Stop, out *Effects) {
	if f.stop.Cause != CauseNone || f.state.State.Terminal() {
		return
	}
	f.stop = s
	out.Events = append(out.Events, Event{
		Kind: EventStopped, Move: s.Move, State: f.state.State, Step: s.Step, Cause: s.Cause, Route: s.Route,
	})
	m := r.message()
	m.Stops = []Stop{s}
	r.broadcast(m, out)
}

// broadcast sends a message to the children and, from a top node, to the other
// top nodes.
func (r *Reducer) broadcast(m Message, out *Effects) {
	for _, peer := range r.links.Children {
		out.Sends = append(out.Sends, Send{To: peer, Message: m})
	}
	if r.top() {
		for _, peer := range r.links.Roots {
			out.Sends = append(out.Sends, Send{To: peer, Message: m})
		}
	}
}

// sendState passes a state on.
func (r *Reducer) sendState(s *MoveState, out *Effects) {
	m := r.message()
	m.States = []MoveState{*s}
	r.broadcast(m, out)
}

// repeat sends all recent states and stops again.
func (r *Reducer) repeat(now mesh.Time, out *Effects) {
	m := r.message()
	for _, f := range r.moves {
		if f.state.Step == 0 {
			continue
		}
		if !f.state.State.Terminal() || now.Sub(f.state.Since) < repeatTerminal {
			m.States = append(m.States, f.state)
		}
		if f.stop.Cause != CauseNone && !f.state.State.Terminal() {
			m.Stops = append(m.Stops, f.stop)
		}
	}
	if len(m.States)+len(m.Stops) > 0 {
		r.broadcast(m, out)
	}
}

// Message applies a message from a peer. Fields outside their valid range make
// the affected entry be ignored.
func (r *Reducer) Message(now mesh.Time, from mesh.HostID, m *Message, out *Effects) {
	for i := range m.States {
		if valid(&m.States[i]) {
			r.applyState(now, &m.States[i], out)
		}
	}
	for _, s := range m.Stops {
		if f := r.move(s.Move); f != nil && s.Cause != CauseNone {
			r.stop(f, s, out)
		}
	}
	if len(m.Evidence) > 0 && r.newer(from, m) {
		r.receiveEvidence(now, from, m)
	}
}

// newer reports whether evidence from a peer has not been received before.
func (r *Reducer) newer(from mesh.HostID, m *Message) bool {
	last := r.flow.sequences[from]
	if m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Sequence <= last.sequence {
		return false
	}
	r.flow.sequences[from] = received{incarnation: m.Incarnation, sequence: m.Sequence}
	return true
}

// receiveEvidence adds a child's evidence to the node's own, or judges that of
// another domain. Evidence on unknown or ended moves is dropped.
func (r *Reducer) receiveEvidence(now mesh.Time, from mesh.HostID, m *Message) {
	if m.Domain != r.cfg.Domain {
		if r.top() {
			r.collect(now, m.Evidence)
		}
		return
	}
	if !slices.Contains(r.links.Children, from) {
		return
	}
	for i := range m.Evidence {
		f := r.move(m.Evidence[i].Move)
		if f == nil || f.state.State != Running {
			continue
		}
		r.pending.add(&m.Evidence[i])
		f.urgent = f.urgent || wrong(&m.Evidence[i].Sides[NewSide])
	}
}

// wrong reports whether any counted call went wrong.
func wrong(c *Counts) bool { return c.Failed+c.Lost+c.Crashes > 0 }

// valid reports whether a state from a peer or the platform can be applied.
func valid(s *MoveState) bool {
	return s.ID != "" && s.Step > 0 && s.State >= Running && s.State <= Withdrawn &&
		s.Share <= FullShare && s.From != s.To && s.Level <= levelFinal
}
