package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

const (
	// operatorWait is the time that the store holds a request for changes of the
	// operator's rows. It bounds the time for which a silent connection hides
	// a change of the configuration.
	operatorWait = time.Second
	// sharedWait is the same for the rows of the nodes, which peers also tell.
	sharedWait = 8 * time.Second
	// storeTimeout bounds any answer of the store, beyond the time it is asked to
	// wait.
	storeTimeout = 700 * time.Millisecond
	// storeBackoff is the pause after a failure of the store, with jitter. It
	// doubles up to longestBackoff.
	storeBackoff   = 300 * time.Millisecond
	longestBackoff = time.Second
	// sharedPause is the pause after changes of the shared rows. Hosts tell their
	// changes to each other, so that the rows are needed only to find hosts that know
	// no other one.
	sharedPause = 3 * time.Second
	// rolloutPause is the same during a roll-out, whose stages spread by its row.
	rolloutPause = 300 * time.Millisecond
	// aloneTime is the time after which a node that has found no other host takes
	// itself for the only one.
	aloneTime = 2500 * time.Millisecond
	// firstStartPause is the pause of a node that finds no other host: all start
	// together, and their rows come with one call after it.
	firstStartPause = 1500 * time.Millisecond
	// operatorPatience is the time after which a node that knows other hosts reads
	// the operator's rows itself. A reader that runs answers within milliseconds.
	operatorPatience = 100 * time.Millisecond
	// startCheck is the period at which a node that lacks a table checks whether it
	// should read it.
	startCheck = 50 * time.Millisecond
	// memberPrefix and rolloutPrefix start the keys of the rows of TableShared.
	memberPrefix  = "member/"
	rolloutPrefix = "rollout/"
)

// follow keeps the replica of a table by the store, unless a reader does.
func (n *Node) follow(ctx context.Context, t Table) {
	wait := operatorWait
	if t == TableShared {
		wait = sharedWait
	}
	// lost is set while the copy may lack rows: the store has forgotten changes, or
	// this node has followed a reader, which sends few of the shared ones.
	alive, lost := false, false
	backoff := storeBackoff
	var after platform.Revision
	for ctx.Err() == nil {
		if !n.reads(t) {
			lost = lost || t == TableShared
			check := readerCheck
			if !n.replicas[t].isLoaded() {
				check = startCheck
			}
			pause(ctx, check)
			continue
		}
		var err error
		if lost || !n.replicas[t].isLoaded() {
			after, err = n.load(ctx, t)
		} else {
			after, err = n.awaitChanges(ctx, t, max(after, n.replicas[t].at()), wait)
		}
		if errorx.IsOfType(err, ErrHistoryLost) {
			lost = true
			n.log.Line(time.Now(), "store.history_lost", "table", int(t), "after", uint64(after))
			continue
		}
		lost = lost && err != nil
		n.tableAnswered(t, err == nil)
		if (err == nil) != alive {
			alive = err == nil
			n.log.Event("store.table", "table", int(t), "alive", alive, "cause", errorText(err))
		}
		if err != nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, longestBackoff)
			continue
		}
		backoff = storeBackoff
		if t == TableShared {
			pause(ctx, n.sharedPause())
		}
	}
}

// reads reports whether this node is to read a table from the store now. The
// shared rows come first: they name the hosts, of which few read the operator's
// rows. A node that finds no other host reads them too, once others that have
// started with it would have announced themselves.
func (n *Node) reads(t Table) bool {
	if t == TableOperator && n.waitsTooLong() {
		return true
	}
	if n.follower.Load() {
		return false
	}
	if t == TableShared || n.replicas[t].isLoaded() || n.substitutes() {
		return true
	}
	alone, reader := true, false
	n.inspect(func(r *proxy.Node) { alone, reader = r.Alone(), r.Role().Reads })
	return reader && (!alone || time.Since(n.started) > aloneTime)
}

// waitsTooLong reports whether a node that has found other hosts still lacks the
// operator's rows. After a restart of many hosts its reader may be one that is
// gone, or not ready yet.
func (n *Node) waitsTooLong() bool {
	found := time.Duration(n.foundHostsAt.Load())
	return found > 0 && !n.replicas[TableOperator].isLoaded() && time.Since(n.started)-found > operatorPatience
}

