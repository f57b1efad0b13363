package sidecar

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// A failure domain has few readers of the store. Its other nodes follow a
// reader by long polls, so that a change costs the store a handful of calls
// whatever the number of nodes. A node whose reader fails reads the store itself.
const (
	// followHold is the time for which a reader holds a poll without news. A
	// reader that is silent is noticed after this time and peerTimeout.
	followHold = 500 * time.Millisecond
	// mismatchHold is the least hold of a poll by a node whose list of members
	// differs, so that a difference that lasts costs little.
	mismatchHold = 300 * time.Millisecond
	// selfReadTime is the time for which a node reads the store itself once it has
	// found that the store answers it and not its reader.
	selfReadTime = 3 * time.Second
	// probeInterval is the mean period at which a node whose reader has lost the
	// store tries the store itself. In an outage each refused call is a load on
	// the store, and peers tell what changes.
	probeInterval = 5 * time.Second
	// probePause is the pause between polls of a reader that has lost the store.
	probePause = 100 * time.Millisecond
	// readerCheck is the period at which a node that reads the store checks
	// whether it should follow a reader.
	readerCheck = 200 * time.Millisecond
)

const methodAwait = peerService + ".Await"

// broadcast wakes all waiters at each change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{}
}

// wait returns a channel that closes at the next change.
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

// Await answers a digest with news, once there is some.
func (s *PeerService) Await(d Digest, out *News) error {
	n := s.node
	began := time.Now()
	hold := time.NewTimer(followHold)
	defer hold.Stop()
	for {
		changed := n.changed.wait()
		if err := s.Exchange(d, out); err != nil {
			return err
		}
		mismatch := len(out.Members) > 0 && time.Since(began) >= mismatchHold
		if len(out.Operator)+len(out.Shared) > 0 || mismatch || !out.StoreAlive {
			return nil
		}
		select {
		case <-changed:
		case <-hold.C:
			return nil
		}
	}
}

// followReader keeps this node's replicas by following a reader of its failure
// domain, and decides whether it reads the store itself.
func (n *Node) followReader(ctx context.Context) {
	var selfUntil, probeAt time.Time
	for ctx.Err() == nil {
		var reader proxy.Member
		own := true
		n.inspect(func(r *proxy.Node) { reader, own = r.Reader() })
		if own || !n.loaded() || time.Now().Before(selfUntil) {
			n.follower.Store(false)
			pause(ctx, readerCheck)
			continue
		}
		alive, err := n.peers.await(reader)
		if err != nil {
			// Another host becomes the reader until an exchange with this one succeeds.
			n.log.Line(time.Now(), "reader.lost", "reader", string(reader.Host), "error", err.Error())
			n.step(proxy.PeerChecked{Host: reader.Host, Alive: false})
			continue
		}
		if !n.follower.Swap(true) {
			n.log.Line(time.Now(), "reader.followed", "reader", string(reader.Host))
		}
		n.step(proxy.StoreState{Loaded: true, Alive: alive})
		if alive {
			probeAt = time.Now().Add(rand.N(mismatchHold))
			continue
		}
		if time.Now().Before(probeAt) {
			pause(ctx, probePause)
			continue
		}
		probeAt = time.Now().Add(probeInterval/2 + rand.N(probeInterval))
		if n.probeStore(ctx) {
			selfUntil = time.Now().Add(selfReadTime)
		}
	}
}

// probeStore makes one call to the store and reports whether it answers.
func (n *Node) probeStore(ctx context.Context) bool {
	_, err := n.awaitChanges(ctx, TableShared, n.replicas[TableShared].at(), 0)
	alive := err == nil || errorx.IsOfType(err, ErrHistoryLost)
	n.log.Line(time.Now(), "reader.probed_store", "alive", alive, "error", errorText(err))
	return alive
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// loaded reports whether all tables were read since the start.
func (n *Node) loaded() bool {
	return n.replicas[TableOperator].isLoaded() && n.replicas[TableShared].isLoaded()
}
