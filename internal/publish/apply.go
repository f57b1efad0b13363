package publish

import (
	"fmt"
	"math"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// step is the platform operation that an applyFlow performs next or waits for.
type step uint8

const (
	stepRead step = iota
	stepStore
	stepCommit
)

// applyFlow publishes one snapshot: it reads the rows, stores the object and
// commits. If it cannot tell whether a commit took effect, it reads the rows
// again and decides from them alone.
type applyFlow struct {
	ev           *Apply
	content      *config.Accepted
	step         step
	objectStored bool
	// headRevision is the revision of the head row in the latest read. A
	// commit requires that it is unchanged.
	headRevision platform.Revision
	// commitSent is set once a commit has been sent, whose effect is unknown
	// until its answer or a later read.
	commitSent bool
	// headMismatch is set once a read has shown the head at another version
	// than the base. From then on no commit that this operation has sent can
	// take effect any more, so the next read shows whether one did. The read
	// that showed the head does not suffice, since the rows of one read may
	// have been read at different times.
	headMismatch bool
}

// newApplyFlow returns the flow of a valid request, or the reply to an invalid
// one.
func newApplyFlow(ev *Apply) (flow, *Reply) {
	refusal := firstRefusal(
		checkID("operation ID", string(ev.Operation)),
		checkText("operator", ev.Operator, MaxOperatorBytes),
		checkText("note", ev.Note, MaxNoteBytes))
	if refusal != nil {
		return nil, refusal
	}
	if ev.Snapshot == nil || ev.Base == math.MaxUint64 {
		return nil, rejected("request has no snapshot or no valid base version")
	}
	content, err := config.Accept(ev.Snapshot)
	if err != nil {
		return nil, rejectedSnapshot(err)
	}
	return &applyFlow{ev: ev, content: content}, nil
}

// rejectedSnapshot returns the reply to a snapshot that the configuration
// package did not accept.
func rejectedSnapshot(err error) *Reply {
	reply := rejected("the configuration is invalid")
	if faults, ok := err.(config.Faults); ok {
		reply.Faults = faults
		return reply
	}
	reply.Detail = err.Error()
	return reply
}

// version is the version that the operation creates.
func (f *applyFlow) version() mesh.ConfigVersion { return f.ev.Base + 1 }

func (f *applyFlow) nextRequest(now mesh.Time) platform.Request {
	switch f.step {
	case stepStore:
		return platform.Request{Op: platform.OpPutObject, Hash: string(f.content.Hash), Object: f.content.Encoded}
	case stepCommit:
		f.commitSent = true
		return platform.Request{Op: platform.OpCommit, Txn: f.commitTxn(now)}
	default:
		return platform.Request{Op: platform.OpRead, Keys: []string{
			platform.HeadKey, platform.HistoryKey(f.version()), platform.OperationKey(string(f.ev.Operation))}}
	}
}

// commitTxn returns the transaction that assigns the version. It advances the
// head and creates the history and operation rows, or changes nothing if the
// head has changed or one of those rows exists.
func (f *applyFlow) commitTxn(now mesh.Time) platform.Txn {
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

func (f *applyFlow) handleResult(res *platform.Result) *Reply {
	switch f.step {
	case stepStore:
		f.objectStored, f.step = true, stepCommit
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

// decide replies if the rows show the result of the operation, and otherwise
// chooses the next step.
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
		return f.decideMismatch(head)
	}
	f.headRevision = revision
	f.step = stepStore
	if f.objectStored {
		f.step = stepCommit
	}
	return nil
}

// decideMismatch handles a head that is not at the base. The first time it
// reads again; the second time the operation is known not to have taken effect
// and conflicts.
func (f *applyFlow) decideMismatch(head platform.Head) *Reply {
	if !f.headMismatch {
		f.headMismatch = true
		return nil
	}
	return &Reply{Status: Conflict, Version: head.Version, Hash: config.Hash(head.Hash),
		Detail: fmt.Sprintf("the base is %s, the current version is %s", f.ev.Base, head.Version)}
}

func (f *applyFlow) done(version mesh.ConfigVersion) *Reply {
	return &Reply{Status: Done, Version: version, Hash: f.content.Hash}
}

func (f *applyFlow) handleUnknown() { f.step = stepRead }

func (f *applyFlow) writeMayTakeEffect() bool { return f.commitSent }
