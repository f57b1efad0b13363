package main

import (
	"math"
	"time"
)

// report is the last line of the output.
type report struct {
	// Calls counts requests of callers; resends of one request count once.
	Calls    int `json:"calls"`
	Answered int `json:"answered"`
	// Wrong counts answers that are incomplete or not the caller's own.
	Wrong int `json:"wrong"`
	// RanTwice counts identities that ran more than once.
	RanTwice int `json:"ran_twice"`
	// ConvergenceMillis is the longest time from the start of an operator's
	// command until every running node has the version.
	ConvergenceMillis int64 `json:"convergence_ms_max"`
	// ControlBytes is the mean of the bytes that a node sent and received in
	// control messages, per second.
	ControlBytes float64 `json:"control_bytes_per_node_s"`
	// AddedLatencyMillis is the difference at p99 between lookups through the
	// nodes and direct calls to the same backend servers.
	AddedLatencyMillis float64 `json:"added_latency_ms_p99"`
	MovesDone          int     `json:"moves_done"`
	MovesWithdrawn     int     `json:"moves_withdrawn"`
	// BadVersionShare is the part of the service's calls that the bad version
	// answered from the start of its move until the end of the calls.
	BadVersionShare float64  `json:"bad_version_share"`
	Failures        []string `json:"failures,omitempty"`
}

// report prints the details and returns the last line.
func (d *demo) report() *report {
	t := d.callers.tally
	added := t.addedLatency()
	t.mu.Lock()
	defer t.mu.Unlock()
	d.say("%d calls, %d answered, of these sends %d with status 500", t.calls, t.answered, t.failed)
	for refusal, n := range t.refusals {
		d.say("  %d sends ended %s", n, refusal)
	}
	d.say("control bytes per second: mean of the nodes %.0f, highest %.0f", d.meter.perNode, d.meter.highest)
	d.say("latency at p99: through the nodes %v, direct %v, from %d pairs", at(t.through).Round(time.Microsecond), at(t.direct).Round(time.Microsecond), len(t.direct))
	for _, reason := range d.failures.all() {
		d.say("FAILED: %s", reason)
	}
	return &report{
		Calls: t.calls, Answered: t.answered, Wrong: len(t.wrong), RanTwice: d.ran.twice,
		ConvergenceMillis: d.watch.longestTime().Milliseconds(), ControlBytes: math.Round(d.meter.perNode),
		AddedLatencyMillis: math.Round(added.Seconds()*1e6) / 1e3,
		MovesDone:          d.moves.done, MovesWithdrawn: d.moves.withdrawn,
		BadVersionShare: math.Round(float64(t.badCalls)/float64(max(t.moveCalls, 1))*1e5) / 1e5,
		Failures:        d.failures.all(),
	}
}
