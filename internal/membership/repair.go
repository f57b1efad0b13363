package membership

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// quietPeriod is the time without changes after which differing digests
	// mean a lost record rather than one in transit.
	quietPeriod = 1500 * time.Millisecond
	// mismatchRepairDelay is the time after which a repair with a link whose
	// digest differs is started even while other records change.
	mismatchRepairDelay = 5 * time.Second
	// localRepairDelay is the time after which a repair of the local failure
	// domain alone is started with a link whose digest differs. It comes first
	// because it has few records and calls prefer local targets.
	localRepairDelay = time.Second
	// repairInterval is the shortest time between two repairs of all failure
	// domains that a node starts.
	repairInterval = time.Second
	// domainRequestInterval is the shortest time between two requests for all
	// records of the same failure domain.
	domainRequestInterval = 5 * time.Second
	// fullTransferRatio is the ratio of record counts at which all records of a
	// failure domain are requested or sent without a comparison.
	fullTransferRatio = 4
	// maxRepairBuckets bounds the buckets listed in one step of a repair.
	maxRepairBuckets = 6
	// maxRequestedRecords bounds the records requested in one step of a repair.
	maxRequestedRecords = 256
)

// startRepair returns the first step of a repair if the digest of a peer differs
// and a repair is due, or nil. A repair covers all failure domains or, sooner,
// the local one alone.
func (r *Reducer) startRepair(now mesh.Time, from mesh.HostID, digest uint64) *Repair {
	if r.fullRepairDue(now, from, digest) {
		return &Repair{Digests: r.domainDigests()}
	}
	l := r.links[from]
	if digest == r.table.digest || l == nil || now.Sub(l.mismatchSince) < localRepairDelay {
		return nil
	}
	if domain, _ := r.DomainOf(from); domain != r.settings.Domain || r.outboxes.pending(from) {
		return nil
	}
	return &Repair{LocalOnly: true, Digests: []DomainDigest{r.domainDigest(r.settings.Domain)}}
}

// fullRepairDue reports whether a repair of all failure domains starts now, and
// updates the state of the link accordingly.
func (r *Reducer) fullRepairDue(now mesh.Time, from mesh.HostID, digest uint64) bool {
	l := r.links[from]
	if digest == r.table.digest {
		if l != nil {
			l.synced, l.mismatchSince = true, 0
		}
		return false
	}
	if l != nil && l.mismatchSince == 0 {
		l.mismatchSince = now
	}
	if now < r.nextRepair {
		return false
	}
	due := now.Sub(r.lastChange) >= quietPeriod
	if l != nil {
		due = due || !l.synced || now.Sub(l.mismatchSince) >= mismatchRepairDelay
	}
	if !due || r.outboxes.pending(from) {
		return false
	}
	if l != nil {
		l.synced, l.mismatchSince = true, now
	}
	r.nextRepair = now.Add(repairInterval)
	return true
}

func (r *Reducer) domainDigests() []DomainDigest {
	digests := make([]DomainDigest, 0, len(r.table.domainNames))
	for _, name := range r.table.domainNames {
		digests = append(digests, r.domainDigest(name))
	}
	return digests
}

func (r *Reducer) domainDigest(name mesh.FailureDomain) DomainDigest {
	d := r.table.domain(name)
	return DomainDigest{Domain: name, Digest: d.digest, Count: uint32(len(d.hosts))}
}

// handleRepair handles one step of a repair and answers with the next one.
func (r *Reducer) handleRepair(now mesh.Time, from mesh.HostID, step *Repair, out *Output) {
	if step == nil {
		return
	}
	var next Repair
	r.compareDigests(now, from, step, &next, out)
	r.compareBuckets(step.Buckets, &next)
	r.compareSummaries(from, step.Summaries, &next)
	for _, host := range step.RequestedHosts {
		r.queueRecord(from, host)
	}
	for _, domain := range step.RequestedDomains {
		r.queueDomain(from, domain)
	}
	if next.empty() {
		return
	}
	r.send(from, Message{Kind: KindRepair, Repair: &next}, out)
}

func (s *Repair) empty() bool {
	return len(s.Digests)+len(s.Buckets)+len(s.Summaries)+len(s.RequestedHosts)+len(s.RequestedDomains) == 0
}

func (r *Reducer) queueDomain(peer mesh.HostID, domain mesh.FailureDomain) {
	for _, host := range r.table.domain(domain).hosts {
		r.queueRecord(peer, host)
	}
}

