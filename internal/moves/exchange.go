package moves

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// flushInterval is the time between two messages with evidence.
	flushInterval = 200 * time.Millisecond
	// urgentInterval replaces flushInterval while a move is marked urgent, which
	// is after a call to the new version failed or was lost or after a crash.
	urgentInterval = 50 * time.Millisecond
	// oldOnlyInterval replaces flushInterval while the unsent evidence holds no
	// call to the new version. Calls to the old version alone reveal no fault, and
	// at small shares 97% of the messages with evidence held only those. With an
	// interval of 1 s the mean share of calls that reach a bad version rose on
	// both measured lists of 240 moves.
	oldOnlyInterval = 400 * time.Millisecond
	// resendInterval is the interval at which states and stops are sent again, in
	// case a message was lost.
	resendInterval = time.Second
	// resendTerminalPeriod is how long a terminal state is resent after the move
	// ended.
	resendTerminalPeriod = 10 * time.Minute
)

// exchangeState is the state of the message exchange with peers.
type exchangeState struct {
	lastFlush mesh.Time
	// lastDrain is the time at which the evidence buffer was last drained.
	lastDrain    mesh.Time
	lastResend   mesh.Time
	lastSequence uint64 // sequence of the last message with evidence that this node sent
	// received holds the sequence of the last evidence from each peer.
	received map[mesh.HostID]receivedSequence
}

// receivedSequence identifies the newest message with evidence from a peer.
type receivedSequence struct {
	incarnation mesh.Incarnation
	sequence    uint64
}

// isRoot reports whether the node is the root of its failure domain's tree.
func (r *Reducer) isRoot() bool { return r.links.Parent == "" }

// SetLinks replaces the node's links in the distribution tree. The Reducer
// copies the slices. After a change, the next tick resends all states. Setting
// equal links again has no effect.
func (r *Reducer) SetLinks(links Links) {
	if r.links.equal(&links) {
		return
	}
	r.links = Links{
		Parent: links.Parent, Children: slices.Clone(links.Children), Roots: slices.Clone(links.Roots), Reader: links.Reader,
	}
	r.exchange.lastResend = 0
}

func (l *Links) equal(other *Links) bool {
	return l.Parent == other.Parent && l.Reader == other.Reader &&
		slices.Equal(l.Children, other.Children) && slices.Equal(l.Roots, other.Roots)
}

// flushMessages sends the evidence and resends states and stops when their
// timers expire.
func (r *Reducer) flushMessages(now mesh.Time, out *Effects) {
	interval := flushInterval
	for _, f := range r.moves {
		if f.urgent {
			interval = urgentInterval
		}
	}
	if timerExpired(&r.exchange.lastFlush, now, interval) {
		r.sendEvidence(now, out)
		for _, f := range r.moves {
			f.urgent = false
		}
	}
	if timerExpired(&r.exchange.lastResend, now, resendInterval) {
		r.resend(now, out)
	}
}

// sendEvidence sends the buffered evidence to the parent. A root node adds it to
// its judges, evaluates them and sends it to the other root nodes. The messages
// keep the slice of reports, so each flush with evidence uses a new one.
func (r *Reducer) sendEvidence(now mesh.Time, out *Effects) {
	var reports []Report
	if r.evidence.hasNewCalls() || now.Sub(r.exchange.lastDrain) >= oldOnlyInterval {
		r.exchange.lastDrain = now
		reports = r.evidence.drain(nil)
	}
	if r.isRoot() {
		r.addToJudges(now, reports)
		r.judgeMoves(now, out)
	}
	if len(reports) == 0 {
		return
	}
	r.exchange.lastSequence++
	message := r.newMessage()
	message.Sequence, message.Evidence = r.exchange.lastSequence, reports
	if !r.isRoot() {
		out.Sends = append(out.Sends, Send{To: r.links.Parent, Message: message})
		return
	}
	for _, peer := range r.links.Roots {
		out.Sends = append(out.Sends, Send{To: peer, Message: message})
	}
}

// newMessage returns a message without states, evidence and stops.
func (r *Reducer) newMessage() Message {
	return Message{Incarnation: r.cfg.Incarnation, Domain: r.cfg.Domain}
}

// addToJudges adds evidence to the judges of the running moves.
func (r *Reducer) addToJudges(now mesh.Time, reports []Report) {
	for i := range reports {
		f := r.move(reports[i].Move)
		if f == nil || f.state.State != Running {
			continue
		}
		f.ensureJudge(now).add(now, &reports[i])
		f.urgent = f.urgent || hasFailures(&reports[i].Sides[NewSide])
	}
}

