package moves

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// disturbanceLevels is the number of disturbance levels that a test
// distinguishes. Level 0 is the normal state. The others are strengths of a
// disturbance that affects both versions alike, such as an outage or a general
// slowdown.
const disturbanceLevels = 10

// alternatives is the number of hypotheses about a fault of the new version that
// a test distinguishes. Alternative 0 is a version without a fault, the others
// are faults of different size.
const alternatives = 8

const (
	// disturbancePrior is the prior probability that a group of calls falls into a
	// disturbance of both versions. It bounds the evidence from a group without
	// calls to the old version.
	disturbancePrior = 0.01
	// disturbedRatioWeight and disturbedRatioPenalty reduce the log-likelihood
	// ratio for a fault in a group in which the old version is disturbed too, or
	// shortly after such a group. The levels model a disturbance only roughly, and
	// the error would add up over groups.
	disturbedRatioWeight  = 0.5
	disturbedRatioPenalty = 1.0
	// disturbanceDuration is the time for which a disturbance is expected to
	// continue after a disturbed group, and ongoingDisturbancePrior the prior
	// probability of a disturbance in that time.
	disturbanceDuration     = 10 * time.Second
	ongoingDisturbancePrior = 0.5
)

// The prior on the time at which a fault begins: startPrior is on the first call
// to the new version, levelEntryPrior on the entry of each of the first
// maxLevelEntries levels, because a fault under load begins with a higher share,
// and timePrior is spread evenly over the move's duration.
const (
	startPrior      = 0.4
	levelEntryPrior = 0.05
	maxLevelEntries = 6
	timePrior       = 1 - startPrior - maxLevelEntries*levelEntryPrior
)

// groupLikelihoods holds the log-likelihoods of the old and the new version's
// calls in one group at each disturbance level. The calls to both versions were
// made over the same interval. For the new version, entry [a][l] is the
// log-likelihood at level l with the fault of alternative a, and entry [0][l]
// that without a fault.
type groupLikelihoods struct {
	old [disturbanceLevels]float64
	new [alternatives][disturbanceLevels]float64
	// disturbanceExpected is set within disturbanceDuration after a disturbed group,
	// because the disturbance is expected to continue for that time.
	disturbanceExpected bool
}

// disturbanceProbability returns the prior probability that the group falls into
// a disturbance.
func (g *groupLikelihoods) disturbanceProbability() float64 {
	if g.disturbanceExpected {
		return ongoingDisturbancePrior
	}
	return disturbancePrior
}

// multiply multiplies the likelihoods by those of an independent group of another
// route or class.
func (g *groupLikelihoods) multiply(other *groupLikelihoods) {
	for l := range g.old {
		g.old[l] += other.old[l]
	}
	for a := range g.new {
		for l := range g.new[a] {
			g.new[a][l] += other.new[a][l]
		}
	}
}

// logRatios returns for each alternative the logarithm of its likelihood ratio
// against the null hypothesis "both versions behave alike". Both hypotheses allow
// for a disturbance, so calls that fail alike on both versions give a ratio near
// one.
func (g *groupLikelihoods) logRatios() (ratios [alternatives]float64) {
	null := g.logMixture(0)
	disturbed := g.disturbanceExpected || g.disturbed()
	for a := 1; a < alternatives; a++ {
		ratios[a] = g.logMixture(a) - null
		if disturbed && ratios[a] > 0 {
			ratios[a] = disturbedRatioWeight*ratios[a] - disturbedRatioPenalty
		}
	}
	return ratios
}

// disturbed reports whether the old version's calls alone make one of the
// disturbance levels more probable than the normal state.
func (g *groupLikelihoods) disturbed() bool {
	logPrior := math.Log(g.disturbanceProbability() / (disturbanceLevels - 1))
	for l := 1; l < disturbanceLevels; l++ {
		if logPrior+g.old[l] > g.old[0] {
			return true
		}
	}
	return false
}

// logMixture returns the log-likelihood of the group with alternative a, averaged
// over the disturbance levels by their prior.
func (g *groupLikelihoods) logMixture(a int) float64 {
	var terms [disturbanceLevels]float64
	terms[0] = math.Log1p(-g.disturbanceProbability()) + g.old[0] + g.new[a][0]
	logPrior := math.Log(g.disturbanceProbability() / (disturbanceLevels - 1))
	for l := 1; l < disturbanceLevels; l++ {
		terms[l] = logPrior + g.old[l] + g.new[a][l]
	}
	return logSumExp(terms[:])
}

// sequentialTest is a sequential test that may be evaluated after every group.
// Its result is an e-value: under the null hypothesis "both versions behave
// alike" its expectation stays at most one, so by Ville's inequality the
// probability that it ever reaches x is at most 1/x.
type sequentialTest struct {
	logEValues [alternatives]float64 // log of each alternative's e-value after the closed groups
	hasGroup   bool                  // a group was closed
	// disturbedUntil is the time until which the last disturbance is expected to
	// continue.
	disturbedUntil mesh.Time
}

// logEValue returns the logarithm of the e-value including the open group. The
// faultPrior is the prior probability that a fault began in the group.
func (t *sequentialTest) logEValue(g *groupLikelihoods, faultPrior float64) float64 {
	logEValues := t.logEValuesAfter(g, faultPrior)
	return logSumExp(logEValues[1:]) - math.Log(alternatives-1)
}

// close adds a group to the closed ones.
func (t *sequentialTest) close(now mesh.Time, g *groupLikelihoods, faultPrior float64) {
	t.logEValues = t.logEValuesAfter(g, faultPrior)
	t.hasGroup = true
	if g.disturbed() {
		t.disturbedUntil = now.Add(disturbanceDuration)
	}
}

// logEValuesAfter returns the logarithms of the e-values after a further group.
// Each group adds its faultPrior, so the good calls before a fault that begins
// late do not outweigh it.
func (t *sequentialTest) logEValuesAfter(g *groupLikelihoods, faultPrior float64) [alternatives]float64 {
	ratios := g.logRatios()
	var out [alternatives]float64
	for a := 1; a < alternatives; a++ {
		before := startPrior
		if t.hasGroup {
			before = math.Exp(t.logEValues[a])
		}
		out[a] = math.Log(before+faultPrior) + ratios[a]
	}
	return out
}

// logSumExp returns the logarithm of the sum of the exponentials of x.
func logSumExp(x []float64) float64 {
	largest := math.Inf(-1)
	for _, v := range x {
		largest = max(largest, v)
	}
	if math.IsInf(largest, -1) {
		return largest
	}
	sum := 0.0
	for _, v := range x {
		sum += math.Exp(v - largest)
	}
	return largest + math.Log(sum)
}
