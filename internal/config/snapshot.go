// Package config defines the configuration that every proxy applies as a whole:
// its resources, their validation, the canonical encoding with its hash, the
// delta between two snapshots, and the index that matches calls to routes.
//
// The package is pure. It does no I/O and reads no clock.
package config

import "github.com/chicoryscale/chicoryscale/internal/mesh"

// FailureDomain declares a group of hosts that fail together.
type FailureDomain struct {
	Name mesh.FailureDomain `json:"name"`
}

// Service declares a set of interchangeable backend servers.
type Service struct {
	Name mesh.Service `json:"name"`
	// KeepReadySeconds is the time for which the old version stays ready after
	// a move to another version, in seconds.
	KeepReadySeconds uint32 `json:"keep_ready_s"`
}

// Class declares a class of calls with its priority, deadline, targets and retry
// budget.
type Class struct {
	Name     mesh.Class    `json:"name"`
	Priority mesh.Priority `json:"-"`
	// Idempotent is set if running a request twice has the effect of running
	// it once.
	Idempotent bool `json:"idempotent"`
	// DeadlineMillis is the total time that a call may take, in milliseconds.
	DeadlineMillis uint32 `json:"deadline_ms"`
	// TargetLatencyMillis is the latency target at p99, in milliseconds.
	TargetLatencyMillis uint32 `json:"target_latency_ms"`
	// TargetSuccessShare is the target for the share of calls that succeed, above
	// 0 and up to 1.
	TargetSuccessShare float64 `json:"target_success_share"`
	// RetryBudgetShare is the retry budget of the class: the number of retries allowed
	// per first attempt, 0 to 1. At 0.1 ten first attempts allow one retry.
	RetryBudgetShare float64 `json:"retry_budget_share"`
}

// Route maps calls to a service and a class.
type Route struct {
	Name mesh.Route `json:"name"`
	// Method is an HTTP method in upper case. Empty matches every method.
	Method string `json:"method"`
	// PathPrefix matches a path that equals it or continues it after a slash.
	PathPrefix string       `json:"path_prefix"`
	Service    mesh.Service `json:"service"`
	Class      mesh.Class   `json:"class"`
}

// Snapshot is one complete configuration. A Snapshot that has been accepted is
// shared between goroutines and must not be modified.
type Snapshot struct {
	FailureDomains []FailureDomain
	Services       []Service
	Classes        []Class
	Routes         []Route
}
