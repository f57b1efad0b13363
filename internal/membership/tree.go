package membership

import (
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// FanOut is the number of children of an inner node of the tree. With 6,
	// 217 hosts give three levels below the root and an inner node has at most
	// 7 neighbours.
	FanOut = 6
	// ReadersPerDomain is the number of readers of a failure domain: the first
	// members in tree order, which poll the platform. With two, polling continues
	// when one of them stops.
	ReadersPerDomain = 2
)

// Member returns the record of a host, which may be dead or retired, or nil.
func (r *Reducer) Member(host mesh.HostID) *Record {
	if rec := r.table.records[host]; rec != nil {
		return rec
	}
	return r.retired[host]
}

// Members returns the live members of a failure domain in tree order. The
// caller must not change the slice.
func (r *Reducer) Members(domain mesh.FailureDomain) []*Record {
	return r.table.domain(domain).treeOrder
}

// Hosts returns the live members of a failure domain in tree order, in a new
// slice.
func (r *Reducer) Hosts(domain mesh.FailureDomain) []mesh.HostID { return hostsOf(r.Members(domain)) }

// LiveCount returns the number of live members of a failure domain.
func (r *Reducer) LiveCount(domain mesh.FailureDomain) int { return len(r.Members(domain)) }

// Domains returns all known failure domains in ascending order. The caller
// must not change the slice.
func (r *Reducer) Domains() []mesh.FailureDomain { return r.table.domainNames }

// Addr returns the control address of a host.
func (r *Reducer) Addr(host mesh.HostID) (string, bool) {
	rec := r.table.records[host]
	if rec == nil || rec.ControlAddr == "" {
		return "", false
	}
	return rec.ControlAddr, true
}

// selfIndex returns the position of the local host in the tree.
func (r *Reducer) selfIndex() (int, bool) {
	return r.table.domain(r.settings.Domain).index(treeKeyOf(r.settings.Host))
}

// Parent returns the parent in the tree of the local failure domain, or the
// assigned one while the local view is incomplete. The second result is false
// for the root.
func (r *Reducer) Parent() (mesh.HostID, bool) {
	if parent, ok := r.assignedParent(); ok {
		return parent, true
	}
	i, ok := r.selfIndex()
	if !ok || i == 0 {
		return "", false
	}
	return r.Members(r.settings.Domain)[(i-1)/FanOut].Host, true
}

// Children returns the children in the tree of the local failure domain.
func (r *Reducer) Children() []mesh.HostID {
	i, ok := r.selfIndex()
	if !ok {
		return nil
	}
	members := r.Members(r.settings.Domain)
	first := min(FanOut*i+1, len(members))
	last := min(first+FanOut, len(members))
	return hostsOf(members[first:last])
}

// Readers returns the first ReadersPerDomain live members of a failure domain.
func (r *Reducer) Readers(domain mesh.FailureDomain) []mesh.HostID {
	members := r.Members(domain)
	return hostsOf(members[:min(ReadersPerDomain, len(members))])
}

// IsReader reports whether the local node polls the platform. A node counts
// as a reader only after readerDelay, since its view is incomplete while it
// joins.
func (r *Reducer) IsReader() bool {
	return r.readerSince != 0 && r.now.Sub(r.readerSince) >= readerDelay
}

// updateReader notes since when the node has been among the first members.
func (r *Reducer) updateReader(now mesh.Time) {
	i, ok := r.selfIndex()
	switch {
	case !ok || i >= ReadersPerDomain || !r.Joined():
		r.readerSince = 0
	case r.readerSince == 0:
		r.readerSince = now
	}
}

// Links returns the peers that changes are pushed to: the neighbours in the
// tree, the ring peer of a reader, and the readers of other failure domains that
// chose this node as theirs.
func (r *Reducer) Links() []mesh.HostID {
	hosts := make([]mesh.HostID, 0, FanOut+3)
	hosts = append(hosts, r.neighbours...)
	if r.ring.peer != "" {
		hosts = append(hosts, r.ring.peer)
	}
	for _, host := range r.inbound.hosts() {
		if !slices.Contains(hosts, host) {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// Exchanges returns the peers that the latest Tick sent a heartbeat or an
// exchange to.
func (r *Reducer) Exchanges() []mesh.HostID { return r.exchanges }

func hostsOf(records []*Record) []mesh.HostID {
	hosts := make([]mesh.HostID, len(records))
	for i, rec := range records {
		hosts[i] = rec.Host
	}
	return hosts
}

// DomainOf returns the failure domain of a host.
func (r *Reducer) DomainOf(host mesh.HostID) (mesh.FailureDomain, bool) {
	rec := r.table.records[host]
	if rec == nil {
		return "", false
	}
	return rec.Domain, true
}
