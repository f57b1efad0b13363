package publish

import (
	"fmt"

	"github.com/chicoryscale/chicoryscale/internal/config"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// historyFlow reads the head and then the newest history rows.
type historyFlow struct {
	limit int
	// head is valid if headKnown is set.
	head      platform.Head
	headKnown bool
}

// newHistoryFlow returns the flow of a valid request, or the reply to an
// invalid one.
func newHistoryFlow(ev *ReadHistory) (flow, *Reply) {
	if ev.Limit < 1 || ev.Limit > MaxHistoryRows {
		return nil, rejected("history limit is %d, want 1 to %d", ev.Limit, MaxHistoryRows)
	}
	return &historyFlow{limit: ev.Limit}, nil
}

func (f *historyFlow) nextRequest(mesh.Time) platform.Request {
	keys := []string{platform.HeadKey}
	if f.headKnown {
		keys = keys[:0]
		for _, version := range f.versions() {
			keys = append(keys, platform.HistoryKey(version))
		}
	}
	return platform.Request{Op: platform.OpRead, Keys: keys}
}

// versions returns the versions whose history rows are read, newest first.
func (f *historyFlow) versions() []mesh.ConfigVersion {
	var versions []mesh.ConfigVersion
	for v := f.head.Version; v > 0 && len(versions) < f.limit; v-- {
		versions = append(versions, v)
	}
	return versions
}

func (f *historyFlow) handleResult(res *platform.Result) *Reply {
	if f.headKnown {
		return f.historyReply(res.Rows)
	}
	head, _, reply := readHead(res.Rows)
	if reply != nil {
		return reply
	}
	if head.Version == 0 {
		return &Reply{Status: Done}
	}
	f.head, f.headKnown = head, true
	return nil
}

// historyReply returns the reply with the history rows, or a failure if one is
// missing or malformed.
func (f *historyFlow) historyReply(rows []platform.Row) *Reply {
	reply := &Reply{Status: Done, Version: f.head.Version, Hash: config.Hash(f.head.Hash)}
	for _, version := range f.versions() {
		row := findRow(rows, platform.HistoryKey(version))
		if row.Revision == 0 {
			return &Reply{Status: Failed, Detail: fmt.Sprintf("the history row of %s is missing", version)}
		}
		history, err := platform.DecodeRow[platform.History](row)
		if err != nil {
			return &Reply{Status: Failed, Detail: err.Error()}
		}
		reply.History = append(reply.History, history)
	}
	return reply
}

func (f *historyFlow) handleUnknown() {}

func (f *historyFlow) writeMayTakeEffect() bool { return false }
