package moves

import "github.com/chicoryscale/chicoryscale/internal/mesh"

// Side tells to which version of a move a count belongs.
type Side uint8

// Sides of a move.
const (
	// OldSide is the version that traffic moves from.
	OldSide Side = iota
	// NewSide is the version that traffic moves to.
	NewSide
	sideCount = 2
)

// Counts holds the call results of one side on one route and class over an
// interval.
type Counts struct {
	// Answered counts complete responses, including those with a failure status.
	Answered uint32
	Failed   uint32
	// Lost counts calls without a complete response, except crashes.
	Lost uint32
	// Crashes counts crashes of an instance with a call in flight whose request
	// was in no earlier crash. All such calls in one crash count once.
	Crashes uint32
	// Repeats counts calls in flight in a crash whose request was in flight in an
	// earlier crash too.
	Repeats uint32
	// Latency holds the latencies of answered calls to instances that are not in
	// their cold start.
	Latency Histogram
}

// evidenceCalls returns the number of calls that count for or against the
// version. Repeats are excluded, because the request is to blame for them.
func (c *Counts) evidenceCalls() uint32 { return c.Answered + c.Lost + c.Crashes }

// empty reports whether c counts no call.
func (c *Counts) empty() bool { return c.evidenceCalls()+c.Repeats == 0 }

// add adds the counts of o.
func (c *Counts) add(o *Counts) {
	c.Answered += o.Answered
	c.Failed += o.Failed
	c.Lost += o.Lost
	c.Crashes += o.Crashes
	c.Repeats += o.Repeats
	c.Latency.add(&o.Latency)
}

// Report is the evidence of one move, route and class since the sender's last
// report, summed over the sender's subtree. Both sides cover the same interval,
// so that sums of reports compare the versions over the same period.
type Report struct {
	Move  mesh.MoveID
	Route mesh.Route
	Class mesh.Class
	Sides [sideCount]Counts
}

// evidenceBuffer sums evidence by move, route and class until it is sent.
type evidenceBuffer struct {
	reports []Report
}

// entry returns the report of a move, route and class and adds an empty one if
// absent. The pointer is valid until the next call of entry, drain or
// removeMove.
func (b *evidenceBuffer) entry(move mesh.MoveID, route mesh.Route, class mesh.Class) *Report {
	for i := range b.reports {
		entry := &b.reports[i]
		if entry.Route == route && entry.Class == class && entry.Move == move {
			return entry
		}
	}
	b.reports = append(b.reports, Report{Move: move, Route: route, Class: class})
	return &b.reports[len(b.reports)-1]
}

// add adds the counts of a report.
func (b *evidenceBuffer) add(r *Report) {
	entry := b.entry(r.Move, r.Route, r.Class)
	entry.Sides[OldSide].add(&r.Sides[OldSide])
	entry.Sides[NewSide].add(&r.Sides[NewSide])
}

// drain appends the non-empty reports to dst and clears all counts. The empty
// entries stay in the buffer, so that counting allocates only for new routes.
func (b *evidenceBuffer) drain(dst []Report) []Report {
	for i := range b.reports {
		entry := &b.reports[i]
		if entry.Sides[OldSide].empty() && entry.Sides[NewSide].empty() {
			continue
		}
		dst = append(dst, *entry)
		entry.Sides = [sideCount]Counts{}
	}
	return dst
}

// hasNewCalls reports whether the buffer counts any call to a new version.
func (b *evidenceBuffer) hasNewCalls() bool {
	for i := range b.reports {
		if !b.reports[i].Sides[NewSide].empty() {
			return true
		}
	}
	return false
}

// removeMove removes the reports of a move that has ended.
func (b *evidenceBuffer) removeMove(move mesh.MoveID) {
	remaining := b.reports[:0]
	for _, r := range b.reports {
		if r.Move != move {
			remaining = append(remaining, r)
		}
	}
	b.reports = remaining
}
