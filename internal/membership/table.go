package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// digestBuckets is the number of groups that a failure domain's records are
// divided into for repair.
const digestBuckets = 16

// table holds all records with their digests and the tree order.
type table struct {
	records map[mesh.HostID]*Record
	domains map[mesh.FailureDomain]*domainTable
	// names is sorted.
	names  []mesh.FailureDomain
	digest uint64
}

// domainTable holds the records of one failure domain.
type domainTable struct {
	// hosts has all hosts in ascending order.
	hosts []mesh.HostID
	// order has the live members in tree order, keys their tree keys.
	order   []*Record
	keys    []treeKey
	digest  uint64
	buckets [digestBuckets]uint64
}

// treeKey orders the members of the tree. The hash spreads hosts with similar
// names, the host itself breaks ties.
type treeKey struct {
	hash uint64
	host mesh.HostID
}

func keyOf(host mesh.HostID) treeKey {
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

// domain returns the table of a failure domain, or an empty one.
func (t *table) domain(name mesh.FailureDomain) *domainTable {
	if d, ok := t.domains[name]; ok {
		return d
	}
	return &domainTable{}
}

// put stores r in place of the host's previous record, which it returns.
func (t *table) put(r *Record) *Record {
	old := t.records[r.Host]
	key := keyOf(r.Host)
	if old != nil {
		t.remove(old, key, old.Domain != r.Domain)
	}
	t.records[r.Host] = r
	d, ok := t.domains[r.Domain]
	if !ok {
		d = &domainTable{}
		t.domains[r.Domain] = d
		i, _ := slices.BinarySearch(t.names, r.Domain)
		t.names = slices.Insert(t.names, i, r.Domain)
	}
	t.digest ^= d.add(r, key)
	return old
}

// drop removes the record of a host and returns it, or nil.
func (t *table) drop(host mesh.HostID) *Record {
	old := t.records[host]
	if old != nil {
		t.remove(old, keyOf(host), true)
		delete(t.records, host)
	}
	return old
}

func (t *table) remove(old *Record, key treeKey, moved bool) {
	d := t.domains[old.Domain]
	h := old.hash()
	t.digest ^= h
	d.digest ^= h
	d.buckets[key.bucket()] ^= h
	if i, ok := d.index(key); ok {
		d.order = slices.Delete(d.order, i, i+1)
		d.keys = slices.Delete(d.keys, i, i+1)
	}
	if i, ok := slices.BinarySearch(d.hosts, old.Host); ok && moved {
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
		d.order = slices.Insert(d.order, i, r)
		d.keys = slices.Insert(d.keys, i, key)
	}
	return h
}

// index returns the position of a live member in the tree.
func (d *domainTable) index(key treeKey) (int, bool) {
	return slices.BinarySearchFunc(d.keys, key, treeKey.compare)
}
