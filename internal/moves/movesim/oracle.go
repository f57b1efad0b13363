package movesim

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// shownRatio is the likelihood ratio at which a fault counts as shown. The
// ratio is that of an ideal observer that sees each call's end at once and knows
// the fault's kind, size, route and start. Such an observer would have to rule
// out about 100 combinations of kind, size and route at a false alarm rate of
// 0.1% over a move.
const shownRatio = 1e5

// oracleLedger is the ideal observer's evidence from one set of domains.
type oracleLedger struct {
	least   float64 // log of the ratio at which the fault counts as shown
	log     float64
	shown   bool
	shownAt mesh.Time
}

// add adds the evidence of one call.
func (l *oracleLedger) add(now mesh.Time, ratio float64) {
	l.log += ratio
	if !l.shown && l.log >= l.least {
		l.shown, l.shownAt = true, now
	}
}

// oracle determines when the new version's fault has shown. While a domain is
// isolated, its calls and those of the others are kept apart.
type oracle struct {
	s        *Scenario
	all      oracleLedger
	isolated oracleLedger
	cut      bool
	healed   mesh.Time
	// late is the longest time between the fault's showing and a later call to
	// the new version; firstFaulty the first faulty call's end.
	late        time.Duration
	firstFaulty mesh.Time
	lastNew     mesh.Time
}

// newOracle returns the observer of a scenario.
func newOracle(s *Scenario) oracle {
	least := math.Log(shownRatio)
	if s.startUnknown() {
		least += math.Log(s.Duration.Seconds())
	}
	return oracle{s: s, all: oracleLedger{least: least}}
}

// ratio returns the log-likelihood ratio of an affected call.
func (o *oracle) ratio(route int, x *sample) float64 {
	r := &o.s.Routes[route]
	bad := x.result.Failed || x.result.Outcome != mesh.Answered
	if !o.s.Fault.slow() {
		fails := o.s.Size + (1-o.s.Size)*r.Failures
		if bad {
			return math.Log(fails / r.Failures)
		}
		return math.Log((1 - fails) / (1 - r.Failures))
	}
	if x.result.Cold || bad && x.result.Latency < callTimeout {
		return 0
	}
	z := math.Log(float64(x.result.Latency)/float64(r.Median)) / r.Sigma
	shift := math.Log(o.s.Size) / r.Sigma
	return z*shift - shift*shift/2
}

// partition starts or ends an isolation.
func (o *oracle) partition(now mesh.Time, cut bool) {
	if cut && !o.cut {
		o.isolated = o.all
	}
	if !cut && o.cut {
		o.healed = now
	}
	o.cut = cut
}

// ended counts the end of a call.
func (o *oracle) ended(now mesh.Time, route int, isolated bool, x *sample) {
	if !x.affected {
		return
	}
	if x.faulty && o.firstFaulty == 0 {
		o.firstFaulty = now
	}
	if isolated {
		o.isolated.add(now, o.ratio(route, x))
		return
	}
	o.all.add(now, o.ratio(route, x))
}

// sent counts a call that was sent to the new version.
func (o *oracle) sent(now mesh.Time, isolated bool) {
	o.lastNew = now
	shown, at := o.all.shown, o.all.shownAt
	switch {
	case isolated:
		shown, at = o.isolated.shown, o.isolated.shownAt
	case shown && !o.cut:
		at = max(at, o.healed)
	}
	if shown {
		o.late = max(o.late, now.Sub(at))
	}
}
