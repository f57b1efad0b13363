package sidecar

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

const (
	// operatorPollWait is the time for which the store holds a long poll for changes of
	// the operator's rows. It bounds how long a connection that has stopped delivering
	// can hide a change of the configuration.
	operatorPollWait = time.Second
	// sharedPollWait is the time for which the store holds a long poll for changes of
	// the shared rows. It is longer because peers also send each other the member
	// records and the rows of roll-outs (see Delta).
	sharedPollWait = 8 * time.Second
	// storeTimeout bounds the time for any answer of the store to a read, in addition to
	// the time for which it was asked to hold a poll.
	storeTimeout = 700 * time.Millisecond
	// storeBackoff is the mean pause after a failed call to the store. It is jittered
	// and doubles with each further failure up to maxStoreBackoff.
	storeBackoff    = 300 * time.Millisecond
	maxStoreBackoff = time.Second
	// sharedPause is the pause after each read of the shared rows. Hosts exchange their
	// member records directly, so the member rows are needed only to find hosts that
	// know no other host.
	sharedPause = 3 * time.Second
	// rolloutPause replaces sharedPause during a roll-out. Hosts learn of its stages only
	// from its row, which the readers read from the store and the other nodes get from
	// their peers.
	rolloutPause = 300 * time.Millisecond
	// quotaPause replaces sharedPause while tenants have quotas, so that the hosts learn of
	// a new coordinator before their shares expire.
	quotaPause = time.Second
	// aloneTimeout is the time since the start after which a node that has found no
	// other host assumes that it is the only one. Hosts that started at the same time
	// should have announced themselves by then.
	aloneTimeout = 2500 * time.Millisecond
	// alonePause replaces sharedPause on a node that has found no other host. All hosts
	// may have started together, and after this pause one call returns the rows of all of
	// them.
	alonePause = 1500 * time.Millisecond
	// operatorRowsTimeout is the time after which a node that has found other hosts, but
	// has not got the operator's rows from its reader, reads them from the store itself.
	// A reader that runs answers within milliseconds.
	operatorRowsTimeout = 100 * time.Millisecond
	// loadCheckInterval is the period at which a node that has not loaded a table yet
	// checks whether it should read it from the store.
	loadCheckInterval = 50 * time.Millisecond
	// memberPrefix and rolloutPrefix are the prefixes of the keys of TableShared.
	memberPrefix  = "member/"
	rolloutPrefix = "rollout/"
)

// syncTable keeps the replica of a table up to date from the store while this node is
// to read the table itself. A node that is not to do so follows a reader, a node of its
// failure domain that reads the store: it gets the changes by polling the reader (see
// followReader). A substitute is a follower whose part is to try the store when its reader
// has lost it (see proxy.Role) and, if the store answers, to read it for substituteTime.
func (n *Node) syncTable(ctx context.Context, t Table) {
	wait := operatorPollWait
	if t == TableShared {
		wait = sharedPollWait
	}
	// incomplete is set while the replica may lack rows: the store no longer keeps some
	// changes, or this node has followed a reader, which sends only some of the shared
	// rows. alive is set while calls to the store about the table succeed.
	alive, incomplete := false, false
	backoff := storeBackoff
	// after is the revision up to which this node has read the table itself. If the era of
	// the replica is later, the replica got it from a peer, which sends only some rows.
	var after platform.Revision
	for ctx.Err() == nil {
		if !n.shouldRead(t) {
			incomplete = incomplete || t == TableShared
			interval := roleCheckInterval
			if !n.replicas[t].isLoaded() {
				interval = loadCheckInterval
			}
			pause(ctx, interval)
			continue
		}
		var err error
		if incomplete || !n.replicas[t].isLoaded() || n.replicas[t].completeRevision().Era() > after.Era() {
			after, err = n.loadTable(ctx, t)
		} else {
			after, err = n.pollChanges(ctx, t, max(after, n.replicas[t].completeRevision()), wait)
		}
		if errorx.IsOfType(err, ErrHistoryLost) {
			incomplete = true
			n.log.Line(time.Now(), "store.history_lost", "table", int(t), "after", after)
			continue
		}
		incomplete = incomplete && err != nil
		n.setTableAlive(t, err == nil)
		if (err == nil) != alive {
			alive = err == nil
			n.log.Event("store.table", "table", int(t), "alive", alive, "cause", errorText(err))
		}
		if err != nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxStoreBackoff)
			continue
		}
		backoff = storeBackoff
		if t == TableShared {
			n.pauseSharedReads(ctx)
		}
	}
}

