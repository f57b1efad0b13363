// Package mesh holds the identifiers and small value types that all other
// packages share. It has no behaviour beyond parsing and formatting.
package mesh

import (
	"fmt"
	"strconv"
	"time"
)

// Identifiers. Each one is unique within the deployment.
type (
	// HostID names a backend server host and the node that runs on it.
	HostID string
	// FailureDomain names a group of hosts that fail together.
	FailureDomain string
	// Service names a set of interchangeable backend servers.
	Service string
	// Tenant names a customer whose requests carry one of the customer's keys.
	Tenant string
	// Class names a class of work with its own latency and success targets.
	Class string
	// Route names one rule that maps calls to a service and a class.
	Route string
	// BackendVersion names a version of a backend server's software.
	BackendVersion string
	// InstanceID names one running backend server.
	InstanceID string
	// MoveID names one move of traffic between backend server versions.
	MoveID string
	// CallID numbers a call within the node that accepted it.
	CallID uint64
	// RequestHash is a hash of what a client sends, see poison.HashRequest.
	RequestHash uint64
	// Fingerprint is a hash of a request's identity, see poison.Request.
	Fingerprint uint64
)

// ConfigVersion numbers accepted configurations, starting at 1.
// Zero means that no configuration is known.
type ConfigVersion uint64

// String returns the version with a leading "v".
func (v ConfigVersion) String() string { return "v" + strconv.FormatUint(uint64(v), 10) }

// Incarnation orders the successive processes of one host. It is the start
// time of the process in nanoseconds, raised to refute a false death report.
type Incarnation int64

// Time is a point in time in nanoseconds since the Unix epoch. Reducers take
// it from events and never read a clock.
type Time int64

// Add returns the time d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration since u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Outcome tells a caller whether a backend server ran its request.
type Outcome uint8

// Outcomes of a call.
const (
	// Answered means that a backend server's complete answer was received.
	Answered Outcome = iota + 1
	// NotRun means that the request certainly never reached a backend server.
	NotRun
	// MayHaveRun means that a backend server may have run the request.
	MayHaveRun
)

var outcomeNames = [...]string{Answered: "answered", NotRun: "not-run", MayHaveRun: "may-have-run"}

// String returns the outcome as written in the Chicory-Outcome header.
func (o Outcome) String() string {
	if o == 0 || int(o) >= len(outcomeNames) {
		return "unknown"
	}
	return outcomeNames[o]
}

// ParseOutcome reads the value of a Chicory-Outcome header. The error quotes a
// value that is none of the three outcomes.
func ParseOutcome(s string) (Outcome, error) {
	for o, name := range outcomeNames {
		if name != "" && name == s {
			return Outcome(o), nil
		}
	}
	return 0, fmt.Errorf("outcome %q is not one of answered, not-run, may-have-run", s)
}

// Priority orders classes when load must be shed. Calls with a higher priority
// are served first.
type Priority uint8

// Priorities of a class.
const (
	Bulk Priority = iota
	Normal
	Critical
	// Priorities is the number of priorities.
	Priorities = 3
)

var priorityNames = [...]string{Bulk: "bulk", Normal: "normal", Critical: "critical"}

// String returns the priority as written in a configuration.
func (p Priority) String() string {
	if int(p) >= len(priorityNames) {
		return "unknown"
	}
	return priorityNames[p]
}

// ParsePriority reads a priority from a configuration.
func ParsePriority(s string) (Priority, error) {
	for p, name := range priorityNames {
		if name == s {
			return Priority(p), nil
		}
	}
	return 0, fmt.Errorf("priority %q is not one of bulk, normal, critical", s)
}

// Reason tells why a call was refused or abandoned.
type Reason uint8

// Reasons of a refusal. ReasonNone accompanies an answered call.
const (
	ReasonNone Reason = iota
	ReasonNoConfiguration
	ReasonNoRoute
	// ReasonNoTarget means that no usable instance was found.
	ReasonNoTarget
	ReasonOverload
	ReasonDeadline
	ReasonDraining
	// ReasonPoison means that the request is blocked because backend servers
	// crashed while it was in flight.
	ReasonPoison
	// ReasonDuplicate means that a call with the same identity was accepted
	// earlier.
	ReasonDuplicate
	// ReasonClaimUnavailable means that it could not be decided whether the
	// call's identity was used before.
	ReasonClaimUnavailable
	// ReasonBadIdentity means that the call's identity is malformed or its
	// time lies in the future.
	ReasonBadIdentity
	ReasonConnectionLost
	ReasonBadRequest
	// ReasonRetryBudget means that the retry budget of the class is used up.
	ReasonRetryBudget
	// ReasonUnknownKey means that the request's key belongs to no tenant.
	ReasonUnknownKey
	// ReasonQuota means that the tenant exceeds its quota.
	ReasonQuota
	// ReasonNoShare means that the node has no share of the tenant's quota yet, so that it
	// can't tell whether the request exceeds it.
	ReasonNoShare
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonNone:             "none",
	ReasonNoConfiguration:  "configuration-unknown",
	ReasonNoRoute:          "no-route",
	ReasonNoTarget:         "no-target",
	ReasonOverload:         "overload",
	ReasonDeadline:         "deadline",
	ReasonDraining:         "draining",
	ReasonPoison:           "poison",
	ReasonDuplicate:        "duplicate",
	ReasonClaimUnavailable: "claim-unavailable",
	ReasonBadIdentity:      "bad-identity",
	ReasonConnectionLost:   "connection-lost",
	ReasonBadRequest:       "bad-request",
	ReasonRetryBudget:      "retry-budget",
	ReasonUnknownKey:       "unknown-key",
	ReasonQuota:            "quota",
	ReasonNoShare:          "no-share",
}

// String returns the reason as written in the Chicory-Reason header.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// ParseReason reads the value of a Chicory-Reason header. The error quotes a
// value that is not a known reason.
func ParseReason(s string) (Reason, error) {
	for r, name := range reasonNames {
		if name == s {
			return Reason(r), nil
		}
	}
	return 0, fmt.Errorf("unknown reason %q", s)
}

// Load is the load of one backend server as its gate counts it. It is sent
// along with answers.
type Load struct {
	Slots  uint16 // calls that the instance can run at the same time
	InUse  uint16 // slots in use
	Queued uint16 // calls waiting for a slot
}
