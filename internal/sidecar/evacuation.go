package sidecar

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

const (
	// statusInterval is the period at which the writer of the status rows asks the readers
	// while hosts don't comply yet, and statusIdleInterval while all comply.
	statusInterval     = time.Second
	statusIdleInterval = 5 * time.Second
	// maxHostRevisions bounds the hosts whose revisions are kept outside evacuations. It
	// exceeds the number of hosts of a deployment; replaced hosts are forgotten beyond it.
	maxHostRevisions = 1000
	// methodApplied is the RPC method that returns the revisions known to a reader.
	methodApplied = peerService + ".Applied"
)

// hostRevisions holds, by host, the revision of the operator's rows that the host stated in
// its last exchange with this node.
type hostRevisions struct {
	mu     sync.Mutex
	byHost map[mesh.HostID]platform.Revision
}

func (h *hostRevisions) set(host mesh.HostID, revision platform.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byHost == nil || len(h.byHost) >= maxHostRevisions {
		h.byHost = make(map[mesh.HostID]platform.Revision)
	}
	h.byHost[host] = revision
}

// of returns the revisions of the given hosts and forgets all others.
func (h *hostRevisions) of(hosts []mesh.HostID) map[mesh.HostID]platform.Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	kept := make(map[mesh.HostID]platform.Revision, len(hosts))
	for _, host := range hosts {
		if revision, ok := h.byHost[host]; ok {
			kept[host] = revision
		}
	}
	h.byHost = kept
	return mergeRevisions(make(map[mesh.HostID]platform.Revision, len(kept)), kept)
}

// mergeRevisions raises the revisions in a map to those in another one.
func mergeRevisions(into, from map[mesh.HostID]platform.Revision) map[mesh.HostID]platform.Revision {
	for host, revision := range from {
		into[host] = max(into[host], revision)
	}
	return into
}

// AppliedRevisions is a reader's answer about the hosts that poll it or exchange state with
// it: the revision up to which each of them has applied the operator's rows.
type AppliedRevisions struct {
	Hosts map[mesh.HostID]platform.Revision
	// CanWrite is set if the reader can write the status rows.
	CanWrite bool
}

// Applied returns the revisions that this node knows.
func (s *PeerService) Applied(_ struct{}, out *AppliedRevisions) error {
	out.Hosts = s.node.appliedRevisions()
	s.node.inspect(func(r *proxy.Node) { out.CanWrite = r.CanWriteStatus() })
	return nil
}

func (n *Node) appliedRevisions() map[mesh.HostID]platform.Revision {
	var hosts []mesh.HostID
	n.inspect(func(r *proxy.Node) { hosts = r.ReachableHosts() })
	revisions := n.hostRevisions.of(hosts)
	revisions[n.settings.Host] = n.replicas[TableOperator].completeRevision()
	return revisions
}

// statusWriter is the state of the host that writes the status rows of evacuations.
type statusWriter struct {
	// written holds the values of the status rows by domain, nil if this node isn't the
	// writer or hasn't read them yet.
	written map[mesh.FailureDomain][]byte
}

// writeEvacuationStatus keeps the status rows of evacuations up to date while this node is
// their writer.
func (n *Node) writeEvacuationStatus(ctx context.Context) {
	var w statusWriter
	for ctx.Err() == nil {
		complied, err := n.updateEvacuationStatus(ctx, &w)
		if err != nil {
			n.log.Line(time.Now(), "evacuation.status_failed", "error", err.Error())
		}
		interval := statusInterval
		if complied && err == nil {
			interval = statusIdleInterval
		}
		pause(ctx, interval)
	}
}

