package moves

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Config identifies the node that owns a Reducer.
type Config struct {
	Host        mesh.HostID
	Domain      mesh.FailureDomain
	Incarnation mesh.Incarnation
}

// Reducer holds the state of all moves on one node.
type Reducer struct {
	cfg   Config
	links Links
	// moves is ordered by ID. services maps each service to the move that decides
	// on the version of its calls, which is the one started last.
	moves    []*followedMove
	services map[mesh.Service]*followedMove
	evidence evidenceBuffer
	exchange exchangeState
	platform platformState
}

// New returns a Reducer without moves.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:      cfg,
		services: map[mesh.Service]*followedMove{},
		exchange: exchangeState{received: map[mesh.HostID]receivedSequence{}},
		platform: platformState{pending: map[uint64]operation{}},
	}
}

// Choose returns the version for a call of a service on a route. The caller
// passes a random draw that is uniform over all uint64 values. Choose does not
// allocate.
func (r *Reducer) Choose(service mesh.Service, route mesh.Route, draw uint64) Choice {
	f := r.services[service]
	if f == nil {
		return Choice{}
	}
	return Choice{Version: f.chooseVersion(route, draw), Moving: true}
}

// Record counts the result of a call. It does not allocate after the first call
// of a route and class.
func (r *Reducer) Record(now mesh.Time, call *CallResult) {
	f := r.services[call.Service]
	if f == nil || f.state.State != Running || call.Outcome == mesh.NotRun {
		return
	}
	side, ok := f.sideOf(call.Version)
	if !ok {
		return
	}
	f.countCall(now, &r.evidence.entry(f.state.ID, call.Route, call.Class).Sides[side], call)
	if call.Crashed {
		f.urgent = true
		return
	}
	bad := call.Failed || call.Outcome != mesh.Answered
	f.urgent = f.urgent || bad && side == NewSide
	if f.pauseCounter(call.Route).add(now, side, bad) {
		f.paused = f.state.Step
	}
}

// Tick runs the timers. The node calls it at least every 100 ms.
func (r *Reducer) Tick(now mesh.Time, out *Effects) {
	r.reportPauses(out)
	r.flushMessages(now, out)
	r.driveMoves(now, out)
}

// find returns the index of a move in moves, or where to insert it, and whether
// the move is known.
func (r *Reducer) find(id mesh.MoveID) (int, bool) {
	return slices.BinarySearchFunc(r.moves, id, func(f *followedMove, id mesh.MoveID) int {
		switch {
		case f.state.ID < id:
			return -1
		case f.state.ID > id:
			return 1
		}
		return 0
	})
}

// move returns a known move or nil.
func (r *Reducer) move(id mesh.MoveID) *followedMove {
	if i, ok := r.find(id); ok {
		return r.moves[i]
	}
	return nil
}

// applyState applies a state if it is newer than the known one and forwards it
// to the children and other root nodes.
func (r *Reducer) applyState(now mesh.Time, s *MoveState, out *Effects) {
	i, known := r.find(s.ID)
	if !known {
		r.moves = slices.Insert(r.moves, i, &followedMove{state: MoveState{ID: s.ID}})
	}
	f := r.moves[i]
	level := f.state.Level
	if !f.apply(s) {
		return
	}
	r.assignService(f)
	if f.judge != nil {
		f.judge.closeGroups(now, s.Level != level)
	}
	if s.State.Terminal() {
		r.evidence.removeMove(s.ID)
		f.judge = nil
	}
	out.Events = append(out.Events, Event{
		Kind: EventStep, Move: s.ID, State: s.State, Step: s.Step, Share: s.Share,
		Cause: s.Cause, Route: s.CauseRoute,
	})
	r.sendState(&f.state, out)
}

// assignService makes a move decide on the versions of its service's calls,
// unless a move of the service that was started later already does.
func (r *Reducer) assignService(f *followedMove) {
	current := r.services[f.state.Service]
	if current == nil || !startedAfter(&current.state, &f.state) {
		r.services[f.state.Service] = f
	}
}

// startedAfter reports whether move a was started after move b.
func startedAfter(a, b *MoveState) bool {
	if a.Started != b.Started {
		return a.Started > b.Started
	}
	return a.ID > b.ID
}

// State returns the newest known state of a move.
func (r *Reducer) State(id mesh.MoveID) (MoveState, bool) {
	if f := r.move(id); f != nil {
		return f.state, true
	}
	return MoveState{}, false
}

// States appends the newest known state of every move to dst, ordered by ID.
func (r *Reducer) States(dst []MoveState) []MoveState {
	for _, f := range r.moves {
		dst = append(dst, f.state)
	}
	return dst
}

// KeepReady reports whether a version of a service must stay ready at the
// given time: both versions of a running move, the old version of a withdrawn
// one, the new version of one that is done, and the old version for KeepOld
// after that.
func (r *Reducer) KeepReady(now mesh.Time, service mesh.Service, version mesh.BackendVersion) bool {
	f := r.services[service]
	if f == nil {
		return false
	}
	m := &f.state
	switch m.State {
	case Done:
		return version == m.To || version == m.From && now < m.Since.Add(m.KeepOld)
	case Withdrawn:
		return version == m.From
	}
	return version == m.From || version == m.To
}

// reportPauses emits one event for each pause of the new version on this node.
func (r *Reducer) reportPauses(out *Effects) {
	for _, f := range r.moves {
		if f.paused == f.state.Step && !f.pauseReported {
			out.Events = append(out.Events, Event{
				Kind: EventPaused, Move: f.state.ID, State: f.state.State, Step: f.state.Step,
			})
		}
		f.pauseReported = f.paused == f.state.Step
	}
}

// timerExpired reports whether the interval has passed since the time last, or
// last is zero, and if so sets last to now.
func timerExpired(last *mesh.Time, now mesh.Time, interval time.Duration) bool {
	if *last != 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}
