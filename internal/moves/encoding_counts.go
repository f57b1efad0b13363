package moves

import (
	"math"
	"math/bits"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/wire"
)

// Bits of the parts that Counts have.
const (
	partAnswered = 1 << iota
	partFailed
	partLost
	partCrashes
	partRepeats
	partLatency
)

// writeReports appends a list of reports, each against the names of the one
// before.
func writeReports(w *wire.Writer, reports []Report) {
	w.Uint(uint64(len(reports)))
	prev := &Report{}
	for i := range reports {
		p := &reports[i]
		w.Prefixed(string(prev.Move), string(p.Move))
		w.Prefixed(string(prev.Route), string(p.Route))
		w.Prefixed(string(prev.Class), string(p.Class))
		for side := range p.Sides {
			p.Sides[side].write(w)
		}
		prev = p
	}
}

func readReport(r *wire.Reader, prev *Report) Report {
	p := Report{
		Move:  mesh.MoveID(r.Prefixed(string(prev.Move), maxNameBytes)),
		Route: mesh.Route(r.Prefixed(string(prev.Route), maxNameBytes)),
		Class: mesh.Class(r.Prefixed(string(prev.Class), maxNameBytes)),
	}
	for side := range p.Sides {
		p.Sides[side].read(r)
	}
	return p
}

// fields returns the numbers of c in the order of their part bits.
func (c *Counts) fields() [5]*uint32 {
	return [...]*uint32{&c.Answered, &c.Failed, &c.Lost, &c.Crashes, &c.Repeats}
}

func (c *Counts) write(w *wire.Writer) {
	parts := wire.FlagIf(partLatency, c.Latency != Histogram{})
	for i, n := range c.fields() {
		parts |= wire.FlagIf(partAnswered<<i, *n != 0)
	}
	w.Byte(parts)
	for _, n := range c.fields() {
		if *n != 0 {
			w.Uint(uint64(*n))
		}
	}
	if parts&partLatency != 0 {
		c.Latency.write(w)
	}
}

func (c *Counts) read(r *wire.Reader) {
	parts := r.Byte()
	for i, n := range c.fields() {
		if parts&(partAnswered<<i) != 0 {
			*n = uint32(r.Uint(math.MaxUint32))
		}
	}
	if parts&partLatency != 0 {
		c.Latency.read(r)
	}
}

// write appends the first bucket that is not empty, a bit for each bucket from
// there that is not empty, and the counts of these. Latencies lie close to each
// other, so that the bits take one or two bytes.
func (h *Histogram) write(w *wire.Writer) {
	var set uint32
	for i, n := range h {
		if n != 0 {
			set |= 1 << i
		}
	}
	first := bits.TrailingZeros32(set)
	w.Byte(byte(first))
	w.Uint(uint64(set >> first))
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
	set := uint32(r.Uint(math.MaxUint32>>first)) << first
	for i := range h {
		if set&(1<<i) != 0 {
			h[i] = uint32(r.Uint(math.MaxUint32))
		}
	}
}
