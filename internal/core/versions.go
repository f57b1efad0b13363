package core

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/routing"
)

// movesWait is the time that a started node waits for the states of moves
// before it chooses targets itself. The tree delivers them within a heartbeat.
const movesWait = 2 * time.Second

// versions keeps the version that serves each service without a move. A second
// version that appears beside it receives no calls until a move names it.
type versions struct {
	serving map[mesh.Service]mesh.BackendVersion
	counts  map[mesh.Service]map[mesh.BackendVersion]int
}

func newVersions() versions {
	return versions{
		serving: make(map[mesh.Service]mesh.BackendVersion),
		counts:  make(map[mesh.Service]map[mesh.BackendVersion]int),
	}
}

// count takes in the table of instances.
func (v *versions) count(list []routing.Instance) {
	clear(v.counts)
	for i := range list {
		service := v.counts[list[i].Service]
		if service == nil {
			service = make(map[mesh.BackendVersion]int)
			v.counts[list[i].Service] = service
		}
		service[list[i].Version]++
	}
}

// serve returns the shares of a service without a move. The serving version is
// the one with the most instances, so that nodes that start at different times
// agree. Once the node is settled, it changes only when it has no instance
// left; before that the instances are still being announced.
func (v *versions) serve(name mesh.Service, settled bool) routing.Shares {
	counts := v.counts[name]
	if !settled || counts[v.serving[name]] == 0 {
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

// updateShares limits services without a move to their serving version. Moves
// choose the version of the others themselves.
func (n *Node) updateShares(now mesh.Time) {
	settled := now.Sub(n.settings.Started) > startupTime
	n.versions.count(n.scratch.instances)
	for name := range n.versions.counts {
		n.router.SetShares(n.versions.serve(name, settled))
	}
}

// waitsForMoves reports whether this node was started so recently that it may
// not know a move that has withdrawn a version.
func (n *Node) waitsForMoves(now mesh.Time) bool {
	return !n.movesHeard && now.Sub(n.establishedAt) < movesWait
}