// sharedPause returns the pause after changes of the shared rows, so that the rows
// of many hosts that change together come in few calls.
func (n *Node) sharedPause() time.Duration {
	alone, moving := false, false
	n.inspect(func(r *proxy.Node) { alone, moving = r.Alone(), r.RollingOut() })
	switch {
	case alone:
		return firstStartPause
	case moving:
		return rolloutPause
	}
	return sharedPause
}

// tableAnswered notes whether the store answered the last call about a table. The
// store counts as alive while it answers about both: a call about the operator's
// rows ends first, and followers must not wait for the other one.
func (n *Node) tableAnswered(t Table, alive bool) {
	changed := n.answers[t].Swap(alive) != alive
	n.step(proxy.StoreState{
		Loaded: n.loaded(), Alive: n.answers[TableOperator].Load() && n.answers[TableShared].Load(),
	})
	if changed {
		n.changed.wake()
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

func (n *Node) load(ctx context.Context, t Table) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.totals.storeReads.Add(1)
	rows, revision, err := n.platform.Rows(ctx, t)
	if err != nil {
		return 0, err
	}
	changes := make([]Change, 0, len(rows))
	for _, r := range rows {
		changes = append(changes, Change{Row: r})
	}
	n.take(t, changes, revision)
	n.replicas[t].setLoaded()
	alone := true
	n.inspect(func(r *proxy.Node) { alone = r.Alone() })
	if t == TableShared && !alone {
		n.foundHostsAt.CompareAndSwap(0, int64(time.Since(n.started)))
	}
	return revision, nil
}

func (n *Node) awaitChanges(ctx context.Context, t Table, after platform.Revision, wait time.Duration) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+storeTimeout)
	defer cancel()
	n.totals.storeReads.Add(1)
	changes, revision, err := n.platform.Changes(ctx, t, after, wait)
	if err != nil {
		return after, err
	}
	n.take(t, changes, revision)
	return max(after, revision), nil
}

// take applies changes of a table and gives the news to the reducer.
func (n *Node) take(t Table, changes []Change, revision platform.Revision) {
	news := n.replicas[t].apply(changes, revision)
	if len(news) > 0 {
		defer n.changed.wake()
	}
	for _, c := range news {
		if t == TableOperator {
			n.takeOperatorRow(c)
		} else {
			n.takeSharedRow(c)
		}
	}
}

func (n *Node) takeOperatorRow(c Change) {
	if c.Deleted {
		return // a configuration and an order hold until another follows
	}
	row, err := n.platform.DecodeOperatorRow(c.Row)
	switch {
	case err != nil:
		n.log.Line(time.Now(), "operator.row_unreadable", "key", c.Key, "revision", uint64(c.Revision), "error", err.Error())
	case row.Configuration != nil:
		n.step(proxy.ConfigurationSeen{Snapshot: row.Configuration})
	case row.Order != nil:
		n.step(proxy.OrderSeen{Order: *row.Order})
	}
}

func (n *Node) takeSharedRow(c Change) {
	if host, ok := strings.CutPrefix(c.Key, memberPrefix); ok {
		n.takeMember(mesh.HostID(host), c)
		return
	}
	if !strings.HasPrefix(c.Key, rolloutPrefix) || c.Deleted {
		return
	}
	var row rollout.Row
	if err := json.Unmarshal(c.Value, &row); err != nil {
		n.log.Line(time.Now(), "store.row_unreadable", "key", c.Key, "error", err.Error())
		return
	}
	row.Revision = uint64(c.Revision)
	n.step(proxy.RolloutSeen{Row: row})
}

func (n *Node) takeMember(host mesh.HostID, c Change) {
	if c.Deleted {
		n.step(proxy.MemberRemoved{Host: host})
		return
	}
	var m proxy.Member
	if err := json.Unmarshal(c.Value, &m); err != nil || m.Host != host {
		n.log.Line(time.Now(), "store.row_unreadable", "key", c.Key, "host", string(m.Host))
		return
	}
	n.step(proxy.MembersSeen{Members: []proxy.Member{m}, FromStore: true})
}
