package moves

import (
	"strings"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

const (
	// leaseDuration is the time for which a node that does not hold the lease must
	// have seen the lease row unchanged, by its own clock, before it acquires it.
	leaseDuration = 3 * time.Second
	// renewInterval is the time between renewals of a held lease.
	renewInterval = time.Second
	// pollInterval is the time between reads of all move and lease rows.
	pollInterval = 500 * time.Millisecond
	// retryInterval is the time from the result of a failed write (see
	// driverState.needsRead) to the read of the rows that shows their current state.
	retryInterval = 100 * time.Millisecond
	// outageInterval is the time to the next such read if one has failed.
	outageInterval = 500 * time.Millisecond
)

// driverState is this node's view of the move and lease rows of one move. The
// driver of a move is the node that holds its lease. Every root node with
// Links.Reader polls the rows, since any of these nodes can acquire the lease.
type driverState struct {
	moveRevision  platform.Revision // revision of the move row, 0 until this node has read or written the row
	lease         Lease
	leaseRevision platform.Revision // revision of the lease row, 0 if no such row was seen
	leaseSeen     mesh.Time         // time at which this node first saw that revision
	lastRenewal   mesh.Time         // time at which this node last sent a write of the lease row
	held          bool              // this node holds the lease
	// inFlight is set while a write, or the read after a failed write, is in
	// flight.
	inFlight bool
	// needsRead is set after a failed write, which is one with another status than
	// platform.OK: a check failed, the request was invalid or the outcome is
	// unknown. It stays set until a read of both rows has succeeded. The driver sends
	// no write while it is set.
	needsRead bool
	retryAt   mesh.Time // time before which neither the read nor a write is sent
}

// operationKind is the purpose of a platform request.
type operationKind uint8

const (
	operationPoll operationKind = iota + 1
	operationReadBack
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
	// attempts counts the attempts at an operator's request. Each begins with a
	// read.
	attempts uint8
}

// platformState holds the pending requests to the platform and the poll timer.
type platformState struct {
	lastRequestID uint64
	pending       map[uint64]operation
	lastPoll      mesh.Time
	polling       bool
}

// sendRequest emits a platform request under a new ID, a commit also with a
// transaction ID. It stores op under the request's ID for the result.
func (r *Reducer) sendRequest(op operation, req platform.Request, out *Effects) {
	r.platform.lastRequestID++
	req.ID = r.platform.lastRequestID
	if req.Op == platform.OpCommit {
		req.Txn.ID = r.transactionID(req.ID)
	}
	r.platform.pending[req.ID] = op
	out.Platform = append(out.Platform, req)
}

// driveMoves polls the move and lease rows, acquires leases that have expired
// or do not exist yet and advances the moves whose lease this node holds. Only root
// nodes do so, because the evidence of all nodes reaches root nodes only. Moves
// whose row this node has neither read nor written (moveRevision 0) are left out.
func (r *Reducer) driveMoves(now mesh.Time, out *Effects) {
	if !r.links.Reader || !r.isRoot() {
		return
	}
	if !r.platform.polling && timerExpired(&r.platform.lastPoll, now, pollInterval) {
		r.platform.polling = true
		r.sendRequest(operation{kind: operationPoll},
			platform.Request{Op: platform.OpRead, Prefixes: []string{movePrefix, leasePrefix}}, out)
	}
	for _, f := range r.moves {
		if f.state.State == Running && f.driver.moveRevision > 0 && !f.driver.inFlight && now >= f.driver.retryAt {
			r.driveMove(now, f, out)
		}
	}
}

// driveMove sends the next platform request of one move, if one is due: the read
// after a failed write, the acquisition of a lease that has expired or does not
// exist yet, the next state or a renewal of the lease.
func (r *Reducer) driveMove(now mesh.Time, f *followedMove, out *Effects) {
	d := &f.driver
	switch {
	case d.needsRead:
		d.inFlight = true
		r.sendRequest(operation{kind: operationReadBack, move: f.state.ID}, platform.Request{
			Op:   platform.OpRead,
			Keys: []string{movePrefix + string(f.state.ID), leasePrefix + string(f.state.ID)},
		}, out)
	case !d.held:
		if d.leaseRevision == 0 || now.Sub(d.leaseSeen) >= leaseDuration {
			r.commitWithLease(now, f, nil, d.lease.Fence+1, out)
		}
	default:
		if next, ok := f.nextStateToWrite(now); ok {
			r.commitWithLease(now, f, &next, d.lease.Fence, out)
		} else if now.Sub(d.lastRenewal) >= renewInterval {
			r.commitWithLease(now, f, nil, d.lease.Fence, out)
		}
	}
}

// nextStateToWrite returns the state that the driver writes next, and false if
// there is nothing to write. If a fault was found (f.stop), this is the withdrawal,
// otherwise the state that the schedule's nextState returns.
func (f *followedMove) nextStateToWrite(now mesh.Time) (MoveState, bool) {
	var next MoveState
	changed := true
	if f.stop.Cause != CauseNone {
		next = withdrawnState(f.state)
		next.Cause, next.CauseRoute = f.stop.Cause, f.stop.Route
	} else {
		s := f.ensureJudge(now).summary(now)
		next, changed = nextState(now, &f.state, &s)
	}
	next.Step++
	next.Fence = f.driver.lease.Fence
	if next.State.Terminal() {
		next.Since = now
	}
	return next, changed
}

// commitWithLease renews or acquires the lease and, if next is set, writes the
// move row in the same transaction. The check of the lease row's revision makes the
// transaction fail if another node has acquired the lease meanwhile, and that of
// the move row's revision if the move row has changed, for example by an operator's
// withdrawal. The Expiry written here decides nothing: nodes judge the expiry of
// the lease by leaseSeen.
func (r *Reducer) commitWithLease(now mesh.Time, f *followedMove, next *MoveState, fence uint64, out *Effects) {
	id := string(f.state.ID)
	lease := Lease{Holder: r.cfg.Host, Incarnation: r.cfg.Incarnation, Fence: fence, Expiry: now.Add(leaseDuration)}
	txn := platform.Txn{
		Checks: []platform.Check{{Key: leasePrefix + id, Revision: f.driver.leaseRevision}},
		Puts:   []platform.Put{{Key: leasePrefix + id, Value: encode(lease)}},
	}
	if next != nil {
		txn.Checks = append(txn.Checks, platform.Check{Key: movePrefix + id, Revision: f.driver.moveRevision})
		txn.Puts = append(txn.Puts, statePuts(next)...)
	}
	f.driver.inFlight = true
	f.driver.lastRenewal = now
	r.sendRequest(operation{kind: operationWrite, move: f.state.ID}, platform.Request{Op: platform.OpCommit, Txn: txn}, out)
}

// statePuts returns the writes of a move's state. With a terminal state they also
// set activeMove.Ended, so that the next move of the service can start.
func statePuts(s *MoveState) []platform.Put {
	puts := []platform.Put{{Key: movePrefix + string(s.ID), Value: encode(s)}}
	if s.State.Terminal() {
		puts = append(puts, platform.Put{
			Key: activeMovePrefix + string(s.Service), Value: encode(activeMove{Move: s.ID, Ended: true}),
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
		r.applyRows(now, result, out)
	case operationReadBack, operationWrite:
		r.applyDriverResult(now, &op, result, out)
	case operationStart:
		r.handleStartResult(now, op, result, out)
	case operationWithdraw:
		r.handleWithdrawResult(now, op, result, out)
	}
}

// applyDriverResult applies the result of a driver's write or of the read after a
// failed write.
func (r *Reducer) applyDriverResult(now mesh.Time, op *operation, result *platform.Result, out *Effects) {
	f := r.move(op.move)
	if f == nil {
		return
	}
	f.driver.inFlight = false
	f.driver.needsRead = result.Status != platform.OK
	switch {
	case f.driver.needsRead && op.kind == operationWrite:
		f.driver.retryAt = now.Add(retryInterval)
	case f.driver.needsRead:
		f.driver.retryAt = now.Add(outageInterval)
	}
	r.applyRows(now, result, out)
}

// applyRows applies the rows of a platform result. Rows that are not newer than
// those already known are ignored, so results may arrive in any order.
func (r *Reducer) applyRows(now mesh.Time, result *platform.Result, out *Effects) {
	if result.Status != platform.OK && result.Status != platform.Conflict {
		return
	}
	for i := range result.Rows {
		row := &result.Rows[i]
		switch {
		case strings.HasPrefix(row.Key, movePrefix):
			r.applyMoveRow(now, row, out)
		case strings.HasPrefix(row.Key, leasePrefix):
			r.applyLeaseRow(now, row, out)
		}
	}
}

// applyMoveRow applies a move row. A malformed row is ignored without an error or
// event.
func (r *Reducer) applyMoveRow(now mesh.Time, row *platform.Row, out *Effects) {
	s, err := decodeMove(row)
	if err != nil {
		return
	}
	r.applyState(now, &s, out)
	if f := r.move(s.ID); f != nil {
		f.driver.moveRevision = max(f.driver.moveRevision, row.Revision)
	}
}

// applyLeaseRow applies a lease row and emits an event if this node has acquired
// or lost the lease. A malformed row and the lease of an unknown move are ignored
// without an error or event.
func (r *Reducer) applyLeaseRow(now mesh.Time, row *platform.Row, out *Effects) {
	id, lease, err := decodeLease(row)
	f := r.move(id)
	if err != nil || f == nil || row.Revision <= f.driver.leaseRevision {
		return
	}
	d := &f.driver
	d.lease, d.leaseRevision, d.leaseSeen = lease, row.Revision, now
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

// Drives reports whether this node holds the lease of a move by the last lease
// row that it has seen. Another node may have acquired the lease since; the
// platform then rejects this node's writes.
func (r *Reducer) Drives(id mesh.MoveID) bool {
	f := r.move(id)
	return f != nil && f.driver.held
}