// shouldRead reports whether this node is to read a table from the store now. A node that
// starts reads the shared rows first: they list the hosts, of which only the readers read
// the operator's rows. A node that finds no other host reads the operator's rows too, but
// not before aloneTimeout has passed: by then, hosts that started at the same time should
// have announced themselves.
func (n *Node) shouldRead(t Table) bool {
	if t == TableOperator && n.operatorRowsOverdue() {
		return true
	}
	if n.following.Load() {
		return false
	}
	if t == TableShared || n.replicas[t].isLoaded() || n.isSubstitute() {
		return true
	}
	alone, isReader := true, false
	n.inspect(func(r *proxy.Node) { alone, isReader = r.Alone(), r.Role().Reads })
	return isReader && (!alone || time.Since(n.started) > aloneTimeout)
}

// operatorRowsOverdue reports whether this node found other hosts more than
// operatorRowsTimeout ago and still lacks the operator's rows. After a restart of many
// hosts, its reader may be a host that is gone or not ready yet.
func (n *Node) operatorRowsOverdue() bool {
	foundAt := time.Duration(n.foundHostsAt.Load())
	return foundAt > 0 && !n.replicas[TableOperator].isLoaded() && time.Since(n.started)-foundAt > operatorRowsTimeout
}

// sharedRowsPause returns the pause after a read of the shared rows. Because of the pause,
// rows of many hosts that change at about the same time are read with few calls.
func (n *Node) sharedRowsPause() time.Duration {
	alone, rollingOut, quotas := false, false, false
	n.inspect(func(r *proxy.Node) { alone, rollingOut, quotas = r.Alone(), r.RollingOut(), r.HasQuotas() })
	switch {
	case alone:
		return alonePause
	case rollingOut:
		return rolloutPause
	case quotas:
		return quotaPause
	}
	return sharedPause
}

// setTableAlive records whether the latest call to the store about a table succeeded. The
// store counts as alive only while calls about both tables succeed: in an outage, the poll
// for the operator's rows fails first, because the store holds it for a shorter time, and
// followers must not have to wait until the poll for the shared rows fails too.
func (n *Node) setTableAlive(t Table, alive bool) {
	changed := n.tableAlive[t].Swap(alive) != alive
	n.step(proxy.StoreState{
		Loaded: n.allTablesLoaded(), Alive: n.tableAlive[TableOperator].Load() && n.tableAlive[TableShared].Load(),
	})
	if changed {
		n.stateChanged.wake()
	}
}

// pause waits for the given time or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// loadTable reads all rows of a table from the store and applies them.
func (n *Node) loadTable(ctx context.Context, t Table) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.ioCounters.storeReads.Add(1)
	rows, revision, err := n.platform.Rows(ctx, t)
	if err != nil {
		return 0, err
	}
	changes := make([]Change, 0, len(rows))
	for _, r := range rows {
		changes = append(changes, Change{Row: r})
	}
	if t == TableOperator {
		changes = n.addRemovals(changes, revision, rowKeys(rows))
		n.replicas[t].setHistoryStart(revision) // before peers can see the new revision
	}
	if !n.applyState(t, changes, revision, allRows) {
		return 0, ErrStore.New("the store answered with era %d after a later one", revision.Era())
	}
	n.replicas[t].setLoaded()
	alone := true
	n.inspect(func(r *proxy.Node) { alone = r.Alone() })
	if t == TableShared && !alone {
		n.foundHostsAt.CompareAndSwap(0, int64(time.Since(n.started)))
	}
	return revision, nil
}

