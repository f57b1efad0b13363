package routing

import (
	"cmp"
	"slices"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// service holds the versions and shares of one service.
type service struct {
	shares       Shares
	versions     []*version  // sorted by name
	active       []*instance // reachable and not draining
	ejectedCount int         // number of active instances that are ejected
}

// version holds the active instances of one version, sorted by ID.
type version struct {
	name    mesh.BackendVersion
	local   []*instance // in the node's failure domain
	remote  []*instance
	latency movingAverage // over all instances of the version
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
// first announcement than before is a new process and starts with fresh state.
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
		r.service(info.Service).addInstance(inst, r.domain)
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
	for _, inst := range s.active {
		inst.active = false
	}
	s.active = s.active[:0]
	s.ejectedCount = 0
	for _, v := range s.versions {
		v.local, v.remote = v.local[:0], v.remote[:0]
	}
}

func (s *service) addInstance(inst *instance, domain mesh.FailureDomain) {
	v := s.addVersion(inst.Version)
	inst.service, inst.version = s, v
	if inst.Draining || !inst.Reachable {
		return
	}
	inst.active = true
	s.active = append(s.active, inst)
	if inst.ejected {
		s.ejectedCount++
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

// limitEjections readmits instances, in the order in which their ejections end,
// while more than half of the instances are ejected. This happens when other
// instances have left.
func (s *service) limitEjections() {
	for 2*s.ejectedCount > len(s.active) {
		var first *instance
		for _, inst := range s.active {
			if inst.ejected && (first == nil || inst.ejectedUntil < first.ejectedUntil) {
				first = inst
			}
		}
		first.readmit(first.ejectedUntil)
	}
}

func (s *service) findVersion(name mesh.BackendVersion) *version {
	for _, v := range s.versions {
		if v.name == name {
			return v
		}
	}
	return nil
}

func (s *service) isStopped(name mesh.BackendVersion) bool {
	return slices.Contains(s.shares.Stopped, name)
}
