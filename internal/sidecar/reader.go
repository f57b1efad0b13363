package sidecar

import (
	"bytes"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/poison"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// Only a few nodes of a failure domain, the readers, read the store. The other nodes
// follow a reader by long polls, so that a change costs the store a handful of calls
// whatever the number of nodes. A node whose reader fails reads the store itself.
const (
	// pollHold is the time for which a reader holds a poll while nothing changes. A
	// reader that doesn't answer is noticed after pollHold plus peerTimeout.
	pollHold = 500 * time.Millisecond
	// mismatchHold is the time for which a poll is held if the follower's list of
	// members differs from the reader's, so that a lasting difference costs little.
	mismatchHold = 300 * time.Millisecond
	// recentChangeHold replaces mismatchHold if the difference may be due to a change
	// since the follower's last poll.
	recentChangeHold = 50 * time.Millisecond
	// substituteTime is the time for which a node reads the store itself after it has
	// found that the store answers this node but not its reader.
	substituteTime = 3 * time.Second
	// storeProbeInterval is the mean period at which a substitute (see proxy.Role) calls
	// the store itself while its reader has lost the store.
	storeProbeInterval = 5 * time.Second
	// storeDownPollPause is the pause between polls of a reader that has lost the store,
	// and between those of a node that has not loaded the tables yet.
	storeDownPollPause = 100 * time.Millisecond
	// notifyInterval is the least time between two notifications about this host's
	// record.
	notifyInterval = 50 * time.Millisecond
	// roleCheckInterval is the period at which a node checks whether it should read
	// the store itself or follow a reader.
	roleCheckInterval = 200 * time.Millisecond
)

// RPC methods for followers.
const (
	methodAwait  = peerService + ".Await"
	methodNotify = peerService + ".Notify"
)

// broadcast wakes all waiting goroutines at each call of wake.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that is closed by the next call of wake.
func (b *broadcast) wait() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch == nil {
		b.ch = make(chan struct{})
	}
	return b.ch
}

func (b *broadcast) wake() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ch != nil {
		close(b.ch)
		b.ch = nil
	}
}

// Await is a long poll. It answers a digest with a delta as soon as there are rows that
// the caller lacks, the members known here change, or the store is lost, and at the
// latest after the hold time.
func (s *PeerService) Await(d Digest, out *News) error {
	n := s.node
	members, err := n.buildDelta(&d, out)
	if err != nil {
		return err
	}
	hold := time.NewTimer(n.holdTime(len(out.Members) > 0))
	defer hold.Stop()
	for len(out.Operator)+len(out.Shared) == 0 && !out.OperatorListed && out.StoreAlive {
		changed := n.stateChanged.wait()
		// A change between the last buildDelta and the call of wait wakes nobody, so
		// build the delta once more.
		current, err := n.buildDelta(&d, out)
		if err != nil || len(out.Operator)+len(out.Shared) > 0 || out.OperatorListed || !out.StoreAlive || !bytes.Equal(current, members) {
			return err
		}
		select {
		case <-changed:
		case <-hold.C:
			return nil
		}
	}
	return nil
}

// holdTime returns the time for which a poll is held while nothing changes. mismatch is
// set if the two nodes know different members.
func (n *Node) holdTime(mismatch bool) time.Duration {
	switch {
	case !mismatch:
		return pollHold
	case time.Since(n.started)-time.Duration(n.membersChangedAt.Load()) < pollHold:
		return recentChangeHold
	}
	return mismatchHold
}

// Notice is sent to the readers as soon as a host's record changes. It holds the
// record and, as the change may be due to a crash of the instance, the requests that
// crash instances.
type Notice struct {
	Self   proxy.Member
	Poison []poison.Entry
}

// Notify applies the changed record of a host.
func (s *PeerService) Notify(notice Notice, _ *struct{}) error {
	s.node.step(proxy.PoisonSeen{Entries: notice.Poison})
	s.node.step(proxy.PeerSeen{Member: notice.Self})
	return nil
}

// notifyReaders sends each change of this host's record to the readers of all
// failure domains. Followers get it from their readers by their polls.
func (n *Node) notifyReaders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.notifyDue:
		}
		var notice Notice
		var readers []proxy.Member
		n.inspect(func(r *proxy.Node) { notice, readers = Notice{r.Self(), r.PoisonEntries(n.now())}, r.Readers() })
		for _, reader := range readers {
			go func() {
				if err := n.peers.call(reader.PeerAddr, methodNotify, notice, new(struct{}), peerTimeout); err != nil {
					n.log.Line(time.Now(), "reader.not_notified", "reader", string(reader.Host), "error", err.Error())
				}
			}()
		}
		pause(ctx, notifyInterval)
	}
}

