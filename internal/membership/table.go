package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// digestBuckets is the number of hash buckets that a failure domain's records
// are divided into for repair.
const digestBuckets = 16

// table holds all records with their digests and the tree order. A digest is
// the XOR of the hashes of the records that it covers.
type table struct {
	records map[mesh.HostID]*Record
	domains map[mesh.FailureDomain]*domainTable
	// domainNames is sorted.
	domainNames []mesh.FailureDomain
	digest      uint64
}

// domainTable holds the records of one failure domain.
type domainTable struct {
	// hosts has all hosts in ascending order.
	hosts []mesh.HostID
	// treeOrder has the live members in tree order, treeKeys their keys.
	treeOrder []*Record
	treeKeys  []treeKey
	// digest covers all records, buckets[i] those of the i-th hash bucket.
	digest  uint64
	buckets [digestBuckets]uint64
}

// treeKey orders the members of the tree. The hash spreads hosts with similar
// names over the tree, and the host itself breaks ties.
type treeKey struct {
	hash uint64
	host mesh.HostID
}

func treeKeyOf(host mesh.HostID) treeKey {
	return treeKey{hash: xxhash.Sum64String(string(host)), host: host}
}

func (k treeKey) compare(other treeKey) int {
	return cmp.Or(cmp.Compare(k.hash, other.hash), cmp.Compare(k.host, other.host))
}

func (k treeKey) bucket() int { return int(k.hash % digestBuckets) }

func newTable() *table {
	return &table{
		records: make(map[mesh.HostID]*Record),
		domains: make(map[mesh.FailureDomain]*domainTable),
	}
}

// domain returns the table of a failure domain, or an empty one if the failure
// domain is unknown.
func (t *table) domain(name mesh.FailureDomain) *domainTable {
	if d, ok := t.domains[name]; ok {
		return d
	}
	return &domainTable{}
}

// put stores r in place of the host's previous record, which it returns.
func (t *table) put(r *Record) *Record {
	old := t.records[r.Host]
	key := treeKeyOf(r.Host)
	if old != nil {
		t.unindex(old, key, old.Domain != r.Domain)
	}
	t.records[r.Host] = r
	d, ok := t.domains[r.Domain]
	if !ok {
		d = &domainTable{}
		t.domains[r.Domain] = d
		i, _ := slices.BinarySearch(t.domainNames, r.Domain)
		t.domainNames = slices.Insert(t.domainNames, i, r.Domain)
	}
	t.digest ^= d.add(r, key)
	return old
}

// remove deletes the record of a host and returns it, or nil.
func (t *table) remove(host mesh.HostID) *Record {
	old := t.records[host]
	if old != nil {
		t.unindex(old, treeKeyOf(host), true)
		delete(t.records, host)
	}
	return old
}

// unindex removes a record from the digests and the tree order and, if
// removeHost is set, its host from the hosts of the failure domain.
func (t *table) unindex(old *Record, key treeKey, removeHost bool) {
	d := t.domains[old.Domain]
	h := old.hash()
	t.digest ^= h
	d.digest ^= h
	d.buckets[key.bucket()] ^= h
	if i, ok := d.index(key); ok {
		d.treeOrder = slices.Delete(d.treeOrder, i, i+1)
		d.treeKeys = slices.Delete(d.treeKeys, i, i+1)
	}
	if i, ok := slices.BinarySearch(d.hosts, old.Host); ok && removeHost {
		d.hosts = slices.Delete(d.hosts, i, i+1)
	}
}

// add inserts r and returns its contribution to the digests.
func (d *domainTable) add(r *Record, key treeKey) uint64 {
	h := r.hash()
	d.digest ^= h
	d.buckets[key.bucket()] ^= h
	if i, ok := slices.BinarySearch(d.hosts, r.Host); !ok {
		d.hosts = slices.Insert(d.hosts, i, r.Host)
	}
	if r.Live() {
		i, _ := d.index(key)
		d.treeOrder = slices.Insert(d.treeOrder, i, r)
		d.treeKeys = slices.Insert(d.treeKeys, i, key)
	}
	return h
}

// index returns the position of a live member in the tree.
func (d *domainTable) index(key treeKey) (int, bool) {
	return slices.BinarySearchFunc(d.treeKeys, key, treeKey.compare)
}
