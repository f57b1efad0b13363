package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// deltaBytesPerSecond bounds the records that a node sends, so that the node
	// stays below its limit of 11 KB/s when many hosts return at once.
	deltaBytesPerSecond = 2600
	// deltaBurstBytes is the size of the token bucket for deltaBytesPerSecond.
	deltaBurstBytes = 2000
	// recordBytes and backendBytes estimate the encoded size of a record in a
	// batch and of each of its backend servers.
	recordBytes  = 44
	backendBytes = 14
	// batchOverheadBytes estimates the size of a batch beyond its records: the
	// first record has no previous one to share strings with.
	batchOverheadBytes = 40
	// messageOverheadBytes estimates the overhead of a message that only carries
	// records.
	messageOverheadBytes = 45
)

// outbox holds the hosts whose records are to be sent to one peer. Records of
// the local failure domain go first, as calls prefer local targets.
type outbox struct {
	local  []mesh.HostID
	remote []mesh.HostID
	queued map[mesh.HostID]struct{}
}

func (b *outbox) empty() bool { return len(b.local)+len(b.remote) == 0 }

// outboxes holds one outbox for each peer with pending records and the
// budget that they share.
type outboxes struct {
	byPeer map[mesh.HostID]*outbox
	// budget is in bytes and may be negative after a large batch. Once it is
	// used up, nothing is sent until it is half full, so that records are sent
	// in few messages.
	budget     float64
	exhausted  bool
	lastRefill mesh.Time
	// localQueued counts the queued records of the local failure domain for all
	// peers.
	localQueued int
}

// add queues the record of host for a peer. local tells whether host belongs to
// the local failure domain.
func (o *outboxes) add(peer, host mesh.HostID, local bool) {
	if peer == host {
		return
	}
	box, ok := o.byPeer[peer]
	if !ok {
		box = &outbox{queued: make(map[mesh.HostID]struct{})}
		o.byPeer[peer] = box
	}
	if _, ok := box.queued[host]; ok {
		return
	}
	box.queued[host] = struct{}{}
	if local {
		box.local = append(box.local, host)
		o.localQueued++
		return
	}
	box.remote = append(box.remote, host)
}

// pending reports whether records wait to be sent to a peer.
func (o *outboxes) pending(peer mesh.HostID) bool {
	box, ok := o.byPeer[peer]
	return ok && !box.empty()
}

// remove takes a record out of the outbox of a peer that does not need it, for
// example because the peer itself has just sent it.
func (o *outboxes) remove(peer, host mesh.HostID) {
	box, ok := o.byPeer[peer]
	if !ok {
		return
	}
	if _, ok := box.queued[host]; !ok {
		return
	}
	delete(box.queued, host)
	if i := slices.Index(box.local, host); i >= 0 {
		box.local = slices.Delete(box.local, i, i+1)
		o.localQueued--
	} else if i := slices.Index(box.remote, host); i >= 0 {
		box.remote = slices.Delete(box.remote, i, i+1)
	}
}

// refill adds the bytes for the time since the last refill to the budget.
func (o *outboxes) refill(now mesh.Time) {
	elapsed := min(now.Sub(o.lastRefill), time.Second)
	o.lastRefill = now
	o.budget = min(deltaBurstBytes, o.budget+elapsed.Seconds()*deltaBytesPerSecond)
	o.exhausted = o.exhausted && o.budget < deltaBurstBytes/2
}

// dequeue removes and returns the hosts whose records are to be sent to peer now,
// within the budget. Records of other failure domains wait until those of the
// local one have been sent to all peers.
func (o *outboxes) dequeue(peer mesh.HostID, size func(mesh.HostID) int) []mesh.HostID {
	box, ok := o.byPeer[peer]
	if !ok || o.exhausted {
		return nil
	}
	local := o.dequeueFrom(&box.local, size)
	o.localQueued -= len(local)
	hosts := slices.Clone(local)
	if o.localQueued == 0 {
		hosts = append(hosts, o.dequeueFrom(&box.remote, size)...)
	}
	for _, host := range hosts {
		delete(box.queued, host)
	}
	if box.empty() {
		delete(o.byPeer, peer)
	}
	o.exhausted = o.budget <= 0
	return hosts
}

func (o *outboxes) dequeueFrom(queue *[]mesh.HostID, size func(mesh.HostID) int) []mesh.HostID {
	n := 0
	for n < len(*queue) && n < maxBatchRecords && o.budget > 0 {
		o.budget -= float64(size((*queue)[n]))
		n++
	}
	hosts := (*queue)[:n]
	*queue = (*queue)[n:]
	return hosts
}

// peers returns the peers with pending records in ascending order.
func (o *outboxes) peers() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(o.byPeer))
	for host := range o.byPeer {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// dequeueRecords returns the records to send to peer now.
func (r *Reducer) dequeueRecords(peer mesh.HostID) Batch {
	hosts := r.outboxes.dequeue(peer, func(host mesh.HostID) int {
		rec := r.table.records[host]
		return recordBytes + backendBytes*len(rec.Backends)
	})
	if len(hosts) == 0 {
		return nil
	}
	r.outboxes.budget -= batchOverheadBytes
	slices.Sort(hosts)
	batch := make(Batch, len(hosts))
	for i, host := range hosts {
		batch[i] = *r.table.records[host]
	}
	return batch
}

// flush sends the records that are still pending after the heartbeats of this
// step. It starts at another peer in each round so that none is starved.
func (r *Reducer) flush(out *Output) {
	peers := r.outboxes.peers()
	for i := range peers {
		peer := peers[(i+r.heartbeatRounds)%len(peers)]
		if records := r.dequeueRecords(peer); records != nil {
			r.outboxes.budget -= messageOverheadBytes
			r.send(peer, Message{Kind: KindDelta, Records: records}, out)
		}
	}
}

// propagate queues a new record of host for the peers that it is forwarded to,
// except the one that sent it.
func (r *Reducer) propagate(host, source mesh.HostID) {
	local := r.table.records[host].Domain == r.settings.Domain
	peers := r.Links()
	if !local {
		peers = r.relayPeers(source)
	}
	for _, peer := range peers {
		if peer != source {
			r.outboxes.add(peer, host, local)
		}
	}
}