// followReader keeps this node's replicas up to date by polling a reader of its failure
// domain while its role is to follow one. It also decides when to substitute for a
// reader that has lost the store.
func (n *Node) followReader(ctx context.Context) {
	var probeAt time.Time
	for ctx.Err() == nil {
		var role proxy.Role
		n.inspect(func(r *proxy.Node) { role = r.Role() })
		if role.Reads || n.isSubstitute() {
			n.following.Store(false)
			pause(ctx, roleCheckInterval)
			continue
		}
		reader := role.Reader
		alive, err := n.pollReader(ctx, reader)
		if err != nil {
			// Until an exchange with this host succeeds, it counts as unreachable, and
			// another host is the reader.
			n.log.Line(time.Now(), "reader.lost", "reader", string(reader.Host), "error", err.Error())
			n.step(proxy.PeerChecked{Host: reader.Host, Alive: false})
			go n.catchUpWithOperator(ctx)
			continue
		}
		n.step(proxy.PeerChecked{Host: reader.Host, Alive: true})
		if !n.following.Swap(true) {
			n.log.Line(time.Now(), "reader.followed", "reader", string(reader.Host))
		}
		n.step(proxy.StoreState{Loaded: n.allTablesLoaded(), Alive: alive})
		if alive {
			probeAt = time.Now().Add(rand.N(mismatchHold))
			continue
		}
		if !role.Substitute || time.Now().Before(probeAt) {
			pause(ctx, storeDownPollPause)
			continue
		}
		probeAt = time.Now().Add(storeProbeInterval/2 + rand.N(storeProbeInterval))
		if n.probeStore(ctx) {
			n.substituteUntil.Store(int64(time.Since(n.started) + substituteTime))
		}
	}
}

// catchUpWithOperator reads the changes of the operator's rows from the store once. A node that
// has lost its reader tries the other hosts in turn, each until a time-out if it is this node
// that is cut off, and would not learn of a new configuration in time.
func (n *Node) catchUpWithOperator(ctx context.Context) {
	if !n.replicas[TableOperator].isLoaded() || !n.catchingUp.CompareAndSwap(false, true) {
		return
	}
	defer n.catchingUp.Store(false)
	_, err := n.pollChanges(ctx, TableOperator, n.replicas[TableOperator].completeRevision(), 0)
	if errorx.IsOfType(err, ErrHistoryLost) {
		_, err = n.loadTable(ctx, TableOperator)
	}
	if err != nil {
		n.log.Line(time.Now(), "reader.catch_up_failed", "error", err.Error())
	}
}

// isSubstitute reports whether this node currently reads the store in place of its reader.
func (n *Node) isSubstitute() bool {
	return time.Since(n.started) < time.Duration(n.substituteUntil.Load())
}

// pollReader gets a delta from a reader by a long poll and reports whether the store
// answers the reader. A node that has not loaded the tables yet uses a plain exchange
// instead, so that it loses no time to a reader that doesn't answer. During the first
// aloneTimeout, a reader that is still loading is assumed to reach the store, as it may
// have started at the same time as this node.
func (n *Node) pollReader(ctx context.Context, reader proxy.Member) (storeAlive bool, err error) {
	if n.allTablesLoaded() {
		return n.peers.awaitDelta(reader)
	}
	delta, err := n.peers.requestDelta(reader.Host, reader.PeerAddr, methodExchange, peerTimeout)
	if err != nil {
		return false, err
	}
	if !n.allTablesLoaded() {
		pause(ctx, storeDownPollPause)
	}
	return delta.StoreAlive || !delta.Loaded && time.Since(n.started) < aloneTimeout, nil
}

// probeStore makes one call to the store and reports whether the store answers.
func (n *Node) probeStore(ctx context.Context) bool {
	_, err := n.pollChanges(ctx, TableShared, n.replicas[TableShared].completeRevision(), 0)
	alive := err == nil || errorx.IsOfType(err, ErrHistoryLost)
	n.log.Line(time.Now(), "reader.probed_store", "alive", alive, "error", errorText(err))
	return alive
}

// errorText returns the text of an error for the log, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// allTablesLoaded reports whether both replicated tables have been read since the start.
func (n *Node) allTablesLoaded() bool {
	return n.replicas[TableOperator].isLoaded() && n.replicas[TableShared].isLoaded()
}
