package membership

import (
	"slices"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// deltaBytesPerSecond bounds the records that a node sends, so that the
	// return of many hosts keeps the node below its share of 11 KB/s.
	deltaBytesPerSecond = 2600
	// deltaBurstBytes is the size of the bucket that the limit fills.
	deltaBurstBytes = 2000
	// recordBytes and backendBytes estimate the encoded size of a record in a
	// batch and of each of its backend servers.
	recordBytes  = 44
	backendBytes = 14
	// batchBytes estimates what a batch costs beyond its records, as the first
	// record shares nothing with one before it.
	batchBytes = 40
	// messageBytes estimates the cost of a message that only carries records.
	messageBytes = 45
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
	boxes map[mesh.HostID]*outbox
	// budget is in bytes and may be negative after a large batch. Once it is
	// used up, nothing is sent until it is half full, so that records travel in
	// few messages.
	budget    float64
	exhausted bool
	filled    mesh.Time
	// locals counts the queued records of the local failure domain.
	locals int
}

func (o *outboxes) add(peer, host mesh.HostID, local bool) {
	if peer == host {
		return
	}
	box, ok := o.boxes[peer]
	if !ok {
		box = &outbox{queued: make(map[mesh.HostID]struct{})}
		o.boxes[peer] = box
	}
	if _, ok := box.queued[host]; ok {
		return
	}
	box.queued[host] = struct{}{}
	if local {
		box.local = append(box.local, host)
		o.locals++
		return
	}
	box.remote = append(box.remote, host)
}

// pending reports whether records wait to be sent to a peer.
func (o *outboxes) pending(peer mesh.HostID) bool {
	box, ok := o.boxes[peer]
	return ok && !box.empty()
}

// forget removes a record that the peer itself has just sent.
func (o *outboxes) forget(peer, host mesh.HostID) {
	box, ok := o.boxes[peer]
	if !ok {
		return
	}
	if _, ok := box.queued[host]; !ok {
		return
	}
	delete(box.queued, host)
	if i := slices.Index(box.local, host); i >= 0 {
		box.local = slices.Delete(box.local, i, i+1)
		o.locals--
	} else if i := slices.Index(box.remote, host); i >= 0 {
		box.remote = slices.Delete(box.remote, i, i+1)
	}
}

func (o *outboxes) fill(now mesh.Time) {
	elapsed := min(now.Sub(o.filled), time.Second)
	o.filled = now
	o.budget = min(deltaBurstBytes, o.budget+elapsed.Seconds()*deltaBytesPerSecond)
	o.exhausted = o.exhausted && o.budget < deltaBurstBytes/2
}

// take removes the hosts to send to peer now, within the budget.
func (o *outboxes) take(peer mesh.HostID, size func(mesh.HostID) int) []mesh.HostID {
	box, ok := o.boxes[peer]
	if !ok || o.exhausted {
		return nil
	}
	local := o.takeFrom(&box.local, size)
	o.locals -= len(local)
	hosts := slices.Clone(local)
	if o.locals == 0 {
		hosts = append(hosts, o.takeFrom(&box.remote, size)...)
	}
	for _, host := range hosts {
		delete(box.queued, host)
	}
	if box.empty() {
		delete(o.boxes, peer)
	}
	o.exhausted = o.budget <= 0
	return hosts
}

func (o *outboxes) takeFrom(queue *[]mesh.HostID, size func(mesh.HostID) int) []mesh.HostID {
	n := 0
	for n < len(*queue) && n < maxBatchRecords && o.budget > 0 {
		o.budget -= float64(size((*queue)[n]))
		n++
	}
	taken := (*queue)[:n]
	*queue = (*queue)[n:]
	return taken
}

// peers returns the peers with pending records in ascending order.
func (o *outboxes) peers() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, len(o.boxes))
	for host := range o.boxes {
		hosts = append(hosts, host)
	}
	slices.Sort(hosts)
	return hosts
}

// takeRecords returns the records to send to peer now.
func (r *Reducer) takeRecords(peer mesh.HostID) Batch {
	hosts := r.outboxes.take(peer, func(host mesh.HostID) int {
		rec := r.table.records[host]
		return recordBytes + backendBytes*len(rec.Backends)
	})
	if len(hosts) == 0 {
		return nil
	}
	r.outboxes.budget -= batchBytes
	slices.Sort(hosts)
	batch := make(Batch, len(hosts))
	for i, host := range hosts {
		batch[i] = *r.table.records[host]
	}
	return batch
}

// flush sends pending records to peers that got no heartbeat in this step.
// It starts at another peer each time so that none is starved.
func (r *Reducer) flush(out *Output) {
	peers := r.outboxes.peers()
	for i := range peers {
		peer := peers[(i+r.beats)%len(peers)]
		if records := r.takeRecords(peer); records != nil {
			r.outboxes.budget -= messageBytes
			r.send(peer, Message{Kind: KindDelta, Records: records}, out)
		}
	}
}

// spread queues a new record of host for the peers that are to pass it on,
// except the one it came from.
func (r *Reducer) spread(host, source mesh.HostID) {
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
