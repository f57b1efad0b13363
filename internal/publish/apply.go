package publish

import (
	"fmt"
	"math"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// step names the platform operation that a flow waits for.
type step uint8

const (
	stepRead step = iota
	stepStore
	stepCommit
)

// applyFlow publishes one snapshot. It reads the rows, stores the object and
// commits; after any doubt it reads again and decides from the rows alone.
type applyFlow struct {
	ev      *Apply
	content *config.Accepted
	step    step
	stored  bool
	// headRevision is the revision of the head at the last read.
	headRevision platform.Revision
	// committed is set once a commit was sent.
	committed bool
	// passed is set once the head was seen at another version than the base.
	// From then on no commit of this operation can take effect, so the next
	// read shows whether one did. The rows of one read may be of different
	// times, so the read that shows the head is not enough.
	passed bool
}

func newApplyFlow(ev *Apply) (flow, *Reply) {
	refusal := firstRefusal(
		checkID("operation ID", string(ev.Operation)),
		checkText("operator", ev.Operator, MaxOperatorBytes),
		checkText("note", ev.Note, MaxNoteBytes))
	if refusal != nil {
		return nil, refusal
	}
	if ev.Snapshot == nil || ev.Base == math.MaxUint64 {
		return nil, reject("request has no snapshot or no valid base version")
	}
	content, err := config.Accept(ev.Snapshot)
	if err != nil {
		return nil, rejectSnapshot(err)
	}
	return &applyFlow{ev: ev, content: content}, nil
}

func rejectSnapshot(err error) *Reply {
	reply := reject("the configuration is invalid")
	if faults, ok := err.(config.Faults); ok {
		reply.Faults = faults
		return reply
	}
	reply.Detail = err.Error()
	return reply
}

func (f *applyFlow) version() mesh.ConfigVersion { return f.ev.Base + 1 }

func (f *applyFlow) next(now mesh.Time) platform.Request {
	switch f.step {
	case stepStore:
		return platform.Request{Op: platform.OpPutObject, Hash: string(f.content.Hash), Object: f.content.Encoded}
	case stepCommit:
		f.committed = true
		return platform.Request{Op: platform.OpCommit, Txn: f.txn(now)}
	default:
		return platform.Request{Op: platform.OpRead, Keys: []string{
			platform.HeadKey, platform.HistoryKey(f.version()), platform.OperationKey(string(f.ev.Operation))}}
	}
}

// txn gives out the version: it advances the head and creates the history and
// operation rows, or does nothing.
func (f *applyFlow) txn(now mesh.Time) platform.Txn {
	writer, hash, version := string(f.ev.Operation), string(f.content.Hash), f.version()
	historyKey, operationKey := platform.HistoryKey(version), platform.OperationKey(writer)
	history := platform.History{Version: version, Hash: hash, Writer: writer,
		Time: now, Operator: f.ev.Operator, Note: f.ev.Note}
	operation := platform.Operation{Key: historyKey, Version: version, Hash: hash}
	return platform.Txn{
		ID: writer,
		Checks: []platform.Check{
			{Key: platform.HeadKey, Revision: f.headRevision}, {Key: historyKey}, {Key: operationKey}},
		Puts: []platform.Put{
			{Key: platform.HeadKey, Value: platform.EncodeRow(platform.Head{Version: version, Hash: hash, Writer: writer})},
			{Key: historyKey, Value: platform.EncodeRow(history)},
			{Key: operationKey, Value: platform.EncodeRow(operation)}},
	}
}

func (f *applyFlow) answered(res *platform.Result) *Reply {
	switch f.step {
	case stepStore:
		f.stored, f.step = true, stepCommit
		return nil
	case stepCommit:
		if res.Status == platform.OK {
			return f.done(f.version())
		}
		f.step = stepRead
		return nil
	default:
		return f.decide(res.Rows)
	}
}

// decide replies if the rows settle the operation, and else chooses the next
// step.
func (f *applyFlow) decide(rows []platform.Row) *Reply {
	if reply := earlierResult(rows, f.ev.Operation, string(f.content.Hash)); reply != nil {
		reply.Hash = f.content.Hash
		return reply
	}
	head, revision, reply := readHead(rows)
	if reply != nil {
		return reply
	}
	if head.Version != f.ev.Base {
		return f.decidePassed(head)
	}
	f.headRevision = revision
	f.step = stepStore
	if f.stored {
		f.step = stepCommit
	}
	return nil
}

func (f *applyFlow) decidePassed(head platform.Head) *Reply {
	if !f.passed {
		f.passed = true
		return nil
	}
	return &Reply{Status: Conflict, Version: head.Version, Hash: config.Hash(head.Hash),
		Detail: fmt.Sprintf("the base is %s, the current version is %s", f.ev.Base, head.Version)}
}

func (f *applyFlow) done(version mesh.ConfigVersion) *Reply {
	return &Reply{Status: Done, Version: version, Hash: f.content.Hash}
}

func (f *applyFlow) unanswered() { f.step = stepRead }

func (f *applyFlow) mayHaveWritten() bool { return f.committed }
