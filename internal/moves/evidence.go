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

// calls returns the number of calls that count as evidence.
func (c *Counts) calls() uint32 { return c.Answered + c.Lost + c.Crashes }

// empty reports whether c counts nothing.
func (c *Counts) empty() bool { return c.calls()+c.Repeats == 0 }

// add adds the counts of o.
func (c *Counts) add(o *Counts) {
	c.Answered += o.Answered
	c.Failed += o.Failed
	c.Lost += o.Lost
	c.Crashes += o.Crashes
	c.Repeats += o.Repeats
	c.Latency.add(&o.Latency)
}

// Report is the evidence of one move, route and class between two flushes of
// the sender, summed over the sender's subtree. Both sides cover the same
// interval, so that sums of reports compare the versions over equal time.
type Report struct {
	Move  mesh.MoveID
	Route mesh.Route
	Class mesh.Class
	Sides [sides]Counts
}

// ledger sums evidence by move, route and class until it is sent.
type ledger struct {
	reports []Report
}

// at returns the entry of a move, route and class, and adds it if absent. The
// pointer is valid until the next call.
func (l *ledger) at(move mesh.MoveID, route mesh.Route, class mesh.Class) *Report {
	for i := range l.reports {
		p := &l.reports[i]
		if p.Route == route && p.Class == class && p.Move == move {
			return p
		}
	}
	l.reports = append(l.reports, Report{Move: move, Route: route, Class: class})
	return &l.reports[len(l.reports)-1]
}

// add merges a report.
func (l *ledger) add(r *Report) {
	p := l.at(r.Move, r.Route, r.Class)
	p.Sides[OldSide].add(&r.Sides[OldSide])
	p.Sides[NewSide].add(&r.Sides[NewSide])
}

// take appends the non-empty entries to dst and clears all counts. Entries are
// kept, so that counting allocates only for new routes.
func (l *ledger) take(dst []Report) []Report {
	for i := range l.reports {
		p := &l.reports[i]
		if p.Sides[OldSide].empty() && p.Sides[NewSide].empty() {
			continue
		}
		dst = append(dst, *p)
		p.Sides = [sides]Counts{}
	}
	return dst
}

// countsNew reports whether any call to a new version is counted.
func (l *ledger) countsNew() bool {
	for i := range l.reports {
		if !l.reports[i].Sides[NewSide].empty() {
			return true
		}
	}
	return false
}

// drop removes the entries of a move that has ended.
func (l *ledger) drop(move mesh.MoveID) {
	kept := l.reports[:0]
	for _, r := range l.reports {
		if r.Move != move {
			kept = append(kept, r)
		}
	}
	l.reports = kept
}