// updateEvacuationStatus writes the status rows that differ from the current state, if this
// node is their writer: the first of the readers that can write them. Only the first of all
// readers looks for rows that an earlier writer has left. It reports whether the hosts in
// touch comply with all evacuations.
func (n *Node) updateEvacuationStatus(ctx context.Context, w *statusWriter) (complied bool, err error) {
	canWrite := false
	wanted := make(map[mesh.FailureDomain]platform.Revision)
	var hosts []mesh.HostID
	var before, readers []proxy.Member
	n.inspect(func(r *proxy.Node) {
		canWrite, hosts, before, readers = r.CanWriteStatus(), r.ReachableHosts(), r.ReadersBefore(), r.Readers()
		for _, domain := range r.Evacuations() {
			wanted[domain] = platform.Revision(r.EvacuationRevision(domain))
		}
	})
	if !canWrite || len(before) > 0 && len(wanted) == 0 && w.written == nil {
		w.written = nil
		return false, nil
	}
	revisions := n.appliedRevisions()
	if len(wanted) > 0 || len(before) > 0 {
		for _, reader := range readers {
			var reply AppliedRevisions
			if err := n.peers.call(reader.PeerAddr, methodApplied, struct{}{}, &reply, peerTimeout); err != nil {
				n.log.Line(time.Now(), "evacuation.reader_silent", "reader", string(reader.Host), "error", err.Error())
				continue // its followers count as pending
			}
			if reply.CanWrite && slices.ContainsFunc(before, func(m proxy.Member) bool { return m.Host == reader.Host }) {
				w.written = nil
				return false, nil
			}
			mergeRevisions(revisions, reply.Hosts)
		}
	}
	if w.written == nil {
		if w.written, err = n.readEvacuationStatus(ctx); err != nil {
			return false, err
		}
	}
	complied = true
	for domain, revision := range wanted {
		pending := pendingHosts(hosts, revisions, revision)
		complied = complied && len(pending) == 0
		if err := n.writeDomainStatus(ctx, w, domain, pending); err != nil {
			return false, err
		}
	}
	for domain := range w.written {
		if _, ok := wanted[domain]; !ok {
			if err := n.removeDomainStatus(ctx, w, domain); err != nil {
				return false, err
			}
		}
	}
	return complied, nil
}

// pendingHosts returns the hosts that aren't known to have applied the operator's rows up to
// a revision.
func pendingHosts(hosts []mesh.HostID, revisions map[mesh.HostID]platform.Revision, wanted platform.Revision) []mesh.HostID {
	return slices.DeleteFunc(slices.Clone(hosts), func(host mesh.HostID) bool { return revisions[host] >= wanted })
}

// readEvacuationStatus returns the status rows of evacuations, which an earlier writer may
// have left.
func (n *Node) readEvacuationStatus(ctx context.Context) (map[mesh.FailureDomain][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	n.ioCounters.storeReads.Add(1)
	rows, _, err := n.platform.Rows(ctx, TableStatus)
	if err != nil {
		return nil, err
	}
	written := make(map[mesh.FailureDomain][]byte)
	for _, r := range rows {
		if domain, ok := n.platform.EvacuatedDomain(r.Key); ok {
			written[domain] = r.Value
		}
	}
	return written, nil
}

func (n *Node) writeDomainStatus(ctx context.Context, w *statusWriter, domain mesh.FailureDomain, pending []mesh.HostID) error {
	put, err := n.platform.EncodeEvacuationStatus(domain, pending)
	if err != nil {
		return err
	}
	if old, ok := w.written[domain]; ok && bytes.Equal(old, put.Value) {
		return nil
	}
	if err := n.commitStatus(ctx, Write{Table: TableStatus, Put: put}); err != nil {
		return err
	}
	w.written[domain] = put.Value
	n.log.Event("evacuation.status", "domain", string(domain), "pending", len(pending), "first", string(firstOf(pending)))
	return nil
}

func firstOf(hosts []mesh.HostID) mesh.HostID {
	if len(hosts) == 0 {
		return ""
	}
	return slices.MinFunc(hosts, cmp.Compare[mesh.HostID])
}

func (n *Node) removeDomainStatus(ctx context.Context, w *statusWriter, domain mesh.FailureDomain) error {
	put, err := n.platform.EncodeEvacuationStatus(domain, nil)
	if err != nil {
		return err
	}
	if err := n.commitStatus(ctx, Write{Table: TableStatus, Put: platform.Put{Key: put.Key}, Delete: true}); err != nil {
		return err
	}
	delete(w.written, domain)
	n.log.Event("evacuation.status_removed", "domain", string(domain))
	return nil
}

// commitStatus writes a status row on condition that this host's own row is the known one,
// so that a write that the store performs late, after this host was replaced, has no effect.
func (n *Node) commitStatus(ctx context.Context, write Write) error {
	key := memberPrefix + string(n.settings.Host)
	check := platform.Check{Key: key, Revision: n.replicas[TableShared].row(key).Revision}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	n.ioCounters.storeWrites.Add(1)
	_, current, err := n.platform.Commit(ctx, check, []Write{write})
	if err != nil {
		n.applyWrittenRow(current)
	}
	return err
}