// judgeMoves evaluates the evidence of all running moves and stops the faulty
// new versions.
func (r *Reducer) judgeMoves(now mesh.Time, out *Effects) {
	for _, f := range r.moves {
		if f.state.State != Running || f.stop.Cause != CauseNone {
			continue
		}
		j := f.ensureJudge(now)
		j.evaluate(now, false)
		if j.faulty() {
			r.stopMove(f, Stop{Move: f.state.ID, Step: f.state.Step, Cause: j.strongest.cause, Route: j.strongest.route}, out)
		}
	}
}

// ensureJudge returns the move's judge, which it creates on first use.
func (f *followedMove) ensureJudge(now mesh.Time) *judge {
	if f.judge == nil {
		f.judge = newJudge(now, f.state.Deadline.Sub(f.state.Started))
	}
	return f.judge
}

// stopMove makes this node stop using the new version and forwards the stop. It
// ignores later stops of the same move.
func (r *Reducer) stopMove(f *followedMove, s Stop, out *Effects) {
	if f.stop.Cause != CauseNone || f.state.State.Terminal() {
		return
	}
	f.stop = s
	out.Events = append(out.Events, Event{
		Kind: EventStopped, Move: s.Move, State: f.state.State, Step: s.Step, Cause: s.Cause, Route: s.Route,
	})
	message := r.newMessage()
	message.Stops = []Stop{s}
	r.broadcast(message, out)
}

// broadcast sends a message to the children and, from a root node, to the other
// root nodes.
func (r *Reducer) broadcast(m Message, out *Effects) {
	for _, peer := range r.links.Children {
		out.Sends = append(out.Sends, Send{To: peer, Message: m})
	}
	if r.isRoot() {
		for _, peer := range r.links.Roots {
			out.Sends = append(out.Sends, Send{To: peer, Message: m})
		}
	}
}

// sendState forwards a move state.
func (r *Reducer) sendState(s *MoveState, out *Effects) {
	message := r.newMessage()
	message.States = []MoveState{*s}
	r.broadcast(message, out)
}

// resend broadcasts the states of all running and recently ended moves and the
// stops of running moves.
func (r *Reducer) resend(now mesh.Time, out *Effects) {
	message := r.newMessage()
	for _, f := range r.moves {
		if f.state.Step == 0 {
			continue
		}
		if !f.state.State.Terminal() || now.Sub(f.state.Since) < resendTerminalPeriod {
			message.States = append(message.States, f.state)
		}
		if f.stop.Cause != CauseNone && !f.state.State.Terminal() {
			message.Stops = append(message.Stops, f.stop)
		}
	}
	if len(message.States)+len(message.Stops) > 0 {
		r.broadcast(message, out)
	}
}

// Message applies a message from a peer. It ignores states with fields out of
// range and stops without a cause.
func (r *Reducer) Message(now mesh.Time, from mesh.HostID, m *Message, out *Effects) {
	for i := range m.States {
		if validState(&m.States[i]) {
			r.applyState(now, &m.States[i], out)
		}
	}
	for _, s := range m.Stops {
		if f := r.move(s.Move); f != nil && s.Cause != CauseNone {
			r.stopMove(f, s, out)
		}
	}
	if len(m.Evidence) > 0 && r.acceptSequence(from, m) {
		r.receiveEvidence(now, from, m)
	}
}

// acceptSequence reports whether a message with evidence is newer than all
// earlier ones from the peer, and if so remembers its sequence.
func (r *Reducer) acceptSequence(from mesh.HostID, m *Message) bool {
	last := r.exchange.received[from]
	if m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && m.Sequence <= last.sequence {
		return false
	}
	r.exchange.received[from] = receivedSequence{incarnation: m.Incarnation, sequence: m.Sequence}
	return true
}

// receiveEvidence adds a child's evidence to the node's own and, on a root node,
// adds the evidence of another domain to the judges. It drops evidence on
// unknown or ended moves and evidence from a host that is not a child.
func (r *Reducer) receiveEvidence(now mesh.Time, from mesh.HostID, m *Message) {
	if m.Domain != r.cfg.Domain {
		if r.isRoot() {
			r.addToJudges(now, m.Evidence)
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
		r.evidence.add(&m.Evidence[i])
		f.urgent = f.urgent || hasFailures(&m.Evidence[i].Sides[NewSide])
	}
}

// hasFailures reports whether c counts a failed or lost call or a crash.
func hasFailures(c *Counts) bool { return c.Failed+c.Lost+c.Crashes > 0 }

// validState reports whether a state from a peer or the platform can be applied.
func validState(s *MoveState) bool {
	return s.ID != "" && s.Step > 0 && s.State >= Running && s.State <= Withdrawn &&
		s.Share <= FullShare && s.From != s.To && s.Level <= levelFinal
}
