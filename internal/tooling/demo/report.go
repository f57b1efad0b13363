package main

import (
	"math"
	"time"
)

// report is the JSON object in the last line of the output.
type report struct {
	// Calls counts the callers' requests. All attempts of a request count as one
	// call.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	// Wrong counts responses that are incomplete, belong to another request or
	// have an unknown outcome.
	Wrong int `json:"wrong"`
	// RanTwice counts request IDs that were executed more than once.
	RanTwice int `json:"ran_twice"`
	// ConvergenceMillis is the longest time from the start of an operator's
	// command until every running node has applied the version.
	ConvergenceMillis int64 `json:"convergence_ms_max"`
	// ControlBytes is the mean of the bytes that a node sent and received in
	// control messages, per second.
	ControlBytes float64 `json:"control_bytes_per_node_s"`
	// AddedLatencyMillis is the difference at p99 between lookups through the
	// nodes and direct calls to the same backend servers.
	AddedLatencyMillis float64 `json:"added_latency_ms_p99"`
	MovesDone          int     `json:"moves_done"`
	MovesWithdrawn     int     `json:"moves_withdrawn"`
	// BadVersionShare is the share of the attempts for the depot service that the
	// bad version answered, from the start of its move until the callers stop.
	BadVersionShare float64  `json:"bad_version_share"`
	Failures        []string `json:"failures,omitempty"`
}

// report prints the details and returns the report for the last line.
func (d *demo) report() *report {
	t := d.callers.tally
	added := t.addedLatency()
	t.mu.Lock()
	defer t.mu.Unlock()
	d.printProgress("%d calls, %d answered; %d attempts were answered with status 500 or above", t.calls, t.answered, t.serverErrors)
	for outcome, n := range t.unanswered {
		d.printProgress("  %d attempts ended with outcome %s", n, outcome)
	}
	d.printProgress("control bytes per second and node: mean %.0f, highest %.0f", d.meter.meanPerNode, d.meter.highestPerNode)
	d.printProgress("latency at p99: through the nodes %v, direct %v, from %d pairs of calls", latencyAtPercentile(t.proxied).Round(time.Microsecond), latencyAtPercentile(t.direct).Round(time.Microsecond), len(t.direct))
	for _, reason := range d.failures.all() {
		d.printProgress("FAILED: %s", reason)
	}
	return &report{
		Calls: t.calls, Answered: t.answered, Wrong: len(t.wrongAnswers), RanTwice: d.executions.duplicateCount,
		ConvergenceMillis: d.watcher.longest().Milliseconds(), ControlBytes: math.Round(d.meter.meanPerNode),
		AddedLatencyMillis: math.Round(added.Seconds()*1e6) / 1e3,
		MovesDone:          d.moves.done, MovesWithdrawn: d.moves.withdrawn,
		BadVersionShare: math.Round(float64(t.badVersionAnswers)/float64(max(t.depotAttempts, 1))*1e5) / 1e5,
		Failures:        d.failures.all(),
	}
}
