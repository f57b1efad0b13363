package proxy

import (
	"github.com/chicoryscale/chicoryscale/internal/catalog"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// trafficSplit distributes the requests of a route over its destinations by smooth
// weighted round-robin: in proportion to their weights and evenly over time.
type trafficSplit struct {
	credit map[mesh.Service]int
}

// nextDestination returns the service of the route's next request: the one whose credit is
// largest after the weight of each destination was added to its credit. The credits change
// only in takeDestination, so that requests that are rejected for their quota or wait for it
// don't shift the shares of the others.
func (n *Node) nextDestination(s *step, r *catalog.Route) mesh.Service {
	if len(r.Destinations) == 1 {
		return r.Destinations[0].Service
	}
	split := n.splits[r.Name]
	if split == nil {
		split = &trafficSplit{credit: make(map[mesh.Service]int)}
		n.splits[r.Name] = split
		for _, d := range r.Destinations { // so that nodes don't start with the same service
			split.credit[d.Service] = int(s.random.Next() % uint64(max(d.Weight, 1)))
		}
	}
	best := r.Destinations[0]
	for _, d := range r.Destinations[1:] {
		if split.credit[d.Service]+d.Weight > split.credit[best.Service]+best.Weight {
			best = d
		}
	}
	return best.Service
}

// takeDestination counts a request of the route for the service that nextDestination has
// returned.
func (n *Node) takeDestination(r *catalog.Route, service mesh.Service) {
	split := n.splits[r.Name]
	if len(r.Destinations) == 1 || split == nil {
		return
	}
	for _, d := range r.Destinations {
		split.credit[d.Service] += d.Weight
		split.credit[service] -= d.Weight
	}
}
