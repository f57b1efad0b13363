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
	// announceInterval is the least time between two writes of this host's row. The
	// several changes during the replacement of an instance are combined into one write.
	announceInterval = 3 * time.Second
	// maxWriteBackoff bounds the backoff between failed writes of this host's row,
	// which starts at storeBackoff.
	maxWriteBackoff = 3 * time.Second
	// firstAnnounceDelay is the longest time that a new process waits for its instance's
	// first heartbeat before it writes its row, so that most hosts write the row once
	// and not twice.
	firstAnnounceDelay = 2500 * time.Millisecond
	// commitTimeout bounds the time for the store's answer to a write.
	commitTimeout = 900 * time.Millisecond
	// rolloutQueueLen bounds the number of queued writes of roll-out rows.
	rolloutQueueLen = 16
)

// announce keeps this host's row in the store up to date. Hosts exchange changes of their
// records directly; the rows serve hosts that know no other host yet.
func (n *Node) announce(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-n.announceDue: // the instance has sent a heartbeat
		signal(n.announceDue)
	case <-time.After(firstAnnounceDelay):
		signal(n.announceDue)
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.announceDue:
		}
		for !n.replicas[TableShared].isLoaded() && ctx.Err() == nil {
			pause(ctx, roleCheckInterval) // until the revision of the row is known
		}
		backoff := storeBackoff
		for n.rowOutdated() && n.writeOwnRow(ctx) != nil && ctx.Err() == nil {
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxWriteBackoff)
		}
		pause(ctx, announceInterval)
	}
}

// rowOutdated reports whether the host's row differs in what other hosts need to reach
// the host, or in what this host's next process needs to find the instance. Other
// fields, such as whether the gate is open and which process runs, are exchanged between
// hosts only and are ignored.
func (n *Node) rowOutdated() bool {
	var self, written proxy.Member
	n.inspect(func(r *proxy.Node) { self = r.Self() })
	row := n.replicas[TableShared].row(memberPrefix + string(self.Host))
	if row.Revision.Version() == 0 || json.Unmarshal(row.Value, &written) != nil {
		return true
	}
	return self.ForwardAddr != written.ForwardAddr || self.PeerAddr != written.PeerAddr || self.Domain != written.Domain ||
		self.LinkMbps != written.LinkMbps || self.Instance != nil && instanceDiffers(self.Instance, written.Instance)
}

func instanceDiffers(i, written *proxy.MemberInstance) bool {
	return written == nil || i.ID != written.ID || i.Service != written.Service || i.Version != written.Version ||
		i.Slots != written.Slots || i.Born != written.Born
}

// writeOwnRow writes this host's row on condition that the stored row has the revision
// known here, so that a write that the store performs late cannot replace a newer row.
func (n *Node) writeOwnRow(ctx context.Context) error {
	var self proxy.Member
	n.inspect(func(r *proxy.Node) { self = r.Self() })
	value, err := json.Marshal(self)
	if err != nil {
		return errorx.Decorate(err, "encode the record of %s", self.Host)
	}
	key := memberPrefix + string(self.Host)
	known := n.replicas[TableShared].row(key)
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.ioCounters.storeWrites.Add(1)
	revision, current, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: known.Revision},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key, Value: value}}})
	switch {
	case err == nil:
		n.applyWrittenRow(platform.Row{Key: key, Value: value, Revision: revision})
	case errorx.IsOfType(err, ErrConflict):
		n.applyWrittenRow(current)
	default:
		n.log.Line(time.Now(), "store.write_failed", "key", key, "error", err.Error())
	}
	return err
}

// applyWrittenRow applies a row to the replica of TableShared: the one just written, or
// the one that a conflicting write returned.
func (n *Node) applyWrittenRow(row platform.Row) {
	if row.Revision.Version() > 0 {
		n.applyChanges(TableShared, []Change{{Row: row}}, 0)
	}
}

type rolloutWrite struct{ rollout.Write }

// queueRolloutWrite queues the write of a roll-out's row. It never blocks.
func (n *Node) queueRolloutWrite(w rollout.Write) {
	select {
	case n.rolloutWrites <- rolloutWrite{w}:
	default: // the reducer repeats a write whose row doesn't show up
	}
}

// writeRollouts writes the rows of the roll-outs that this host drives, each together
// with the status row for operators.
func (n *Node) writeRollouts(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case w := <-n.rolloutWrites:
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
	n.ioCounters.storeWrites.Add(1)
	revision, current, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: w.Expect},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key, Value: value}}, {Table: TableStatus, Put: status}})
	switch {
	case err == nil:
		n.applyWrittenRow(platform.Row{Key: key, Value: value, Revision: revision})
	case errorx.IsOfType(err, ErrConflict):
		n.applyWrittenRow(current)
	}
	return err
}

// removeRow removes the row of a host that is gone, unless the row has changed meanwhile.
func (n *Node) removeRow(ctx context.Context, host mesh.HostID) {
	key := memberPrefix + string(host)
	known := n.replicas[TableShared].row(key)
	if known.Revision.Version() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.ioCounters.storeWrites.Add(1)
	_, _, err := n.platform.Commit(ctx, platform.Check{Key: key, Revision: known.Revision},
		[]Write{{Table: TableShared, Put: platform.Put{Key: key}, Delete: true}})
	n.log.Line(time.Now(), "member.row_removed", "about", string(host), "error", errorText(err))
}
