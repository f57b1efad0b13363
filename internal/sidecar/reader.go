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
	// recentHold is the same for a difference that may be due to a change since the
	// follower's last poll.
	recentHold = 50 * time.Millisecond
	// selfReadTime is the time for which a node reads the store itself once it has
	// found that the store answers it and not its reader.
	selfReadTime = 3 * time.Second
	// probeInterval is the mean period at which a substitute whose reader has lost
	// the store tries the store itself.
	probeInterval = 5 * time.Second
	// probePause is the pause between polls of a reader that has lost the store.
	probePause = 100 * time.Millisecond
	// notifyPause is the least time between two notifications of this host's record.
	notifyPause = 50 * time.Millisecond
	// readerCheck is the period at which a node that reads the store checks
	// whether it should follow a reader.
	readerCheck = 200 * time.Millisecond
)

// Methods for followers.
const (
	methodAwait  = peerService + ".Await"
	methodNotify = peerService + ".Notify"
)

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
	known, err := n.exchange(&d, out)
	if err != nil {
		return err
	}
	hold := time.NewTimer(n.holdTime(len(out.Members) > 0))
	defer hold.Stop()
	for len(out.Operator)+len(out.Shared) == 0 && out.StoreAlive {
		changed := n.changed.wait()
		// A change between the last exchange and the wait wakes nobody.
		now, err := n.exchange(&d, out)
		if err != nil || len(out.Operator)+len(out.Shared) > 0 || !out.StoreAlive || !bytes.Equal(now, known) {
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

// holdTime returns the time for which a poll is held without news. mismatch is set
// if the members that the two nodes know differ.
func (n *Node) holdTime(mismatch bool) time.Duration {
	switch {
	case !mismatch:
		return followHold
	case time.Since(n.started)-time.Duration(n.membersAt.Load()) < followHold:
		return recentHold
	}
	return mismatchHold
}

// Notice is what a host tells the readers at once: its changed record and, as the
// change may be the crash of its instance, the requests that crash instances.
type Notice struct {
	Self   proxy.Member
	Poison []poison.Entry
}

// Notify takes in what has changed at a host.
func (s *PeerService) Notify(notice Notice, _ *struct{}) error {
	s.node.step(proxy.PoisonSeen{Entries: notice.Poison})
	s.node.step(proxy.PeerSeen{Member: notice.Self})
	return nil
}

// notifyReaders sends each change of this host's record to the readers of all
// failure domains. Their followers learn it by their polls.
func (n *Node) notifyReaders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.recordChanged:
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
		pause(ctx, notifyPause)
	}
}

// followReader keeps this node's replicas by following a reader of its failure
// domain, and decides whether it reads the store itself.
func (n *Node) followReader(ctx context.Context) {
	var probeAt time.Time
	for ctx.Err() == nil {
		var role proxy.Role
		n.inspect(func(r *proxy.Node) { role = r.Role() })
		if role.Reads || n.substitutes() {
			n.follower.Store(false)
			pause(ctx, readerCheck)
			continue
		}
		reader := role.Reader
		alive, err := n.awaitReader(ctx, reader)
		if err != nil {
			// Another host becomes the reader until an exchange with this one succeeds.
			n.log.Line(time.Now(), "reader.lost", "reader", string(reader.Host), "error", err.Error())
			n.step(proxy.PeerChecked{Host: reader.Host, Alive: false})
			continue
		}
		n.step(proxy.PeerChecked{Host: reader.Host, Alive: true})
		if !n.follower.Swap(true) {
			n.log.Line(time.Now(), "reader.followed", "reader", string(reader.Host))
		}
		n.step(proxy.StoreState{Loaded: n.loaded(), Alive: alive})
		if alive {
			probeAt = time.Now().Add(rand.N(mismatchHold))
			continue
		}
		if !role.Substitute || time.Now().Before(probeAt) {
			pause(ctx, probePause)
			continue
		}
		probeAt = time.Now().Add(probeInterval/2 + rand.N(probeInterval))
		if n.probeStore(ctx) {
			n.substituteUntil.Store(int64(time.Since(n.started) + selfReadTime))
		}
	}
}

// substitutes reports whether this node reads the store in place of its reader.
func (n *Node) substitutes() bool {
	return time.Since(n.started) < time.Duration(n.substituteUntil.Load())
}

// awaitReader asks a reader for news and waits for it, but for a node that has
// just started: it lacks the rows and must not lose time to a silent reader. A
// reader that has started with it counts as alive while it may still be loading.
func (n *Node) awaitReader(ctx context.Context, reader proxy.Member) (storeAlive bool, err error) {
	if n.loaded() {
		return n.peers.await(reader)
	}
	news, err := n.peers.ask(reader.Host, reader.PeerAddr, methodExchange, peerTimeout)
	if err != nil {
		return false, err
	}
	if !n.loaded() {
		pause(ctx, probePause)
	}
	return news.StoreAlive || !news.Loaded && time.Since(n.started) < aloneTime, nil
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
