package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// levels is the number of disturbance levels that a test distinguishes. Level
// 0 is the normal state; the others stand for a disturbance that affects both
// versions alike, such as an outage or a general slowdown.
const levels = 10

// alternatives is the number of faults that a test distinguishes. Alternative 0
// is a version without a fault.
const alternatives = 8

const (
	// disturbancePrior is the probability that a group of calls falls into a
	// disturbance of both versions. It bounds the evidence from a group without
	// calls to the old version.
	disturbancePrior = 0.01
	// disturbedWeight and disturbedPenalty reduce the log-ratio for a fault of a
	// group in which the old version is itself disturbed. The levels describe a
	// disturbance only roughly, and the misfit would add up over groups.
	disturbedWeight  = 0.5
	disturbedPenalty = 1.0
	// disturbedTime is the time for which a disturbance is expected to go on, and
	// persistentPrior its probability in that time.
	disturbedTime   = 10 * time.Second
	persistentPrior = 0.5
)

// The prior on the start of a fault: startWeight on the first call to the new
// version, stepWeight on each entry of one of maxSteps levels, because a fault
// under load begins with a higher share, and timeWeight spread over the move's
// planned duration.
const (
	startWeight = 0.4
	stepWeight  = 0.05
	maxSteps    = 6
	timeWeight  = 1 - startWeight - maxSteps*stepWeight
)

// group holds the log-likelihoods of one group of calls under each level. Both
// versions' calls of a group were made over the same interval. For the new
// version, entry [a][l] is the likelihood at level l with the additional fault
// of alternative a; entry [0][l] is without a fault.
type group struct {
	old [levels]float64
	new [alternatives][levels]float64
	// persistent is set shortly after a disturbance.
	persistent bool
}

// prior returns the probability that the group falls into a disturbance.
func (g *group) prior() float64 {
	if g.persistent {
		return persistentPrior
	}
	return disturbancePrior
}

// add multiplies the likelihoods of an independent group of another route.
func (g *group) add(o *group) {
	for l := range g.old {
		g.old[l] += o.old[l]
	}
	for a := range g.new {
		for l := range g.new[a] {
			g.new[a][l] += o.new[a][l]
		}
	}
}

// ratios returns for each alternative the log of its likelihood ratio against
// "both versions behave alike". A disturbance is possible on both sides of the
// ratio, so calls that fail in both versions alike give a ratio near one.
func (g *group) ratios() (out [alternatives]float64) {
	null := g.mixture(0)
	disturbed := g.persistent || g.disturbed()
	for a := 1; a < alternatives; a++ {
		out[a] = g.mixture(a) - null
		if disturbed && out[a] > 0 {
			out[a] = disturbedWeight*out[a] - disturbedPenalty
		}
	}
	return out
}

// disturbed reports whether the old version's calls alone make a disturbance
// more probable than not.
func (g *group) disturbed() bool {
	prior := math.Log(g.prior() / (levels - 1))
	for l := 1; l < levels; l++ {
		if prior+g.old[l] > g.old[0] {
			return true
		}
	}
	return false
}

// mixture returns the log-likelihood of the group with alternative a, averaged
// over the levels.
func (g *group) mixture(a int) float64 {
	var terms [levels]float64
	terms[0] = math.Log1p(-g.prior()) + g.old[0] + g.new[a][0]
	prior := math.Log(g.prior() / (levels - 1))
	for l := 1; l < levels; l++ {
		terms[l] = prior + g.old[l] + g.new[a][l]
	}
	return logSum(terms[:])
}

// sequential is a sequential test that may be read after every group. Its
// value is an e-value: under "both versions behave alike" its expectation stays
// at most one, so by Ville's inequality it ever exceeds x with probability at
// most 1/x.
type sequential struct {
	closed  [alternatives]float64 // log of the e-value of each alternative
	started bool
	// disturbedUntil is the time until which the last disturbance is expected to
	// go on.
	disturbedUntil mesh.Time
}

// value returns the log of the e-value if the open group ended now. The bet is
// the prior on a fault that began with the group.
func (s *sequential) value(open *group, bet float64) float64 {
	e := s.extended(open, bet)
	return logSum(e[1:]) - math.Log(alternatives-1)
}

// close ends the open group.
func (s *sequential) close(now mesh.Time, open *group, bet float64) {
	s.closed = s.extended(open, bet)
	s.started = true
	if open.disturbed() {
		s.disturbedUntil = now.Add(disturbedTime)
	}
}

// extended returns the e-values after a group. Each group adds its bet, so a
// fault that begins late is not outweighed by the good calls before it.
func (s *sequential) extended(open *group, bet float64) [alternatives]float64 {
	ratio := open.ratios()
	var out [alternatives]float64
	for a := 1; a < alternatives; a++ {
		before := startWeight
		if s.started {
			before = math.Exp(s.closed[a])
		}
		out[a] = math.Log(before+bet) + ratio[a]
	}
	return out
}

// logSum returns the log of the sum of the exponentials.
func logSum(x []float64) float64 {
	top := math.Inf(-1)
	for _, v := range x {
		top = max(top, v)
	}
	if math.IsInf(top, -1) {
		return top
	}
	sum := 0.0
	for _, v := range x {
		sum += math.Exp(v - top)
	}
	return top + math.Log(sum)
}
