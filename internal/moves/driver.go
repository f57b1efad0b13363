package moves

import (
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// leaseTime is the time after which a lease that was not renewed is taken.
	leaseTime = 3 * time.Second
	// renewInterval is the time between renewals of a held lease.
	renewInterval = time.Second
	// pollInterval is the time between reads of the move rows by a reader.
	pollInterval = 500 * time.Millisecond
	// retryInterval is the time after a write without an answer or a conflict
	// before the rows are read to settle it.
	retryInterval = 100 * time.Millisecond
	// outageInterval replaces it after a read without an answer.
	outageInterval = 500 * time.Millisecond
)

// drive is what a reader knows of a move's rows.
type drive struct {
	row       platform.Revision // revision of the move row
	lease     Lease
	leaseRow  platform.Revision // revision of the lease row
	leaseSeen mesh.Time         // time at which that revision was first seen
	renewed   mesh.Time         // time of the last write that renewed the lease
	held      bool
	// busy is set while a write or its settling read is in flight.
	busy bool
	// unsettled is set when a write had no answer or a conflict: the rows must
	// be read before the next write.
	unsettled bool
	retryAt   mesh.Time
}

// operationKind tells what a platform request was for.
type operationKind uint8

const (
	operationPoll operationKind = iota + 1
	operationSettle
	operationWrite
	operationStart
	operationWithdraw
)

// operation is a platform request in flight.
type operation struct {
	kind     operationKind
	move     mesh.MoveID
	start    *StartRequest
	withdraw *WithdrawRequest
	// attempts counts the reads of an operator's order.
	attempts uint8
}

// platformState is the state of the requests to the platform.
type platformState struct {
	lastID  uint64
	pending map[uint64]operation
	polled  mesh.Time
	polling bool
}

// request sends a platform request and remembers what it is for.
func (r *Reducer) request(op operation, req platform.Request, out *Effects) {
	r.platform.lastID++
	req.ID = r.platform.lastID
	if req.Op == platform.OpCommit {
		req.Txn.ID = r.transactionID(req.ID)
	}
	r.platform.pending[req.ID] = op
	out.Platform = append(out.Platform, req)
}

// drive reads the move rows and, under the lease, advances the moves. Only top
// nodes drive, because only they have the evidence.
func (r *Reducer) drive(now mesh.Time, out *Effects) {
	if !r.links.Reader || !r.top() {
		return
	}
	if !r.platform.polling && due(&r.platform.polled, now, pollInterval) {
		r.platform.polling = true
		r.request(operation{kind: operationPoll},
			platform.Request{Op: platform.OpRead, Prefixes: []string{movePrefix, leasePrefix}}, out)
	}
	for _, f := range r.moves {
		if f.state.State == Running && f.drive.row > 0 && !f.drive.busy && now >= f.drive.retryAt {
			r.driveMove(now, f, out)
		}
	}
}

// driveMove takes the next action on one move.
func (r *Reducer) driveMove(now mesh.Time, f *follow, out *Effects) {
	d := &f.drive
	switch {
	case d.unsettled:
		d.busy = true
		r.request(operation{kind: operationSettle, move: f.state.ID}, platform.Request{
			Op:   platform.OpRead,
			Keys: []string{movePrefix + string(f.state.ID), leasePrefix + string(f.state.ID)},
		}, out)
	case !d.held:
		if d.leaseRow == 0 || now.Sub(d.leaseSeen) >= leaseTime {
			r.write(now, f, nil, d.lease.Fence+1, out)
		}
	default:
		if next, ok := f.next(now); ok {
			r.write(now, f, &next, d.lease.Fence, out)
		} else if now.Sub(d.renewed) >= renewInterval {
			r.write(now, f, nil, d.lease.Fence, out)
		}
	}
}

// next returns the state that the driver writes next, if any.
func (f *follow) next(now mesh.Time) (MoveState, bool) {
	var next MoveState
	changed := true
	if f.stop.Cause != CauseNone {
		next = withdrawn(f.state)
		next.Cause, next.CauseRoute = f.stop.Cause, f.stop.Route
	} else {
		s := f.judgeAt(now).summary(now)
		next, changed = advance(now, &f.state, &s)
	}
	next.Step++
	next.Fence = f.drive.lease.Fence
	if next.State.Terminal() {
		next.Since = now
	}
	return next, changed
}

