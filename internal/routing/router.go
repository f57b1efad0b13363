package routing

import "github.com/chicoryscale/chicoryscale/internal/mesh"

type (
	instance struct{}
	service  struct{}
)

// New returns a Router for a node of the given failure domain.
func New(domain mesh.FailureDomain) *Router {
	return &Router{
		domain:    domain,
		instances: make(map[mesh.InstanceID]*instance),
		services:  make(map[mesh.Service]*service),
	}
}

// SetInstances replaces the table of instances. Load estimates, ejections and
// calls in flight of instances that remain are kept.
func (r *Router) SetInstances(now mesh.Time, all []Instance) {}

// SetShares replaces the shares of one service.
func (r *Router) SetShares(s Shares) {}

// Choose selects the target of an attempt. excluded lists the targets of the
// call's earlier attempts.
func (r *Router) Choose(now mesh.Time, seed uint64, service mesh.Service, excluded Excluded) Choice {
	return Choice{Miss: MissNoInstance}
}

// Done records the end of an attempt and returns the change of the
// instance's standing, which the caller reports.
func (r *Router) Done(now mesh.Time, t Target, res Result) Change { return Unchanged }
