// Package telemetry provides the node's counters and their OpenTelemetry
// instruments, with a Prometheus scrape endpoint.
//
// The counters are atomics that the instruments read at a scrape, so that counting
// on the call path neither locks nor allocates.
package telemetry

import (
	"sync/atomic"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// Sizes of the counter table of calls. A value outside of the table is counted at
// index zero.
const (
	outcomeCount = int(mesh.MayHaveRun) + 1
	reasonCount  = 32
)

// Cause is the purpose of the bytes on a control connection, by RPC method.
type Cause uint8

// Causes of control bytes.
const (
	// CauseDeliver is the traffic of messages between nodes.
	CauseDeliver Cause = iota
	// CauseOperator is the traffic of operator commands.
	CauseOperator
	// CauseTimeline is the traffic of reading the timeline.
	CauseTimeline
	// CauseOther is the traffic of other or unknown methods.
	CauseOther
	causeCount
)

var causeNames = [causeCount]string{"deliver", "operator", "timeline", "other"}

// Direction is the direction of control bytes, as seen from this node.
type Direction uint8

// Directions of control bytes.
const (
	Received Direction = iota
	Sent
	directionCount
)

var directionNames = [directionCount]string{"received", "sent"}

// Metrics holds the counters of one node. The zero Metrics is ready for use and
// safe for concurrent use.
type Metrics struct {
	// calls is indexed by outcome and reason, gateResults by core.GateResult.
	calls        [outcomeCount][reasonCount]atomic.Int64
	gateResults  [8]atomic.Int64
	controlBytes [directionCount][causeCount]atomic.Int64

	// Panics counts recovered panics.
	Panics atomic.Int64
	// BadRequests counts requests refused as malformed or too large.
	BadRequests atomic.Int64
	// BadControl counts control messages refused as malformed or too large.
	BadControl atomic.Int64
	// LateEffects counts effects of the reducer that were not delivered because
	// the call had already ended or its channel was full.
	LateEffects atomic.Int64
	// Steps counts steps of the reducer.
	Steps atomic.Int64
	// SendsFailed counts control envelopes that could not be delivered to their
	// peer.
	SendsFailed atomic.Int64
	// PlatformRequests counts requests to the platform.
	PlatformRequests atomic.Int64
	// PlatformUnknown counts platform requests without an answer. It is unknown
	// whether they took effect.
	PlatformUnknown atomic.Int64
}

// CallDone counts a call whose caller got a response, by outcome and reason.
func (m *Metrics) CallDone(outcome mesh.Outcome, reason mesh.Reason) {
	m.calls[indexOrZero(int(outcome), outcomeCount)][indexOrZero(int(reason), reasonCount)].Add(1)
}

// GateDone counts a call that the gate dispatched to a backend server. The result
// is the numeric value of a core.GateResult.
func (m *Metrics) GateDone(result uint8) {
	m.gateResults[indexOrZero(int(result), len(m.gateResults))].Add(1)
}

// ControlBytes counts bytes of control connections.
func (m *Metrics) ControlBytes(direction Direction, cause Cause, n int) {
	m.controlBytes[direction][cause].Add(int64(n))
}

// ControlBytesTotal returns the bytes counted for a direction and cause.
func (m *Metrics) ControlBytesTotal(direction Direction, cause Cause) int64 {
	return m.controlBytes[direction][cause].Load()
}

// indexOrZero returns i, or zero if i is not below size.
func indexOrZero(i, size int) int {
	if i < size {
		return i
	}
	return 0
}
