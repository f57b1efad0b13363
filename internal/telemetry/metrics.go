// Package telemetry provides the node's counters and their OpenTelemetry
// instruments, with a Prometheus scrape endpoint.
//
// Counters are atomics that the instruments read at a scrape, so counting on
// the call path neither locks nor allocates.
package telemetry

import (
	"sync/atomic"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Bounds of the label tables. Values outside are counted at index zero.
const (
	outcomes = int(mesh.MayHaveRun) + 1
	reasons  = 32
)

// Cause names what control bytes are used for.
type Cause uint8

// Causes of control bytes.
const (
	CauseDeliver Cause = iota
	CauseOperator
	CauseTimeline
	CauseOther
	causes
)

var causeNames = [causes]string{"deliver", "operator", "timeline", "other"}

// Direction is the direction of control bytes.
type Direction uint8

// Directions of control bytes.
const (
	Received Direction = iota
	Sent
	directions
)

var directionNames = [directions]string{"received", "sent"}

// Metrics holds the counters of one node. The zero Metrics is ready for use and
// safe for concurrent use.
type Metrics struct {
	calls        [outcomes][reasons]atomic.Int64
	gateResults  [8]atomic.Int64
	controlBytes [directions][causes]atomic.Int64

	// Panics counts recovered panics.
	Panics atomic.Int64
	// BadRequests counts requests refused as malformed or too large.
	BadRequests atomic.Int64
	// BadControl counts control messages refused as malformed or too large.
	BadControl atomic.Int64
	// LateEffects counts effects on calls that had already ended.
	LateEffects atomic.Int64
	// Steps counts steps of the reducer.
	Steps atomic.Int64
	// SendsFailed counts envelopes that could not be delivered.
	SendsFailed atomic.Int64
	// PlatformRequests counts requests to the platform.
	PlatformRequests atomic.Int64
	// PlatformUnknown counts platform requests without an answer.
	PlatformUnknown atomic.Int64
}

// CallDone counts a call answered to a caller.
func (m *Metrics) CallDone(outcome mesh.Outcome, reason mesh.Reason) {
	m.calls[bounded(int(outcome), outcomes)][bounded(int(reason), reasons)].Add(1)
}

// GateDone counts a call that the gate gave to a backend server. The result is
// the number of a core.GateResult.
func (m *Metrics) GateDone(result uint8) {
	m.gateResults[bounded(int(result), len(m.gateResults))].Add(1)
}

// ControlBytes counts bytes of control connections.
func (m *Metrics) ControlBytes(direction Direction, cause Cause, n int) {
	m.controlBytes[direction][cause].Add(int64(n))
}

// ControlBytesTotal returns the bytes counted for a direction and cause.
func (m *Metrics) ControlBytesTotal(direction Direction, cause Cause) int64 {
	return m.controlBytes[direction][cause].Load()
}

func bounded(i, size int) int {
	if i < size {
		return i
	}
	return 0
}
