package publish

import (
	"fmt"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// moveFlow creates the row of a move once. Its operation row settles lost
// answers, since the move driver may have changed the move's row by then.
type moveFlow struct {
	ev        *StartMove
	hash      string
	step      step
	committed bool
	// taken is set once the move's row was seen. As in applyFlow, only a later
	// read shows whether this operation created it.
	taken bool
}

func newMoveFlow(ev *StartMove) (flow, *Reply) {
	refusal := firstRefusal(
		checkID("operation ID", string(ev.Operation)),
		checkID("move ID", string(ev.Move)))
	if refusal != nil {
		return nil, refusal
	}
	if len(ev.Row) == 0 || len(ev.Row) > MaxMoveRowBytes {
		return nil, reject("move row has %d bytes, want 1 to %d", len(ev.Row), MaxMoveRowBytes)
	}
	return &moveFlow{ev: ev, hash: string(config.HashOf(ev.Row))}, nil
}

func (f *moveFlow) next(mesh.Time) platform.Request {
	moveKey, operationKey := platform.MoveKey(f.ev.Move), platform.OperationKey(string(f.ev.Operation))
	if f.step == stepRead {
		return platform.Request{Op: platform.OpRead, Keys: []string{moveKey, operationKey}}
	}
	f.committed = true
	operation := platform.Operation{Key: moveKey, Hash: f.hash}
	return platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		ID:     string(f.ev.Operation),
		Checks: []platform.Check{{Key: moveKey}, {Key: operationKey}},
		Puts: []platform.Put{
			{Key: moveKey, Value: f.ev.Row},
			{Key: operationKey, Value: platform.EncodeRow(operation)}},
	}}
}

func (f *moveFlow) answered(res *platform.Result) *Reply {
	if f.step == stepCommit {
		f.step = stepRead
		if res.Status == platform.OK {
			return &Reply{Status: Done}
		}
		return nil
	}
	if reply := earlierResult(res.Rows, f.ev.Operation, f.hash); reply != nil {
		return reply
	}
	if findRow(res.Rows, platform.MoveKey(f.ev.Move)).Revision == 0 {
		f.step = stepCommit
		return nil
	}
	if !f.taken {
		f.taken = true
		return nil
	}
	return &Reply{Status: Conflict, Detail: fmt.Sprintf("move %q already exists", f.ev.Move)}
}

func (f *moveFlow) unanswered() { f.step = stepRead }

func (f *moveFlow) mayHaveWritten() bool { return f.committed }

// withdrawFlow records the withdrawal of a move. A withdrawal that is already
// recorded, by whichever operator, is as good as a new one.
type withdrawFlow struct {
	ev        *WithdrawMove
	step      step
	committed bool
}

func newWithdrawFlow(ev *WithdrawMove) (flow, *Reply) {
	refusal := firstRefusal(
		checkID("operation ID", string(ev.Operation)),
		checkID("move ID", string(ev.Move)),
		checkText("operator", ev.Operator, MaxOperatorBytes),
		checkText("reason", ev.Reason, MaxNoteBytes))
	if refusal != nil {
		return nil, refusal
	}
	return &withdrawFlow{ev: ev}, nil
}

func (f *withdrawFlow) next(now mesh.Time) platform.Request {
	moveKey, key := platform.MoveKey(f.ev.Move), platform.WithdrawalKey(f.ev.Move)
	if f.step == stepRead {
		return platform.Request{Op: platform.OpRead, Keys: []string{moveKey, key}}
	}
	f.committed = true
	value := platform.Withdrawal{Operator: f.ev.Operator, Reason: f.ev.Reason, Time: now}
	return platform.Request{Op: platform.OpCommit, Txn: platform.Txn{
		ID:     string(f.ev.Operation),
		Checks: []platform.Check{{Key: key}},
		Puts:   []platform.Put{{Key: key, Value: platform.EncodeRow(value)}},
	}}
}

func (f *withdrawFlow) answered(res *platform.Result) *Reply {
	if f.step == stepCommit {
		f.step = stepRead
		if res.Status == platform.OK {
			return &Reply{Status: Done}
		}
		return nil
	}
	switch {
	case findRow(res.Rows, platform.WithdrawalKey(f.ev.Move)).Revision > 0:
		return &Reply{Status: Done}
	case findRow(res.Rows, platform.MoveKey(f.ev.Move)).Revision == 0:
		return &Reply{Status: NotFound, Detail: fmt.Sprintf("no move %q", f.ev.Move)}
	}
	f.step = stepCommit
	return nil
}

func (f *withdrawFlow) unanswered() { f.step = stepRead }

func (f *withdrawFlow) mayHaveWritten() bool { return f.committed }
