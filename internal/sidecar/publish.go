package sidecar

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/joomcode/errorx"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/rollout"
)

const (
	// announceInterval is the least time between two writes of this host's row, in
	// which the changes of an instance that is replaced come together.
	announceInterval = 3 * time.Second
	// longestWriteBackoff bounds the pause between failed writes of this host's
	// row, which starts at storeBackoff.
	longestWriteBackoff = 3 * time.Second
	// firstAnnounce is the time that a new process waits for its instance before
	// it writes its row, so that most hosts write one row and not two.
	firstAnnounce = 2500 * time.Millisecond
	// commitTimeout bounds the answer to a write.
	commitTimeout = 900 * time.Millisecond
	// rolloutQueue bounds the roll-out rows that wait to be written.
	rolloutQueue = 16
)

// announce keeps this host's row in the store at its present state. Hosts tell
// each other changes, and the row serves those that find no other host.
func (n *Node) announce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.announced: // the instance has reported
		signal(n.announced)
	case <-time.After(firstAnnounce):
		signal(n.announced)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.announced:
		}
		for !n.replicas[TableShared].isLoaded() && ctx.Err() == nil {
			pause(ctx, readerCheck) // the row's revision is not known yet
		}
		backoff := storeBackoff
		for n.rowDiffers() && n.writeSelf(ctx) != nil && ctx.Err() == nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, longestWriteBackoff)
		}
		pause(ctx, announceInterval)
	}
}

// rowDiffers reports whether the host's row lacks what others need to find the
// host, or what the next process needs to find the instance. Whether the gate is
// open and which process runs is told between hosts.
func (n *Node) rowDiffers() bool {
	var self, written proxy.Member
	n.inspect(func(r *proxy.Node) { self = r.Self() })
	row := n.replicas[TableShared].row(memberPrefix + string(self.Host))
	if row.Revision == 0 || json.Unmarshal(row.Value, &written) != nil {
		return true
	}
	return self.ForwardAddr != written.ForwardAddr || self.PeerAddr != written.PeerAddr || self.Domain != written.Domain ||
		self.LinkMbps != written.LinkMbps || self.Instance != nil && instanceDiffers(self.Instance, written.Instance)
}

func instanceDiffers(i, written *proxy.MemberInstance) bool {
	return written == nil || i.ID != written.ID || i.Service != written.Service || i.Version != written.Version ||
		i.Slots != written.Slots || i.Born != written.Born
}

// writeSelf writes the row under the condition that it is the one last seen. A
// write that the store performs late can then not replace a newer one.
func (n *Node) writeSelf(ctx context.Context) error {
	var self proxy.Member
	n.inspect(func(r *proxy.Node) { self = r.Self() })
	value, err := json.Marshal(self)
	if err != nil {
		return errorx.Decorate(err, "encode the record of %s", self.Host)
	}
	key := memberPrefix + string(self.Host)
	present := n.replicas[TableShared].row(key)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.totals.storeWrites.Add(1)
	revision, conflict, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: present.Revision},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key, Value: value}}})
	switch {
	case err == nil:
		n.keep(platform.Row{Key: key, Value: value, Revision: revision})
	case errorx.IsOfType(err, ErrConflict):
		n.keep(conflict)
	default:
		n.log.Line(time.Now(), "store.write_failed", "key", key, "error", err.Error())
	}
	return err
}

// keep takes in a row that a write has shown.
func (n *Node) keep(row platform.Row) {
	if row.Revision > 0 {
		n.take(TableShared, []Change{{Row: row}}, 0)
	}
}

type rolloutWrite struct{ rollout.Write }

func (n *Node) queueRollout(w rollout.Write) {
	select {
	case n.rollouts <- rolloutWrite{w}:
	default: // the reducer repeats a write that shows no effect
	}
}

// writeRollouts writes the rows of roll-outs that this host drives, together
// with what operators read of them.
func (n *Node) writeRollouts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.rollouts:
			if err := n.writeRollout(ctx, w.Write); err != nil {
				n.log.Line(time.Now(), "rollout.write_failed", "service", string(w.Row.Service), "error", err.Error())
			}
		}
	}
}

func (n *Node) writeRollout(ctx context.Context, w rollout.Write) error {
	value, err := json.Marshal(w.Row)
	if err != nil {
		return errorx.Decorate(err, "encode the roll-out of %s", w.Row.Service)
	}
	status, err := n.platform.EncodeStatus(w.Row)
	if err != nil {
		return err
	}
	key := rolloutPrefix + string(w.Row.Service)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.totals.storeWrites.Add(1)
	revision, conflict, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: platform.Revision(w.Expect)},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key, Value: value}}, {Table: TableStatus, Put: status}})
	switch {
	case err == nil:
		n.keep(platform.Row{Key: key, Value: value, Revision: revision})
	case errorx.IsOfType(err, ErrConflict):
		n.keep(conflict)
	}
	return err
}

// removeRow removes the row of a host that is gone, unless it has changed.
func (n *Node) removeRow(ctx context.Context, host mesh.HostID) {
	key := memberPrefix + string(host)
	present := n.replicas[TableShared].row(key)
	if present.Revision == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.totals.storeWrites.Add(1)
	_, _, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: present.Revision},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key}, Delete: true}})
	n.log.Line(time.Now(), "member.row_removed", "about", string(host), "error", errorText(err))
}
