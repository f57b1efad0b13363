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

// Reducer is the moves' part of a node.
type Reducer struct {
	cfg   Config
	links Links
	// moves is ordered by ID; services holds the move that governs each service.
	moves    []*follow
	services map[mesh.Service]*follow
	pending  ledger
	flow     flow
	platform platformState
}

// New returns a Reducer without moves.
func New(cfg Config) *Reducer {
	return &Reducer{
		cfg:      cfg,
		services: map[mesh.Service]*follow{},
		flow:     flow{sequences: map[mesh.HostID]received{}},
		platform: platformState{pending: map[uint64]operation{}},
	}
}

// Choose returns the version for a call of a service on a route. The draw is
// uniform over all uint64 values and comes from the event's seed. It allocates
// nothing.
func (r *Reducer) Choose(service mesh.Service, route mesh.Route, draw uint64) Choice {
	f := r.services[service]
	if f == nil {
		return Choice{}
	}
	return Choice{Version: f.version(route, draw), Moving: true}
}

// Record counts the end of a call. It allocates nothing once the call's
// version, route and class have been seen.
func (r *Reducer) Record(now mesh.Time, call *CallResult) {
	f := r.services[call.Service]
	if f == nil || f.state.State != Running || call.Outcome == mesh.NotRun {
		return
	}
	side, ok := f.side(call.Version)
	if !ok {
		return
	}
	f.count(now, &r.pending.at(f.state.ID, call.Route, call.Class).Sides[side], call)
	if call.Crashed {
		f.urgent = true
		return
	}
	bad := call.Failed || call.Outcome != mesh.Answered
	f.urgent = f.urgent || bad && side == NewSide
	if f.watch(call.Route).add(now, side, bad) {
		f.paused = f.state.Step
	}
}

// Tick advances timers; the node calls it at least every 100 ms.
func (r *Reducer) Tick(now mesh.Time, out *Effects) {
	r.reportPauses(out)
	r.flush(now, out)
	r.drive(now, out)
}

// find returns the position of a move and whether it is known.
func (r *Reducer) find(id mesh.MoveID) (int, bool) {
	return slices.BinarySearchFunc(r.moves, id, func(f *follow, id mesh.MoveID) int {
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
func (r *Reducer) move(id mesh.MoveID) *follow {
	if i, ok := r.find(id); ok {
		return r.moves[i]
	}
	return nil
}

// applyState takes over a newer state and passes it on.
func (r *Reducer) applyState(now mesh.Time, s *MoveState, out *Effects) {
	i, known := r.find(s.ID)
	if !known {
		r.moves = slices.Insert(r.moves, i, &follow{state: MoveState{ID: s.ID}})
	}
	f := r.moves[i]
	level := f.state.Level
	if !f.apply(s) {
		return
	}
	r.govern(f)
	if f.judge != nil {
		f.judge.step(now, s.Level != level)
	}
	if s.State.Terminal() {
		r.pending.drop(s.ID)
		f.judge = nil
	}
	out.Events = append(out.Events, Event{
		Kind: EventStep, Move: s.ID, State: s.State, Step: s.Step, Share: s.Share,
		Cause: s.Cause, Route: s.CauseRoute,
	})
	r.sendState(&f.state, out)
}

// govern makes a move decide on its service's calls, unless a later one does.
func (r *Reducer) govern(f *follow) {
	g := r.services[f.state.Service]
	if g == nil || !later(&g.state, &f.state) {
		r.services[f.state.Service] = f
	}
}

// later reports whether move a was started after move b.
func later(a, b *MoveState) bool {
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
// given time: both versions of a running move, the new version of a completed
// one, and the old version for the move's KeepOld after completion.
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

// reportPauses reports a pause of the new version on this node once.
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

// due reports whether a timer with the given interval has run out, and resets
// it if so.
func due(last *mesh.Time, now mesh.Time, interval time.Duration) bool {
	if *last != 0 && now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}
