// Package rollout moves the traffic of a service to a new version in stages and
// takes it back if the version turns out to be bad. One node drives a roll-out;
// its state is a row of the platform's store, so that another node continues it.
package rollout

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Order is an operator's request to move a service to a version.
type Order struct {
	Service mesh.Service
	Target  mesh.BackendVersion
	// Duration is the time within which the move has to end.
	Duration time.Duration
	// Revision identifies the order: it is the store's version of its row.
	Revision uint64
}

// State is the state of a roll-out.
type State uint8

// States of a roll-out. Completed and RolledBack are final.
const (
	Running State = iota + 1
	Completed
	RolledBack
)

// String returns the state for logs.
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

// Row is the shared state of the latest roll-out of a service.
type Row struct {
	Service mesh.Service        `json:"service"`
	Target  mesh.BackendVersion `json:"target"`
	// Order is the revision of the operator's order.
	Order uint64 `json:"order"`
	State State  `json:"state"`
	// Stage is the index of the present stage while the roll-out runs.
	Stage int `json:"stage"`
	// Driver is the host that drives the roll-out. It renews Beat while it lives.
	Driver mesh.HostID `json:"driver"`
	Beat   uint64      `json:"beat"`
	// Withdrawn lists the versions of earlier roll-outs that were taken back.
	Withdrawn []mesh.BackendVersion `json:"withdrawn,omitempty"`
	Reason    string                `json:"reason,omitempty"`
	// Revision is the store's version of the row, zero for a row that is not
	// stored yet.
	Revision uint64 `json:"-"`
}

// Write asks for a row to be stored if it still has the expected revision.
type Write struct {
	Row    Row
	Expect uint64
}

// RouteCount counts the answers of one instance on one route.
type RouteCount struct {
	Route   mesh.Route
	Answers uint32
	// Failures counts answers that state a failure and answers that were lost.
	Failures uint32
	// Measured counts the answers whose duration is in Busy: good ones of a
	// warm instance.
	Measured uint32
	Busy     time.Duration
}

// Evidence holds the counts of one instance since the start of a roll-out.
type Evidence struct {
	Host        mesh.HostID
	Incarnation mesh.Incarnation
	Service     mesh.Service
	Version     mesh.BackendVersion
	Instance    mesh.InstanceID
	Order       uint64
	Routes      []RouteCount
}

// count returns the counts of a route, of which there are few.
func (e *Evidence) count(name mesh.Route) RouteCount {
	for _, r := range e.Routes {
		if r.Route == name {
			return r
		}
	}
	return RouteCount{}
}

// since returns the counts after an earlier state of the same evidence. Counts of
// another incarnation of the host start anew.
func (e Evidence) since(earlier Evidence) Evidence {
	if earlier.Incarnation != e.Incarnation {
		return e
	}
	routes := make([]RouteCount, 0, len(e.Routes))
	for _, r := range e.Routes {
		b := earlier.count(r.Route)
		if r.Answers < b.Answers || r.Failures < b.Failures || r.Measured < b.Measured || r.Busy < b.Busy {
			b = RouteCount{} // the instance has started anew
		}
		routes = append(routes, RouteCount{
			Route: r.Route, Answers: r.Answers - b.Answers, Failures: r.Failures - b.Failures,
			Measured: r.Measured - b.Measured, Busy: r.Busy - b.Busy,
		})
	}
	e.Routes = routes
	return e
}
