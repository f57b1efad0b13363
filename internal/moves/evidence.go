package moves

import "github.com/chicoryscale/chicoryscale/internal/mesh"

// Side tells which version of a move a count belongs to.
type Side uint8

// Sides of a move.
const (
	// OldSide is the version that traffic moves from.
	OldSide Side = iota
	// NewSide is the version that traffic moves to.
	NewSide
	sides = 2
)

// Counts is the evidence of one side on one route and class in one window.
type Counts struct {
	// Answered counts complete answers, including failed ones.
	Answered uint32
	Failed   uint32
	// Lost counts calls without a complete answer, except crashes.
	Lost uint32
	// Crashes counts crashes of an instance by requests that have not crashed
	// one before. All calls in flight in one crash count once.
	Crashes uint32
	// Repeats counts crashes by requests that crashed an instance before.
	Repeats uint32
	// Latency holds the latencies of answered calls outside cold starts.
	Latency Histogram
}

// Report is the evidence of one move, route and class in one window, summed
// over the sender's subtree.
type Report struct {
	Move   mesh.MoveID
	Route  mesh.Route
	Class  mesh.Class
	Window int64 // time of the window's start divided by WindowLength
	Sides  [sides]Counts
}