func (r *Reducer) queueRecord(peer, host mesh.HostID) {
	if rec := r.table.records[host]; rec != nil {
		r.outboxes.add(peer, host, rec.Domain == r.settings.Domain)
	}
}

// compareDigests answers the digests of failure domains with the bucket digests
// of those that differ. Where one side has far fewer records of a failure domain
// than the other, it receives all of them without a comparison.
func (r *Reducer) compareDigests(now mesh.Time, from mesh.HostID, step, next *Repair, out *Output) {
	remote := step.Digests
	listed := make(map[mesh.FailureDomain]bool, len(remote))
	for i := range remote {
		listed[remote[i].Domain] = true
		local := r.table.domain(remote[i].Domain)
		switch {
		case local.digest == remote[i].Digest:
		case len(local.hosts)*fullTransferRatio <= int(remote[i].Count):
			r.requestDomain(now, remote[i].Domain, next, out)
		case int(remote[i].Count)*fullTransferRatio <= len(local.hosts):
			r.queueDomain(from, remote[i].Domain)
		default:
			next.Buckets = append(next.Buckets, BucketDigests{Domain: remote[i].Domain, Digests: local.buckets[:]})
		}
	}
	for _, name := range r.table.domainNames {
		if len(remote) > 0 && !step.LocalOnly && !listed[name] {
			r.queueDomain(from, name)
		}
	}
}

// requestDomain requests all records of a failure domain. For another failure
// domain the first request goes to the predecessor, which also relays records of
// other failure domains to this node (see relayPeers), because the parent would
// have to serve all its children.
func (r *Reducer) requestDomain(now mesh.Time, domain mesh.FailureDomain, next *Repair, out *Output) {
	earliest, requested := r.nextDomainRequest[domain]
	if now < earliest {
		return
	}
	r.nextDomainRequest[domain] = now.Add(domainRequestInterval)
	predecessor, ok := r.predecessor()
	if ok && !requested && domain != r.settings.Domain {
		r.send(predecessor, Message{Kind: KindRepair, Repair: &Repair{RequestedDomains: []mesh.FailureDomain{domain}}}, out)
		return
	}
	next.RequestedDomains = append(next.RequestedDomains, domain)
}

// compareBuckets answers bucket digests with summaries of the buckets that
// differ.
func (r *Reducer) compareBuckets(remote []BucketDigests, next *Repair) {
	for i := range remote {
		local := r.table.domain(remote[i].Domain)
		if len(remote[i].Digests) != digestBuckets {
			continue
		}
		for bucket, digest := range remote[i].Digests {
			if local.buckets[bucket] == digest || len(next.Summaries) >= maxRepairBuckets {
				continue
			}
			next.Summaries = append(next.Summaries, BucketSummary{
				Domain: remote[i].Domain, Bucket: uint8(bucket), IDs: r.recordIDs(local, bucket),
			})
		}
	}
}

func (r *Reducer) recordIDs(d *domainTable, bucket int) []RecordID {
	var ids []RecordID
	for _, host := range d.hosts {
		if treeKeyOf(host).bucket() == bucket {
			ids = append(ids, r.table.records[host].ID())
		}
	}
	return ids
}

// compareSummaries queues records that are newer on this node and requests those
// that are newer on the peer.
func (r *Reducer) compareSummaries(from mesh.HostID, remote []BucketSummary, next *Repair) {
	for i := range remote {
		listed := make(map[mesh.HostID]bool, len(remote[i].IDs))
		for _, id := range remote[i].IDs {
			listed[id.Host] = true
			r.compareRecord(from, id, next)
		}
		for _, host := range r.table.domain(remote[i].Domain).hosts {
			if !listed[host] && treeKeyOf(host).bucket() == int(remote[i].Bucket) {
				r.queueRecord(from, host)
			}
		}
	}
}

func (r *Reducer) compareRecord(from mesh.HostID, id RecordID, next *Repair) {
	remote := Record{Incarnation: id.Incarnation, State: id.State, Revision: id.Revision}
	local := r.table.records[id.Host]
	switch {
	case local != nil && local.Supersedes(&remote):
		r.queueRecord(from, id.Host)
	case (local == nil || remote.Supersedes(local)) && len(next.RequestedHosts) < maxRequestedRecords:
		next.RequestedHosts = append(next.RequestedHosts, id.Host)
	}
}
