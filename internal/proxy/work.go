package proxy

import (
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

// predictWork returns the predicted work of a request as a multiple of the mean of its
// route, zero if work isn't predicted.
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
