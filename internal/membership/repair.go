package membership

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// quietPeriod is the time without changes after which differing digests
	// mean a lost record rather than one on its way.
	quietPeriod = 1500 * time.Millisecond
	// mismatchPatience is the time after which a neighbour with a differing
	// digest is repaired even while other records change.
	mismatchPatience = 5 * time.Second
	// localPatience is the time after which the local failure domain alone is
	// compared with a neighbour. It has few records, and calls prefer them.
	localPatience = time.Second
	// repairInterval bounds the repairs that a node offers.
	repairInterval = time.Second
	// wantInterval is the time between two requests for all records of the
	// same failure domain.
	wantInterval = 5 * time.Second
	// wantRatio is the ratio of record counts from which all records of a
	// failure domain are requested without a comparison.
	wantRatio = 4
	// maxRepairBuckets bounds the buckets listed in one step of a repair.
	maxRepairBuckets = 6
	// maxWants bounds the records requested in one step of a repair.
	maxWants = 256
)

// offerRepair returns the first step of a repair if a differing digest of a
// peer is worth it.
func (r *Reducer) offerRepair(now mesh.Time, from mesh.HostID, digest uint64) *Repair {
	if r.repairDue(now, from, digest) {
		return &Repair{Digests: r.domainDigests()}
	}
	l := r.links[from]
	if digest == r.table.digest || l == nil || now.Sub(l.mismatchSince) < localPatience {
		return nil
	}
	if domain, _ := r.DomainOf(from); domain != r.settings.Domain || r.outboxes.pending(from) {
		return nil
	}
	return &Repair{Local: true, Digests: []DomainDigest{r.domainDigest(r.settings.Domain)}}
}

// repairDue decides whether the records of all failure domains are compared.
func (r *Reducer) repairDue(now mesh.Time, from mesh.HostID, digest uint64) bool {
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
		due = due || !l.synced || now.Sub(l.mismatchSince) >= mismatchPatience
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
	digests := make([]DomainDigest, 0, len(r.table.names))
	for _, name := range r.table.names {
		digests = append(digests, r.domainDigest(name))
	}
	return digests
}

func (r *Reducer) domainDigest(name mesh.FailureDomain) DomainDigest {
	d := r.table.domain(name)
	return DomainDigest{Domain: name, Digest: d.digest, Count: uint32(len(d.hosts))}
}

// repair handles one step and answers with the next one.
func (r *Reducer) repair(now mesh.Time, from mesh.HostID, step *Repair, out *Output) {
	if step == nil {
		return
	}
	var next Repair
	r.compareDigests(now, from, step, &next, out)
	r.compareBuckets(step.Buckets, &next)
	r.compareSummaries(from, step.Summaries, &next)
	for _, host := range step.Wants {
		r.queueFor(from, host)
	}
	for _, domain := range step.WantDomains {
		r.queueDomain(from, domain)
	}
	if next.empty() {
		return
	}
	r.send(from, Message{Kind: KindRepair, Repair: &next}, out)
}

func (s *Repair) empty() bool {
	return len(s.Digests)+len(s.Buckets)+len(s.Summaries)+len(s.Wants)+len(s.WantDomains) == 0
}

func (r *Reducer) queueDomain(peer mesh.HostID, domain mesh.FailureDomain) {
	for _, host := range r.table.domain(domain).hosts {
		r.queueFor(peer, host)
	}
}

func (r *Reducer) queueFor(peer, host mesh.HostID) {
	if rec := r.table.records[host]; rec != nil {
		r.outboxes.add(peer, host, rec.Domain == r.settings.Domain)
	}
}

// compareDigests answers the digests of all failure domains with the buckets
// of those that differ. Where one side has few records of a failure domain,
// the other sends all of them without a comparison.
func (r *Reducer) compareDigests(now mesh.Time, from mesh.HostID, step, next *Repair, out *Output) {
	theirs := step.Digests
	listed := make(map[mesh.FailureDomain]bool, len(theirs))
	for i := range theirs {
		listed[theirs[i].Domain] = true
		mine := r.table.domain(theirs[i].Domain)
		switch {
		case mine.digest == theirs[i].Digest:
		case len(mine.hosts)*wantRatio <= int(theirs[i].Count):
			r.wantDomain(now, theirs[i].Domain, next, out)
		case int(theirs[i].Count)*wantRatio <= len(mine.hosts):
			r.queueDomain(from, theirs[i].Domain)
		default:
			next.Buckets = append(next.Buckets, BucketDigests{Domain: theirs[i].Domain, Digests: mine.buckets[:]})
		}
	}
	for _, name := range r.table.names {
		if len(theirs) > 0 && !step.Local && !listed[name] {
			r.queueDomain(from, name)
		}
	}
}

// wantDomain asks for all records of a failure domain. For another failure
// domain the first request goes to the predecessor in the order of relayPeers,
// as the parent would have to serve all its children.
func (r *Reducer) wantDomain(now mesh.Time, domain mesh.FailureDomain, next *Repair, out *Output) {
	until, asked := r.wantedUntil[domain]
	if now < until {
		return
	}
	r.wantedUntil[domain] = now.Add(wantInterval)
	before, ok := r.predecessor()
	if ok && !asked && domain != r.settings.Domain {
		r.send(before, Message{Kind: KindRepair, Repair: &Repair{WantDomains: []mesh.FailureDomain{domain}}}, out)
		return
	}
	next.WantDomains = append(next.WantDomains, domain)
}

// compareBuckets answers bucket digests with the records of those that differ.
func (r *Reducer) compareBuckets(theirs []BucketDigests, next *Repair) {
	for i := range theirs {
		mine := r.table.domain(theirs[i].Domain)
		if len(theirs[i].Digests) != digestBuckets {
			continue
		}
		for bucket, digest := range theirs[i].Digests {
			if mine.buckets[bucket] == digest || len(next.Summaries) >= maxRepairBuckets {
				continue
			}
			next.Summaries = append(next.Summaries, BucketSummary{
				Domain: theirs[i].Domain, Bucket: uint8(bucket), IDs: r.recordIDs(mine, bucket),
			})
		}
	}
}

func (r *Reducer) recordIDs(d *domainTable, bucket int) []RecordID {
	var ids []RecordID
	for _, host := range d.hosts {
		if keyOf(host).bucket() == bucket {
			ids = append(ids, r.table.records[host].ID())
		}
	}
	return ids
}

// compareSummaries queues records that are newer here and asks for those that
// are newer at the peer.
func (r *Reducer) compareSummaries(from mesh.HostID, theirs []BucketSummary, next *Repair) {
	for i := range theirs {
		listed := make(map[mesh.HostID]bool, len(theirs[i].IDs))
		for _, id := range theirs[i].IDs {
			listed[id.Host] = true
			r.compareRecord(from, id, next)
		}
		for _, host := range r.table.domain(theirs[i].Domain).hosts {
			if !listed[host] && keyOf(host).bucket() == int(theirs[i].Bucket) {
				r.queueFor(from, host)
			}
		}
	}
}

func (r *Reducer) compareRecord(from mesh.HostID, id RecordID, next *Repair) {
	theirs := Record{Incarnation: id.Incarnation, State: id.State, Revision: id.Revision}
	mine := r.table.records[id.Host]
	switch {
	case mine != nil && mine.Supersedes(&theirs):
		r.queueFor(from, id.Host)
	case (mine == nil || theirs.Supersedes(mine)) && len(next.Wants) < maxWants:
		next.Wants = append(next.Wants, id.Host)
	}
}