// write renews or takes the lease and, with a next state, writes the move row
// in the same transaction. The check on the lease row's revision refuses the
// write if another node has taken the lease since.
func (r *Reducer) write(now mesh.Time, f *follow, next *MoveState, fence uint64, out *Effects) {
	id := string(f.state.ID)
	lease := Lease{Holder: r.cfg.Host, Incarnation: r.cfg.Incarnation, Fence: fence, Expiry: now.Add(leaseTime)}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: leasePrefix + id, Revision: f.drive.leaseRow}},
		Puts:   []platform.Put{{Key: leasePrefix + id, Value: encode(lease)}},
	}
	if next != nil {
		txn.Checks = append(txn.Checks, platform.Check{Key: movePrefix + id, Revision: f.drive.row})
		txn.Puts = append(txn.Puts, statePuts(next)...)
	}
	f.drive.busy = true
	f.drive.renewed = now
	r.request(operation{kind: operationWrite, move: f.state.ID}, platform.Request{Op: platform.OpCommit, Txn: txn}, out)
}

// statePuts returns the writes of a move's state. A terminal state releases the
// service for the next move.
func statePuts(s *MoveState) []platform.Put {
	puts := []platform.Put{{Key: movePrefix + string(s.ID), Value: encode(s)}}
	if s.State.Terminal() {
		puts = append(puts, platform.Put{
			Key: activePrefix + string(s.Service), Value: encode(active{Move: s.ID, Ended: true}),
		})
	}
	return puts
}

// Platform applies the result of a platform request of this Reducer.
func (r *Reducer) Platform(now mesh.Time, result *platform.Result, out *Effects) {
	op, ok := r.platform.pending[result.ID]
	if !ok {
		return
	}
	delete(r.platform.pending, result.ID)
	switch op.kind {
	case operationPoll:
		r.platform.polling = false
		r.observe(now, result, out)
	case operationSettle, operationWrite:
		r.settle(now, &op, result, out)
	case operationStart:
		r.startResult(now, op, result, out)
	case operationWithdraw:
		r.withdrawResult(now, op, result, out)
	}
}

// settle applies the result of a driver's write or of the read that settles it.
func (r *Reducer) settle(now mesh.Time, op *operation, result *platform.Result, out *Effects) {
	f := r.move(op.move)
	if f == nil {
		return
	}
	f.drive.busy = false
	f.drive.unsettled = result.Status != platform.OK
	switch {
	case f.drive.unsettled && op.kind == operationWrite:
		f.drive.retryAt = now.Add(retryInterval)
	case f.drive.unsettled:
		f.drive.retryAt = now.Add(outageInterval)
	}
	r.observe(now, result, out)
}

// observe takes over rows. Rows that are older than known ones are ignored, so
// results may arrive in any order.
func (r *Reducer) observe(now mesh.Time, result *platform.Result, out *Effects) {
	if result.Status != platform.OK && result.Status != platform.Conflict {
		return
	}
	for i := range result.Rows {
		row := &result.Rows[i]
		switch {
		case strings.HasPrefix(row.Key, movePrefix):
			r.observeMove(now, row, out)
		case strings.HasPrefix(row.Key, leasePrefix):
			r.observeLease(now, row, out)
		}
	}
}

// observeMove takes over a move row.
func (r *Reducer) observeMove(now mesh.Time, row *platform.Row, out *Effects) {
	s, err := decodeMove(row)
	if err != nil {
		return
	}
	r.applyState(now, &s, out)
	if f := r.move(s.ID); f != nil {
		f.drive.row = max(f.drive.row, row.Revision)
	}
}

// observeLease takes over a lease row and notices that the lease was taken or
// lost.
func (r *Reducer) observeLease(now mesh.Time, row *platform.Row, out *Effects) {
	id, lease, err := decodeLease(row)
	f := r.move(id)
	if err != nil || f == nil || row.Revision <= f.drive.leaseRow {
		return
	}
	d := &f.drive
	d.lease, d.leaseRow, d.leaseSeen = lease, row.Revision, now
	held := lease.Holder == r.cfg.Host && lease.Incarnation == r.cfg.Incarnation
	if held != d.held {
		kind := EventLeaseTaken
		if !held {
			kind = EventLeaseLost
		}
		out.Events = append(out.Events, Event{Kind: kind, Move: id, State: f.state.State, Step: f.state.Step})
	}
	d.held = held
}

// Drives reports whether this node believes to hold the lease of a move. The
// platform decides: a write under a lost lease is refused.
func (r *Reducer) Drives(id mesh.MoveID) bool {
	f := r.move(id)
	return f != nil && f.drive.held
}
