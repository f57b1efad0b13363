package proxy

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

// predictWork returns the predicted work of a request as a multiple of the mean of its
// route, zero if it isn't predicted.
func (n *Node) predictWork(now mesh.Time, r workcost.Request) float64 {
	if n.work == nil {
		return 0
	}
	return n.work.Factor(now, r)
}

// recordWork adds the measured work of a request, as a multiple of the mean of its
// route at the same instance.
func (n *Node) recordWork(now mesh.Time, r workcost.Request, work float64) {
	if n.work != nil && work > 0 {
		n.work.Record(now, r, work)
	}
}

// LocalStartsIn returns the time after which a request that arrives now is expected to
// start at the instance on this host. It reports false while no work is predicted.
func (n *Node) LocalStartsIn(now mesh.Time) (time.Duration, bool) {
	if n.work == nil || !n.work.Ready() {
		return 0, false
	}
	return n.gate.StartsIn(now, n.local.id), true
}

// setStartsIn adds the expected wait at the gate to its last effect.
func (n *Node) setStartsIn(s *step) {
	e := &s.out.Gates[len(s.out.Gates)-1]
	e.StartsIn, e.HasStartsIn = n.LocalStartsIn(s.now)
}

// LocalBacklog returns the predicted remaining time of all requests at the instance on
// this host, divided by its slots, and the time after which a request that arrives now is
// expected to start. It reports false if Settings.WorkAware isn't set.
func (n *Node) LocalBacklog(now mesh.Time) (backlog, startsIn time.Duration, ok bool) {
	return n.gate.Backlog(now, n.local.id), n.gate.StartsIn(now, n.local.id), n.work != nil
}

// ExplainedWork returns the share of the variance of a route's work that is explained by
// each feature of requests alone, in the order of workcost.Feature, and by all together.
func (n *Node) ExplainedWork(route mesh.Route) (alone []float64, all float64) {
	if n.work == nil {
		return nil, 0
	}
	each, all := n.work.Explained(route)
	return each[:], all
}

// workRequest returns what the prediction of the work uses of a client's request.
func (c *call) workRequest(e *CallArrived) workcost.Request {
	r := workcost.Request{Route: c.route.Name, Method: e.Method, Path: e.Path, BodyBytes: e.BodyBytes}
	if c.tenant != nil {
		r.Tenant = c.tenant.Name
	}
	return r
}

// workRequest returns what the prediction of the work uses of a forwarded request.
func (e *GateArrived) workRequest() workcost.Request {
	return workcost.Request{Route: e.Route, Tenant: e.Tenant, Method: e.Method, Path: e.Path, BodyBytes: e.BodyBytes}
}
