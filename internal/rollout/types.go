// Package rollout shifts the traffic of a service to a new version in stages and rolls
// it back if the version turns out to be faulty. One node, the driver, advances a
// roll-out. Its state is a row of the platform's store, so that another node can take
// over if the driver fails.
package rollout

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/platform"
)

// Order is an operator's request to roll out a version of a service.
type Order struct {
	Service mesh.Service
	Target  mesh.BackendVersion
	// Duration is the time within which the roll-out has to end.
	Duration time.Duration
	// Revision identifies the order: it is the revision of the order's row when the row
	// was first written. An operator who rewrites the row in a later era of the store
	// repeats the order.
	Revision platform.Revision
}

// State is the state of a roll-out.
type State uint8

// States of a roll-out. Completed and RolledBack are final.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the name of the state, "none" for the zero value.
func (s State) String() string {
	switch s {
	case Running:
		return "running"
	case Completed:
		return "completed"
	case RolledBack:
		return "rolled-back"
	}
	return "none"
}

// Final reports whether the roll-out has ended.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Row is the shared state of the latest roll-out of a service, as stored.
type Row struct {
	Service mesh.Service        `json:"service"`
	Target  mesh.BackendVersion `json:"target"`
	// Order is the revision of the operator's order.
	Order platform.Revision `json:"order"`
	State State             `json:"state"`
	// Stage is the index of the current stage while the roll-out runs.
	Stage int `json:"stage"`
	// Driver is the host that advances the roll-out. It increments Beat with every
	// write as a heartbeat.
	Driver mesh.HostID `json:"driver"`
	Beat   uint64      `json:"beat"`
	// Withdrawn lists the versions of earlier roll-outs that were rolled back.
	Withdrawn []mesh.BackendVersion `json:"withdrawn,omitempty"`
	Reason    string                `json:"reason,omitempty"`
	// Revision is the store's revision of the row. Its version is zero for a row that
	// is not stored.
	Revision platform.Revision `json:"-"`
}

// valid reports whether a stored row can have been written by a node.
func (r *Row) valid() bool {
	return r.Target != "" && r.State >= Running && r.State <= RolledBack &&
		r.Stage >= 0 && r.Stage < len(stages) && r.Order <= r.Revision
}

// Write is an effect: store Row if the stored row still has the revision Expect.
type Write struct {
	Row    Row
	Expect platform.Revision
}

// RouteCount counts the answers of one instance on one route.
type RouteCount struct {
	Route   mesh.Route
	Answers uint32
	// Failures counts answers with a failure status and requests whose answer was
	// lost.
	Failures uint32
	// Measured counts the answers whose duration is included in Busy: successful
	// ones of an instance that has warmed up. Busy is the sum of their durations.
	Measured uint32
	Busy     time.Duration
	// Late counts the answers among Measured that took longer than the route's target
	// latency.
	Late uint32
}

// Evidence holds the counts of the answers of one instance, as counted by the gate in
// front of it, since the start of the roll-out whose order has the revision Order.
type Evidence struct {
	Host        mesh.HostID
	Incarnation mesh.Incarnation
	Service     mesh.Service
	Version     mesh.BackendVersion
	Instance    mesh.InstanceID
	Order       platform.Revision
	// Slots is the number of slots of the instance.
	Slots  int
	Routes []RouteCount
}

// routeCount returns the counts of a route. A linear search does, as there are few
// routes.
func (e *Evidence) routeCount(name mesh.Route) RouteCount {
	for _, r := range e.Routes {
		if r.Route == name {
			return r
		}
	}
	return RouteCount{}
}

// countsSince returns what the counts have grown by since an earlier state of the same
// evidence. The counts of another incarnation of the host start from zero.
func (e Evidence) countsSince(earlier Evidence) Evidence {
	if earlier.Incarnation != e.Incarnation {
		return e
	}
	routes := make([]RouteCount, 0, len(e.Routes))
	for _, r := range e.Routes {
		base := earlier.routeCount(r.Route)
		if r.Answers < base.Answers || r.Failures < base.Failures || r.Measured < base.Measured || r.Busy < base.Busy || r.Late < base.Late {
			base = RouteCount{} // the instance was restarted and counts from zero
		}
		routes = append(routes, RouteCount{
			Route: r.Route, Answers: r.Answers - base.Answers, Failures: r.Failures - base.Failures,
			Measured: r.Measured - base.Measured, Busy: r.Busy - base.Busy, Late: r.Late - base.Late,
		})
	}
	e.Routes = routes
	return e
}
