// Package routing selects the target of each attempt of a call: first the
// version by the shares of a move, then an instance by failure domain and
// estimated load. It is a pure reducer: time and random seeds are arguments.
package routing

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// BasisPoints is a share of calls in basis points, that is, parts per ten thousand.
type BasisPoints uint16

// FullShare is the share of all calls.
const FullShare BasisPoints = 10_000

// Instance describes one running backend server as membership reports it.
type Instance struct {
	Host    mesh.HostID
	Domain  mesh.FailureDomain
	ID      mesh.InstanceID
	Service mesh.Service
	Version mesh.BackendVersion
	// Slots is the announced number of slots; zero counts as one.
	Slots    uint16
	Draining bool
	// Reachable is false while membership cannot reach the host.
	Reachable bool
	// FirstAnnounced is the start of the cold-start ramp, during which the
	// instance receives a growing part of its normal calls. Zero means that the
	// ramp is over.
	FirstAnnounced mesh.Time
	// Ramp is the length of the cold-start ramp. Zero selects defaultRamp.
	Ramp time.Duration
}

// VersionShare is the share of a service's calls that one version receives.
type VersionShare struct {
	Version mesh.BackendVersion
	Share   BasisPoints
}

// Shares limits the versions of one service. Without Versions every version
// that is not stopped receives calls in proportion to its instances. With
// Versions, a version that is absent from the list has share zero.
type Shares struct {
	Service  mesh.Service
	Versions []VersionShare
	// Stopped lists the versions that this node no longer uses. Their share
	// goes to Fallback or, without one, to the other versions with a share.
	Stopped []mesh.BackendVersion
	// Fallback is the version of a move that is known to work, usually the old
	// one. It takes the calls of a version that is stopped or has no usable
	// instance, even when its own share is zero. When a Fallback is set, its
	// calls never go to another version because it has no usable instance.
	Fallback mesh.BackendVersion
}

// Excluded lists the hosts and instances of earlier attempts of a call, which
// the next attempt must avoid.
type Excluded struct {
	Hosts     []mesh.HostID
	Instances []mesh.InstanceID
}

// Target is the instance that an attempt goes to. The caller passes every Target
// that Choose or ChooseVersion returns to Done exactly once.
type Target struct {
	Host     mesh.HostID
	Domain   mesh.FailureDomain
	Instance mesh.InstanceID
	Service  mesh.Service
	Version  mesh.BackendVersion
	// Probe is set when the attempt tests whether an ejected instance may be
	// readmitted.
	Probe bool

	state *instance
}

// Miss tells why Choose or ChooseVersion found no target.
type Miss uint8

// Reasons for the absence of a target.
const (
	MissNone Miss = iota
	// MissNoInstance means that the service has no reachable instance that
	// the call has not already tried.
	MissNoInstance
	// MissWithheld means that usable instances exist, but only of versions
	// that are stopped or have share zero.
	MissWithheld
)

// Choice is the result of Choose or ChooseVersion. Target is valid when Miss is
// MissNone.
type Choice struct {
	Target Target
	Miss   Miss
	// Spilled is set when the target is outside the node's failure domain.
	Spilled bool
}

// Result is the result of one attempt as seen by the node that accepted the
// call.
type Result struct {
	Outcome mesh.Outcome
	Reason  mesh.Reason
	// Failed is set for an answer that the backend server marked as failed.
	Failed bool
	// Latency is the time from sending the attempt to its result.
	Latency time.Duration
	// Load is the load that the instance's gate, which admits the calls to it,
	// reported. It is valid when HasLoad is set.
	Load    mesh.Load
	HasLoad bool
}

// Change tells whether Done ejected or readmitted an instance, and why.
type Change uint8

// Ejections and readmissions of an instance.
const (
	Unchanged Change = iota
	// EjectedFailures follows consecutive failed answers and timeouts.
	EjectedFailures
	// EjectedConnection follows consecutive lost or refused connections.
	EjectedConnection
	// EjectedSlow follows latencies far above those of other instances of the
	// same version.
	EjectedSlow
	// Readmitted follows a successful probe.
	Readmitted
)

// Router is the routing state of one node. It is not safe for concurrent use.
type Router struct {
	domain    mesh.FailureDomain
	instances map[mesh.InstanceID]*instance
	services  map[mesh.Service]*service
}
