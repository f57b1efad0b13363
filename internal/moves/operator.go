package moves

import (
	"encoding/json"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// orderAttempts is the number of times that an operator's order is tried when
// other writers change the rows or the platform gives no answer.
const orderAttempts = 5

// Start begins a move for an operator. The Reply follows once the row is
// written or refused. Sending the same order again gives the same result.
func (r *Reducer) Start(now mesh.Time, req *StartRequest, out *Effects) {
	var err error
	switch {
	case req.Move == "" || req.Service == "" || req.From == "" || req.To == "":
		err = ErrInvalid.New("a move needs an ID, a service and two versions")
	case max(len(req.Move), len(req.Service), len(req.From), len(req.To)) > maxNameBytes:
		err = ErrInvalid.New("a name of move %.32q is longer than %d bytes", string(req.Move), maxNameBytes)
	case req.From == req.To:
		err = ErrInvalid.New("move %s has the same version %s on both sides", req.Move, req.To)
	case req.Deadline <= now:
		err = ErrInvalid.New("the deadline of move %s has passed", req.Move)
	}
	if err != nil {
		out.Replies = append(out.Replies, Reply{ID: req.ID, Err: err})
		return
	}
	kept := *req
	r.readForStart(operation{kind: operationStart, move: req.Move, start: &kept}, out)
}

// readForStart reads the rows that decide whether a move may start.
func (r *Reducer) readForStart(op operation, out *Effects) {
	op.attempts++
	r.request(op, platform.Request{Op: platform.OpRead, Keys: []string{
		movePrefix + string(op.move), activePrefix + string(op.start.Service),
	}}, out)
}

// startResult continues Start after a platform result.
func (r *Reducer) startResult(now mesh.Time, op operation, result *platform.Result, out *Effects) {
	switch {
	case result.Op == platform.OpCommit && result.Status == platform.OK:
		r.observe(now, result, out)
		out.Replies = append(out.Replies, Reply{ID: op.start.ID})
	case result.Status == platform.Unknown || result.Status == platform.Conflict:
		if op.attempts >= orderAttempts {
			err := ErrUnavailable.New("start of move %s: no answer from the platform: %s", op.move, result.Err)
			out.Replies = append(out.Replies, Reply{ID: op.start.ID, Err: err})
			return
		}
		r.readForStart(op, out)
	case result.Status != platform.OK:
		err := ErrInvalid.New("start of move %s: the platform refused the request: %s", op.move, result.Err)
		out.Replies = append(out.Replies, Reply{ID: op.start.ID, Err: err})
	default:
		r.commitStart(now, op, result.Rows, out)
	}
}

// commitStart writes the rows of a new move, or replies if it exists already.
func (r *Reducer) commitStart(now mesh.Time, op operation, rows []platform.Row, out *Effects) {
	req := op.start
	moveKey, activeKey := movePrefix+string(req.Move), activePrefix+string(req.Service)
	if row := rowOf(rows, moveKey); row != nil {
		out.Replies = append(out.Replies, Reply{ID: req.ID, Err: sameMove(req, row)})
		return
	}
	check := platform.Check{Key: activeKey}
	if row := rowOf(rows, activeKey); row != nil {
		var other active
		if err := json.Unmarshal(row.Value, &other); err != nil || !other.Ended {
			err := ErrRefused.New("service %s is already in move %s", req.Service, other.Move)
			out.Replies = append(out.Replies, Reply{ID: req.ID, Err: err})
			return
		}
		check.Revision = row.Revision
	}
	state := MoveState{
		ID: req.Move, Service: req.Service, From: req.From, To: req.To, Started: now,
		Deadline: req.Deadline, State: Running, Step: 1, Since: now, KeepOld: req.KeepOld,
	}
	r.request(op, platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		Checks: []platform.Check{{Key: moveKey}, check},
		Puts: []platform.Put{
			{Key: moveKey, Value: encode(state)},
			{Key: activeKey, Value: encode(active{Move: req.Move})},
		},
	}}, out)
}

// sameMove returns nil if the row is the move that the order describes.
func sameMove(req *StartRequest, row *platform.Row) error {
	s, err := decodeMove(row)
	if err != nil {
		return err
	}
	if s.Service != req.Service || s.From != req.From || s.To != req.To || s.Deadline != req.Deadline {
		return ErrRefused.New("move %s exists with other versions or another deadline", req.Move)
	}
	return nil
}

// Withdraw withdraws a running move for an operator. The write checks the move
// row only: a withdrawal is safe whoever drives the move, and the driver's next
// write conflicts with it.
func (r *Reducer) Withdraw(_ mesh.Time, req *WithdrawRequest, out *Effects) {
	kept := *req
	r.readForWithdraw(operation{kind: operationWithdraw, move: req.Move, withdraw: &kept}, out)
}

// readForWithdraw reads the move row.
func (r *Reducer) readForWithdraw(op operation, out *Effects) {
	op.attempts++
	r.request(op, platform.Request{Op: platform.OpRead, Keys: []string{movePrefix + string(op.move)}}, out)
}

// withdrawResult continues Withdraw after a platform result.
func (r *Reducer) withdrawResult(now mesh.Time, op operation, result *platform.Result, out *Effects) {
	reply := Reply{ID: op.withdraw.ID}
	switch {
	case result.Status == platform.Unknown || result.Status == platform.Conflict:
		if op.attempts < orderAttempts {
			r.readForWithdraw(op, out)
			return
		}
		reply.Err = ErrUnavailable.New("withdrawal of move %s: no answer from the platform: %s", op.move, result.Err)
	case result.Status != platform.OK:
		reply.Err = ErrInvalid.New("withdrawal of move %s: the platform refused the request: %s", op.move, result.Err)
	case result.Op == platform.OpCommit:
		r.observe(now, result, out)
	default:
		var commits bool
		if commits, reply.Err = r.commitWithdraw(now, op, result.Rows, out); commits {
			return
		}
	}
	out.Replies = append(out.Replies, reply)
}

// commitWithdraw writes the withdrawn state and reports whether it did. A move
// that is withdrawn already needs no write.
func (r *Reducer) commitWithdraw(now mesh.Time, op operation, rows []platform.Row, out *Effects) (bool, error) {
	row := rowOf(rows, movePrefix+string(op.move))
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
		return false, ErrRefused.New("move %s is done", op.move)
	}
	s = withdrawn(s)
	s.Step++
	s.Cause, s.Since = CauseOperator, now
	r.request(op, platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		Checks: []platform.Check{{Key: row.Key, Revision: row.Revision}}, Puts: statePuts(&s),
	}}, out)
	return true, nil
}
