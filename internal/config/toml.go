package config

import (
	"math"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/tomldoc"
)

// Default values of optional keys.
const (
	// DefaultKeepReadySeconds is the time for which an old version stays ready
	// after a move, in seconds.
	DefaultKeepReadySeconds = 300
	// DefaultRetryBudgetShare is the number of retries allowed per first attempt.
	DefaultRetryBudgetShare = 0.1
)

// ParseTOML reads a configuration written by an operator and validates it. The
// error is of type Faults and lists every fault with file, line and key. After a
// syntax error the rest cannot be read reliably, so only that error is reported.
func ParseTOML(file string, data []byte) (*Snapshot, error) {
	doc, err := tomldoc.Parse(file, data)
	if err != nil {
		return nil, err
	}
	s := readSnapshot(doc.Root())
	for _, fault := range Validate(s) {
		// A value that is missing or could not be read was replaced by its default.
		// Its fault is recorded already, so a fault of the default is not reported.
		if !doc.HasFault(fault.Key) {
			doc.AddFault(fault.Key, fault.Reason)
		}
	}
	if err := doc.Finish().AsError(); err != nil {
		return nil, err
	}
	return s, nil
}

func readSnapshot(root *tomldoc.Table) *Snapshot {
	s := &Snapshot{}
	for _, t := range root.Tables("failure_domains") {
		t.Require("name")
		s.FailureDomains = append(s.FailureDomains, FailureDomain{Name: mesh.FailureDomain(t.String("name", ""))})
	}
	for _, t := range root.Tables("services") {
		s.Services = append(s.Services, readService(t))
	}
	for _, t := range root.Tables("classes") {
		s.Classes = append(s.Classes, readClass(t))
	}
	for _, t := range root.Tables("routes") {
		s.Routes = append(s.Routes, readRoute(t))
	}
	return s
}

func readService(t *tomldoc.Table) Service {
	t.Require("name")
	return Service{
		Name:             mesh.Service(t.String("name", "")),
		KeepReadySeconds: readUint32(t, "keep_ready_s", DefaultKeepReadySeconds),
	}
}

func readClass(t *tomldoc.Table) Class {
	t.Require("name", "priority", "idempotent", "deadline_ms", "target_latency_ms", "target_success_share")
	c := Class{
		Name:                mesh.Class(t.String("name", "")),
		Idempotent:          t.Bool("idempotent", false),
		DeadlineMillis:      readUint32(t, "deadline_ms", 0),
		TargetLatencyMillis: readUint32(t, "target_latency_ms", 0),
		TargetSuccessShare:  t.Float("target_success_share", 0, math.Inf(-1), math.Inf(1)),
		RetryBudgetShare:    t.Float("retry_budget_share", DefaultRetryBudgetShare, math.Inf(-1), math.Inf(1)),
	}
	if name := t.String("priority", ""); name != "" {
		priority, err := mesh.ParsePriority(name)
		if err != nil {
			t.AddFaultf("priority", "%v", err)
		}
		c.Priority = priority
	}
	return c
}

func readRoute(t *tomldoc.Table) Route {
	t.Require("name", "path_prefix", "service", "class")
	return Route{
		Name:       mesh.Route(t.String("name", "")),
		Method:     t.String("method", ""),
		PathPrefix: t.String("path_prefix", ""),
		Service:    mesh.Service(t.String("service", "")),
		Class:      mesh.Class(t.String("class", "")),
	}
}

func readUint32(t *tomldoc.Table, key string, def uint32) uint32 {
	return uint32(t.Int(key, int64(def), 0, math.MaxUint32))
}
