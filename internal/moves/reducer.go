package moves

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Config identifies the node that owns a Reducer.
type Config struct {
	Host        mesh.HostID
	Domain      mesh.FailureDomain
	Incarnation mesh.Incarnation
}

// Reducer is the moves' part of a node.
type Reducer struct {
	cfg Config
}

// New returns a Reducer without moves.
func New(cfg Config) *Reducer { return &Reducer{cfg: cfg} }

// SetLinks replaces the node's place in the tree. The Reducer keeps the slices.
func (r *Reducer) SetLinks(links Links) {}

// Choose returns the version for a call of a service on a route. The draw is
// uniform over all uint64 values and comes from the event's seed. It allocates
// nothing.
func (r *Reducer) Choose(service mesh.Service, route mesh.Route, draw uint64) Choice {
	return Choice{}
}

// Record counts the end of a call. It allocates nothing once the call's
// version, route and class have been seen.
func (r *Reducer) Record(now mesh.Time, call *CallResult) {}

// Tick advances timers; the node calls it at least every 100 ms.
func (r *Reducer) Tick(now mesh.Time, out *Effects) {}

// Message applies a message from a peer.
func (r *Reducer) Message(now mesh.Time, from mesh.HostID, m *Message, out *Effects) {}

// Platform applies the result of a platform request of this Reducer.
func (r *Reducer) Platform(now mesh.Time, result *platform.Result, out *Effects) {}

// Start begins a move for an operator. The Reply follows once the row is
// written or refused.
func (r *Reducer) Start(now mesh.Time, req *StartRequest, out *Effects) {}

// Withdraw withdraws a running move for an operator.
func (r *Reducer) Withdraw(now mesh.Time, req *WithdrawRequest, out *Effects) {}

// State returns the newest known state of a move.
func (r *Reducer) State(id mesh.MoveID) (MoveState, bool) { return MoveState{}, false }

// States appends the newest known state of every move to dst, ordered by ID.
func (r *Reducer) States(dst []MoveState) []MoveState { return dst }

// KeepReady reports whether a version of a service must stay ready at the
// given time, because it takes part in a running move or completed one lately.
func (r *Reducer) KeepReady(now mesh.Time, service mesh.Service, version mesh.BackendVersion) bool {
	return false
}