// pollChanges waits for changes of a table after a revision and applies them. It returns
// the revision to continue after.
func (n *Node) pollChanges(ctx context.Context, t Table, after platform.Revision, wait time.Duration) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	n.ioCounters.storeReads.Add(1)
	changes, revision, err := n.platform.Changes(ctx, t, after, wait)
	if err != nil {
		return after, err
	}
	n.applyChanges(t, changes, revision)
	return max(after, revision), nil
}

// applyChanges applies changes to the replica of a table. Those that are newer than the
// replica's rows are passed on to the reducer.
func (n *Node) applyChanges(t Table, changes []Change, revision platform.Revision) {
	n.deliver(t, n.replicas[t].apply(changes, revision))
}

// deliver passes changes of a table on to the reducer.
func (n *Node) deliver(t Table, applied []Change) {
	if len(applied) > 0 {
		defer n.stateChanged.wake()
	}
	if t == TableOperator {
		n.evacuationsFirst(applied)
	}
	for _, c := range applied {
		if t == TableOperator {
			n.applyOperatorRow(c)
		} else {
			n.applySharedRow(c)
		}
	}
}

// evacuationsFirst moves evacuations before other changes. With the configuration, the node
// begins to send requests and opens its gate.
func (n *Node) evacuationsFirst(changes []Change) {
	order := func(c Change) int {
		if _, ok := n.platform.EvacuatedDomain(c.Key); ok {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(order(a), order(b)) })
}

func (n *Node) applyOperatorRow(c Change) {
	if domain, ok := n.platform.EvacuatedDomain(c.Key); ok {
		n.step(proxy.EvacuationSeen{Domain: domain, Revision: uint64(c.Revision), Removed: c.Deleted})
		return
	}
	if c.Deleted {
		return // a configuration or an order of a roll-out stays in force until it is replaced by another
	}
	row, err := n.platform.DecodeOperatorRow(c.Row)
	switch {
	case err != nil:
		n.log.Line(time.Now(), "operator.row_unreadable", "key", c.Key, "revision", c.Revision, "error", err.Error())
	case row.Configuration != nil:
		n.step(proxy.ConfigurationSeen{Snapshot: row.Configuration})
	case row.Order != nil:
		n.step(proxy.OrderSeen{Order: *row.Order})
	}
}

func (n *Node) applySharedRow(c Change) {
	if host, ok := strings.CutPrefix(c.Key, memberPrefix); ok {
		n.applyMemberRow(mesh.HostID(host), c)
		return
	}
	if c.Key == quotaRowKey {
		n.applyQuotaRow(c)
		return
	}
	service, ok := strings.CutPrefix(c.Key, rolloutPrefix)
	if !ok || c.Deleted {
		return
	}
	var row rollout.Row
	if err := json.Unmarshal(c.Value, &row); err != nil || string(row.Service) != service {
		n.log.Line(time.Now(), "store.row_unreadable", "key", c.Key, "error", errorText(err))
		row = rollout.Row{Service: mesh.Service(service)} // invalid; the driver replaces it
	}
	row.Revision = c.Revision
	n.step(proxy.RolloutSeen{Row: row})
}

func (n *Node) applyMemberRow(host mesh.HostID, c Change) {
	if c.Deleted {
		n.step(proxy.MemberRemoved{Host: host})
		return
	}
	var m proxy.Member
	// A row is also unreadable if the host in its value is not the one in its key.
	if err := json.Unmarshal(c.Value, &m); err != nil || m.Host != host || !m.Valid() {
		n.log.Line(time.Now(), "store.row_unreadable", "key", c.Key, "host", string(m.Host), "error", errorText(err))
		return
	}
	n.step(proxy.MembersSeen{Members: []proxy.Member{m}, FromStore: true})
}
