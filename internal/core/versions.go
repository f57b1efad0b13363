package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// moveStatesTimeout is the time that a newly started node waits for the states of
// moves before it chooses targets itself. The distribution tree normally delivers
// them within one heartbeat interval.
const moveStatesTimeout = 2 * time.Second

// servingVersions holds the version that receives the calls of each service
// without a move. Another version that is announced receives no calls until a
// move to it starts.
type servingVersions struct {
	serving        map[mesh.Service]mesh.BackendVersion
	instanceCounts map[mesh.Service]map[mesh.BackendVersion]int
}

func newServingVersions() servingVersions {
	return servingVersions{
		serving:        make(map[mesh.Service]mesh.BackendVersion),
		instanceCounts: make(map[mesh.Service]map[mesh.BackendVersion]int),
	}
}

// countInstances counts the instances of each service by version.
func (v *servingVersions) countInstances(list []routing.Instance) {
	clear(v.instanceCounts)
	for i := range list {
		service := v.instanceCounts[list[i].Service]
		if service == nil {
			service = make(map[mesh.BackendVersion]int)
			v.instanceCounts[list[i].Service] = service
		}
		service[list[i].Version]++
	}
}

// shares returns the routing shares of a service without a move. The serving
// version is the one with the most instances, so that nodes that start at
// different times agree. During startup, instances are still being announced and
// it is chosen anew each time; afterwards it changes only when it has no instance
// left.
func (v *servingVersions) shares(name mesh.Service, startupOver bool) routing.Shares {
	counts := v.instanceCounts[name]
	if !startupOver || counts[v.serving[name]] == 0 {
		v.serving[name] = mostInstances(counts)
	}
	if len(counts) <= 1 {
		return routing.Shares{Service: name}
	}
	return routing.Shares{
		Service:  name,
		Versions: []routing.VersionShare{{Version: v.serving[name], Share: routing.FullShare}},
	}
}

func mostInstances(counts map[mesh.BackendVersion]int) mesh.BackendVersion {
	var best mesh.BackendVersion
	for version, n := range counts {
		if best == "" || n > counts[best] || (n == counts[best] && version < best) {
			best = version
		}
	}
	return best
}

// updateShares limits each service to its serving version. For a service with a
// move these shares have no effect, because package moves chooses the version of
// each call.
func (n *Node) updateShares(now mesh.Time) {
	startupOver := now.Sub(n.settings.Started) > startupTime
	n.versions.countInstances(n.scratch.instances)
	for name := range n.versions.instanceCounts {
		n.router.SetShares(n.versions.shares(name, startupOver))
	}
}

// awaitsMoveStates reports whether this node started so recently that it may not
// know all moves yet, for example a withdrawn one, whose new version must receive no
// calls.
func (n *Node) awaitsMoveStates(now mesh.Time) bool {
	return !n.moveStatesReceived && now.Sub(n.establishedAt) < moveStatesTimeout
}
