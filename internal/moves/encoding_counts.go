package moves

import (
	"math"
	"math/bits"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

// Flags of the fields that encoded Counts contain, which are those that are not
// zero.
const (
	hasAnswered = 1 << iota
	hasFailed
	hasLost
	hasCrashes
	hasRepeats
	hasLatency
)

// writeReports appends a list of reports. The names in each report are encoded
// against those in the previous report, with which they share prefixes.
func writeReports(w *wire.Writer, reports []Report) {
	w.Uint(uint64(len(reports)))
	prev := &Report{}
	for i := range reports {
		report := &reports[i]
		w.Prefixed(string(prev.Move), string(report.Move))
		w.Prefixed(string(prev.Route), string(report.Route))
		w.Prefixed(string(prev.Class), string(report.Class))
		for side := range report.Sides {
			report.Sides[side].write(w)
		}
		prev = report
	}
}

func readReport(r *wire.Reader, prev *Report) Report {
	report := Report{
		Move:  mesh.MoveID(r.Prefixed(string(prev.Move), maxNameBytes)),
		Route: mesh.Route(r.Prefixed(string(prev.Route), maxNameBytes)),
		Class: mesh.Class(r.Prefixed(string(prev.Class), maxNameBytes)),
	}
	for side := range report.Sides {
		report.Sides[side].read(r)
	}
	return report
}

// fields returns pointers to the counters of c in the order of their flags.
func (c *Counts) fields() [5]*uint32 {
	return [...]*uint32{&c.Answered, &c.Failed, &c.Lost, &c.Crashes, &c.Repeats}
}

func (c *Counts) write(w *wire.Writer) {
	flags := wire.FlagIf(hasLatency, c.Latency != Histogram{})
	for i, n := range c.fields() {
		flags |= wire.FlagIf(hasAnswered<<i, *n != 0)
	}
	w.Byte(flags)
	for _, n := range c.fields() {
		if *n != 0 {
			w.Uint(uint64(*n))
		}
	}
	if flags&hasLatency != 0 {
		c.Latency.write(w)
	}
}

func (c *Counts) read(r *wire.Reader) {
	flags := r.Byte()
	for i, n := range c.fields() {
		if flags&(hasAnswered<<i) != 0 {
			*n = uint32(r.Uint(math.MaxUint32))
		}
	}
	if flags&hasLatency != 0 {
		c.Latency.read(r)
	}
}

// write appends the index of the first bucket that is not empty, a bitmap of the
// buckets from there on that are not empty, and the counts of these. Latencies
// lie close to each other, so the bitmap takes one or two bytes.
func (h *Histogram) write(w *wire.Writer) {
	var nonEmpty uint32
	for i, n := range h {
		if n != 0 {
			nonEmpty |= 1 << i
		}
	}
	first := bits.TrailingZeros32(nonEmpty)
	w.Byte(byte(first))
	w.Uint(uint64(nonEmpty >> first))
	for _, n := range h {
		if n != 0 {
			w.Uint(uint64(n))
		}
	}
}

func (h *Histogram) read(r *wire.Reader) {
	first := int(r.Byte())
	if first >= Buckets {
		r.Fail("histogram begins with bucket %d of %d", first, Buckets)
		return
	}
	nonEmpty := uint32(r.Uint(math.MaxUint32>>first)) << first
	for i := range h {
		if nonEmpty&(1<<i) != 0 {
			h[i] = uint32(r.Uint(math.MaxUint32))
		}
	}
}
