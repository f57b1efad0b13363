package routing

import (
	"cmp"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// service holds the versions and shares of one service.
type service struct {
	shares   Shares
	versions []*version  // sorted by name
	all      []*instance // that take new work
	ejected  int         // of all
}

// version holds the instances of one version that take new work, sorted by ID.
type version struct {
	name    mesh.BackendVersion
	local   []*instance // in the node's failure domain
	remote  []*instance
	latency average // over all instances of the version
}

// New returns a Router for a node of the given failure domain.
func New(domain mesh.FailureDomain) *Router {
	return &Router{
		domain:    domain,
		instances: make(map[mesh.InstanceID]*instance),
		services:  make(map[mesh.Service]*service),
	}
}

// SetInstances replaces the table of instances. Load estimates, ejections and
// calls in flight of instances that remain are kept. An instance with a later
// first announcement than before is a new process and starts anew.
func (r *Router) SetInstances(_ mesh.Time, all []Instance) {
	sorted := slices.Clone(all)
	slices.SortStableFunc(sorted, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	sorted = slices.CompactFunc(sorted, func(a, b Instance) bool { return a.ID == b.ID })
	for _, s := range r.services {
		s.clear()
	}
	old := r.instances
	r.instances = make(map[mesh.InstanceID]*instance, len(sorted))
	for _, info := range sorted {
		inst := old[info.ID]
		if inst == nil || inst.replacedBy(info) {
			inst = &instance{}
		}
		inst.Instance = info
		inst.Slots = max(1, info.Slots)
		r.instances[info.ID] = inst
		r.service(info.Service).add(inst, r.domain)
	}
	for _, s := range r.services {
		s.removeUnused()
		s.limitEjections()
	}
}

// SetShares replaces the shares of one service.
func (r *Router) SetShares(s Shares) {
	s.Versions = slices.Clone(s.Versions)
	s.Stopped = slices.Clone(s.Stopped)
	r.service(s.Service).shares = s
}

func (r *Router) service(name mesh.Service) *service {
	s := r.services[name]
	if s == nil {
		s = &service{}
		r.services[name] = s
	}
	return s
}

// clear removes the instances but keeps the latency averages of versions.
func (s *service) clear() {
	for _, inst := range s.all {
		inst.listed = false
	}
	s.all = s.all[:0]
	s.ejected = 0
	for _, v := range s.versions {
		v.local, v.remote = v.local[:0], v.remote[:0]
	}
}

func (s *service) add(inst *instance, domain mesh.FailureDomain) {
	v := s.addVersion(inst.Version)
	inst.service, inst.version = s, v
	if inst.Draining || !inst.Reachable {
		return
	}
	inst.listed = true
	s.all = append(s.all, inst)
	if inst.ejected {
		s.ejected++
	}
	if inst.Domain == domain {
		v.local = append(v.local, inst)
	} else {
		v.remote = append(v.remote, inst)
	}
}

func (s *service) addVersion(name mesh.BackendVersion) *version {
	i, found := slices.BinarySearchFunc(s.versions, name, func(v *version, name mesh.BackendVersion) int {
		return cmp.Compare(v.name, name)
	})
	if !found {
		s.versions = slices.Insert(s.versions, i, &version{name: name})
	}
	return s.versions[i]
}

// removeUnused removes the versions that no longer have an instance.
func (s *service) removeUnused() {
	s.versions = slices.DeleteFunc(s.versions, func(v *version) bool {
		return len(v.local)+len(v.remote) == 0
	})
}

// limitEjections readmits the instances whose ejection ends first while more
// than half of the instances are ejected, because others have left.
func (s *service) limitEjections() {
	for 2*s.ejected > len(s.all) {
		var first *instance
		for _, inst := range s.all {
			if inst.ejected && (first == nil || inst.ejectedUntil < first.ejectedUntil) {
				first = inst
			}
		}
		first.readmit(first.ejectedUntil)
	}
}

func (s *service) find(name mesh.BackendVersion) *version {
	for _, v := range s.versions {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (s *service) stopped(name mesh.BackendVersion) bool {
	return slices.Contains(s.shares.Stopped, name)
}
