package sidecar

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// missingRowRetention is the time for which an operator's row that the store has lost by
// going back to an older state stays in force. The operator writes it again meanwhile.
const missingRowRetention = 10 * time.Second

// lostRows are the operator's rows that were in force before the store went back to an
// older state, and that this state lacks.
type lostRows struct {
	mu    sync.Mutex
	rows  map[string]Change // by key
	until time.Time         // end of missingRowRetention
}

// add adds rows unless newer ones of their keys are present, and returns those added.
func (l *lostRows) add(rows []Change, until time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var added []Change
	for _, c := range rows {
		if old, ok := l.rows[c.Key]; ok && old.Revision >= c.Revision {
			continue
		}
		if l.rows == nil {
			l.rows = make(map[string]Change)
		}
		l.rows[c.Key] = c
		added = append(added, c)
	}
	if len(added) > 0 {
		l.until = until
	}
	return added
}

// list returns the rows, sorted by key, and the time for which they stay in force.
func (l *lostRows) list(now time.Time) ([]Change, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []Change
	for _, key := range slices.Sorted(maps.Keys(l.rows)) {
		rows = append(rows, l.rows[key])
	}
	return rows, l.until.Sub(now)
}

// remove removes rows unless they have been replaced.
func (l *lostRows) remove(rows []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range rows {
		if l.rows[c.Key].Revision == c.Revision {
			delete(l.rows, c.Key)
		}
	}
}

// digest returns a hash of the keys and revisions of rows, zero for none.
func digest(rows []Change) uint64 {
	if len(rows) == 0 {
		return 0
	}
	h := xxhash.New()
	for _, c := range rows {
		_, _ = h.WriteString(c.Key + "\x00" + c.Revision.String() + "\x00") // never fails
	}
	return h.Sum64()
}

// applyState applies the complete state of the selected rows of a table. If the state is
// of a later era than the replica, the store has gone back to an older state, and selected
// rows of earlier eras count as removed if the state lacks them. It returns false if the
// state is of an earlier era than the replica.
func (n *Node) applyState(t Table, state []Change, revision platform.Revision, selected func(key string) bool) bool {
	before, applied, lost, ok := n.replicas[t].applyState(state, revision, selected)
	if !ok {
		return false
	}
	if t == TableOperator {
		n.keepLostRows(lost, missingRowRetention)
	}
	n.deliver(t, applied)
	if revision.Era() > before.Era() {
		n.log.Event("store.era_changed", "table", int(t), "era", int(revision.Era()), "before", before, "revision", revision, "rows", len(state), "lost", len(lost))
		n.eraChanged.wake()
	}
	if t == TableShared {
		n.applyMissingRows(lost, revision.Era())
		if before != 0 && revision.Era() > before.Era() {
			signal(n.announceDue)
		}
	}
	return true
}

// applyMissingRows passes on which of the lost shared rows are missing. Members whose rows
// are missing stay members as long as they are reachable. Each writes its own row again.
func (n *Node) applyMissingRows(lost []Change, era platform.Era) {
	for _, c := range lost {
		if n.replicas[TableShared].row(c.Key).Revision.Version() > 0 || strings.HasPrefix(c.Key, memberPrefix) {
			continue
		}
		if service, ok := strings.CutPrefix(c.Key, rolloutPrefix); ok {
			n.step(proxy.RolloutMissing{Service: mesh.Service(service), Era: era})
			continue
		}
		n.applySharedRow(Change{Row: platform.Row{Key: c.Key, Revision: platform.NewRevision(era, 0)}, Deleted: true})
	}
}

// stillInForce reports whether an operator's row that the store has lost, or that it has in
// another form, stays in force: it is missing and wasn't removed since, or it is a configuration of which the store
// has an older version.
func (n *Node) stillInForce(c Change) bool {
	current := n.replicas[TableOperator].row(c.Key)
	if c.Deleted || current.Revision.Version() == 0 {
		return !c.Deleted && !n.replicas[TableOperator].has(c.Key)
	}
	old, err := n.platform.DecodeOperatorRow(c.Row)
	if err != nil || old.Configuration == nil {
		return false
	}
	row, err := n.platform.DecodeOperatorRow(current)
	return err != nil || row.Configuration == nil || row.Configuration.Version < old.Configuration.Version
}

// keepLostRows keeps rows in force for the given time and returns those not known yet.
func (n *Node) keepLostRows(rows []Change, left time.Duration) []Change {
	var kept []Change
	for _, c := range rows {
		if n.stillInForce(c) {
			kept = append(kept, c)
		}
	}
	return n.lostRows.add(kept, time.Now().Add(left))
}

// applyPeerChanges applies the changes of the selected rows that a peer has sent. Those of a
// later era than the replica's are the complete state, as no row of it is older.
func (n *Node) applyPeerChanges(t Table, changes []Change, revision platform.Revision, selected func(key string) bool) {
	if revision.Era() > n.replicas[t].completeRevision().Era() {
		n.applyState(t, changes, revision, selected)
		return
	}
	n.applyChanges(t, changes, revision)
}

// packLostRows fills in the lost rows of the reply to a digest.
func (n *Node) packLostRows(known uint64, out *News) error {
	rows, left := n.lostRows.list(time.Now())
	if digest(rows) == known || left <= 0 {
		return nil
	}
	out.Lost, out.LostFor = out.Lost[:0], left // Await fills in the same reply again
	for _, c := range rows {
		p, err := pack(c)
		if err != nil {
			return err
		}
		out.Lost = append(out.Lost, p)
	}
	return nil
}

// applyLostRows applies the rows that a peer keeps in force. A process that was started
// after the change of the era learns of them only in this way.
func (n *Node) applyLostRows(rows []Change, left time.Duration) {
	if left > 0 {
		n.deliver(TableOperator, n.keepLostRows(rows, min(left, missingRowRetention)))
	}
}

// expireLostRows drops the rows that the operator has written again, and after
// missingRowRetention all others, of which the missing ones count as removed.
func (n *Node) expireLostRows() {
	rows, left := n.lostRows.list(time.Now())
	var dropped []Change
	for _, c := range rows {
		if left <= 0 || !n.stillInForce(c) {
			dropped = append(dropped, c)
		}
	}
	n.lostRows.remove(dropped)
	for _, c := range dropped {
		if !n.replicas[TableOperator].has(c.Key) {
			n.log.Event("operator.row_lost", "key", c.Key, "revision", c.Revision)
			// The removal counts from the current era, in which the row has never existed.
			c.Revision, c.Deleted = platform.NewRevision(n.replicas[TableOperator].completeRevision().Era(), 0), true
			n.deliver(TableOperator, []Change{c})
		}
	}
}

// pauseSharedReads pauses between two reads of the shared rows, but not if the operator's
// rows show that the store has changed its era meanwhile.
func (n *Node) pauseSharedReads(ctx context.Context) {
	changed := n.eraChanged.wait()
	if n.replicas[TableOperator].completeRevision().Era() > n.replicas[TableShared].completeRevision().Era() {
		return
	}
	timer := time.NewTimer(n.sharedRowsPause())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-timer.C:
	}
}
