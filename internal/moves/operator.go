package moves

import (
	"encoding/json"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// maxOperatorAttempts is the number of attempts at an operator's request when
// other writes conflict or the platform does not answer.
const maxOperatorAttempts = 5

// Start begins a move for an operator. The Reply follows once the move's row was
// written or the request failed. The request is idempotent.
func (r *Reducer) Start(now mesh.Time, req *StartRequest, out *Effects) {
	var err error
	switch {
	case req.Move == "" || req.Service == "" || req.From == "" || req.To == "":
		err = ErrInvalid.New("start of a move: the move ID, service, old version or new version is empty")
	case max(len(req.Move), len(req.Service), len(req.From), len(req.To)) > maxNameBytes:
		err = ErrInvalid.New("start of move %.32q: the name of the move, service or a version is longer than %d bytes", string(req.Move), maxNameBytes)
	case req.From == req.To:
		err = ErrInvalid.New("start of move %s: the old and the new version are both %s", req.Move, req.To)
	case req.Deadline <= now:
		err = ErrInvalid.New("start of move %s: the deadline has passed", req.Move)
	}
	if err != nil {
		out.Replies = append(out.Replies, Reply{ID: req.ID, Err: err})
		return
	}
	request := *req
	r.readForStart(operation{kind: operationStart, move: req.Move, start: &request}, out)
}

// readForStart reads the rows of the move and of the service's last move, which
// decide whether the move may start.
func (r *Reducer) readForStart(op operation, out *Effects) {
	op.attempts++
	r.sendRequest(op, platform.Request{Op: platform.OpRead, Keys: []string{
		movePrefix + string(op.move), activeMovePrefix + string(op.start.Service),
	}}, out)
}

// handleStartResult continues a start after a platform result.
func (r *Reducer) handleStartResult(now mesh.Time, op operation, result *platform.Result, out *Effects) {
	switch {
	case result.Op == platform.OpCommit && result.Status == platform.OK:
		r.applyRows(now, result, out)
		out.Replies = append(out.Replies, Reply{ID: op.start.ID})
	case result.Status == platform.Unknown || result.Status == platform.Conflict:
		if op.attempts >= maxOperatorAttempts {
			err := ErrUnavailable.New("start of move %s: the last attempt got no answer from the platform or conflicted with another write: %s", op.move, result.Err)
			out.Replies = append(out.Replies, Reply{ID: op.start.ID, Err: err})
			return
		}
		r.readForStart(op, out)
	case result.Status != platform.OK:
		err := ErrInvalid.New("start of move %s: the platform rejected the request: %s", op.move, result.Err)
		out.Replies = append(out.Replies, Reply{ID: op.start.ID, Err: err})
	default:
		r.commitStart(now, op, result.Rows, out)
	}
}

// commitStart writes the rows of a new move. It replies without a write if the
// move exists already or the service is in another move.
func (r *Reducer) commitStart(now mesh.Time, op operation, rows []platform.Row, out *Effects) {
	req := op.start
	moveKey, activeKey := movePrefix+string(req.Move), activeMovePrefix+string(req.Service)
	if row := findRow(rows, moveKey); row != nil {
		out.Replies = append(out.Replies, Reply{ID: req.ID, Err: checkSameMove(req, row)})
		return
	}
	check := platform.Check{Key: activeKey}
	if row := findRow(rows, activeKey); row != nil {
		var existing activeMove
		if err := json.Unmarshal(row.Value, &existing); err != nil || !existing.Ended {
			err := ErrRefused.New("service %s is already in move %s", req.Service, existing.Move)
			out.Replies = append(out.Replies, Reply{ID: req.ID, Err: err})
			return
		}
		check.Revision = row.Revision
	}
	state := MoveState{
		ID: req.Move, Service: req.Service, From: req.From, To: req.To, Started: now,
		Deadline: req.Deadline, State: Running, Step: 1, Since: now, KeepOld: req.KeepOld,
	}
	r.sendRequest(op, platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		Checks: []platform.Check{{Key: moveKey}, check},
		Puts: []platform.Put{
			{Key: moveKey, Value: encode(state)},
			{Key: activeKey, Value: encode(activeMove{Move: req.Move})},
		},
	}}, out)
}

// checkSameMove returns nil if the row holds the move that the request describes.
func checkSameMove(req *StartRequest, row *platform.Row) error {
	s, err := decodeMove(row)
	if err != nil {
		return err
	}
	if s.Service != req.Service || s.From != req.From || s.To != req.To || s.Deadline != req.Deadline {
		return ErrRefused.New("move %s already exists with another service, other versions or another deadline", req.Move)
	}
	return nil
}

// Withdraw withdraws a running move for an operator. The write checks the
// revision of the move row but not the lease: a withdrawal is safe whichever
// node drives the move, and the driver's next write conflicts with it.
func (r *Reducer) Withdraw(_ mesh.Time, req *WithdrawRequest, out *Effects) {
	request := *req
	r.readForWithdraw(operation{kind: operationWithdraw, move: req.Move, withdraw: &request}, out)
}

// readForWithdraw reads the move row, whose revision the withdrawal checks.
func (r *Reducer) readForWithdraw(op operation, out *Effects) {
	op.attempts++
	r.sendRequest(op, platform.Request{Op: platform.OpRead, Keys: []string{movePrefix + string(op.move)}}, out)
}

// handleWithdrawResult continues a withdrawal after a platform result.
func (r *Reducer) handleWithdrawResult(now mesh.Time, op operation, result *platform.Result, out *Effects) {
	reply := Reply{ID: op.withdraw.ID}
	switch {
	case result.Status == platform.Unknown || result.Status == platform.Conflict:
		if op.attempts < maxOperatorAttempts {
			r.readForWithdraw(op, out)
			return
		}
		reply.Err = ErrUnavailable.New("withdrawal of move %s: the last attempt got no answer from the platform or conflicted with another write: %s", op.move, result.Err)
	case result.Status != platform.OK:
		reply.Err = ErrInvalid.New("withdrawal of move %s: the platform rejected the request: %s", op.move, result.Err)
	case result.Op == platform.OpCommit:
		r.applyRows(now, result, out)
	default:
		var commits bool
		if commits, reply.Err = r.commitWithdraw(now, op, result.Rows, out); commits {
			return
		}
	}
	out.Replies = append(out.Replies, reply)
}

// commitWithdraw sends the write of the withdrawn state and reports whether it
// did. A move that is withdrawn already needs no write.
func (r *Reducer) commitWithdraw(now mesh.Time, op operation, rows []platform.Row, out *Effects) (bool, error) {
	row := findRow(rows, movePrefix+string(op.move))
	if row == nil {
		return false, ErrRefused.New("move %s does not exist", op.move)
	}
	s, err := decodeMove(row)
	switch {
	case err != nil:
		return false, err
	case s.State == Withdrawn:
		return false, nil
	case s.State == Done:
		return false, ErrRefused.New("move %s is done and cannot be withdrawn", op.move)
	}
	s = withdrawnState(s)
	s.Step++
	s.Cause, s.Since = CauseOperator, now
	r.sendRequest(op, platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		Checks: []platform.Check{{Key: row.Key, Revision: row.Revision}}, Puts: statePuts(&s),
	}}, out)
	return true, nil
}
