package moves

import "math"

const (
	// toleratedFailureShare is the failure share that a version without a fault may
	// have. Lower shares are not distinguished from it.
	toleratedFailureShare = 0.003
	// toleratedFailureWeight is the weight, in calls, of toleratedFailureShare
	// against the measured failure share of the old version.
	toleratedFailureWeight = 200
	// historyLimit is the number of calls to the old version above which the counts
	// are halved, so that older calls lose weight.
	historyLimit = 4000
	// minLatencyHistory is the number of latencies of the old version from which on
	// latencies are compared.
	minLatencyHistory = 20
	// crashAllowance is the number of crashes in a group that are attributed to a
	// request that crashes either version.
	crashAllowance = 1
)

// disturbedFailureShares are the failure shares at the disturbance levels and
// faultFailureShares those of the fault alternatives. The expected failure share
// of the old version is the lower bound of each.
var (
	disturbedFailureShares = [disturbanceLevels]float64{0, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.6, 0.8, 0.98}
	faultFailureShares     = [alternatives]float64{0, 0.03, 0.06, 0.12, 0.25, 0.5, 0.8, 0.98}
)

// slowdown shifts the latencies of a fraction of the calls by a number of
// histogram buckets. Two buckets are a factor of two.
type slowdown struct {
	buckets  int
	fraction float64
}

// disturbedSlowdowns are the slowdowns at the disturbance levels. Some affect
// only a fraction of the calls, because a disturbance can begin or end within a
// group.
var disturbedSlowdowns = [disturbanceLevels]slowdown{
	{0, 1}, {1, 1}, {2, 1}, {3, 1}, {4, 1}, {5, 1}, {7, 1}, {3, 0.5}, {6, 0.5}, {6, 0.15},
}

// faultSlowdowns are the slowdowns of the fault alternatives. The smallest is a
// factor of two, so that a version that is up to about 1.4 times slower is not
// withdrawn.
var faultSlowdowns = [alternatives]slowdown{
	{0, 1}, {2, 1}, {3, 1}, {4, 1}, {6, 1}, {9, 1}, {8, 0.3}, {8, 0.1},
}

// oldVersionHistory holds the decaying counts of the old version on one route and
// class in closed groups. They are the baseline for the calls in the open group.
type oldVersionHistory struct {
	calls, failures   float64
	latencyCount      float64 // sum of latency
	latency           [Buckets]float64
	table             *latencyTable // cached table of latencyTable
	tableLatencyCount float64       // latencyCount when the table was computed
}

// latencyTable holds the log-probability of each bucket by fault alternative and
// disturbance level.
type latencyTable [alternatives][disturbanceLevels][Buckets]float64

// tableGrowth is the factor by which latencyCount must change for the table to be
// computed again.
const tableGrowth = 1.1

// add adds the old version's counts of a closed group.
func (h *oldVersionHistory) add(c *Counts) {
	if h.calls > historyLimit {
		h.calls /= 2
		h.failures /= 2
	}
	if h.latencyCount > historyLimit {
		h.latencyCount /= 2
		for i := range h.latency {
			h.latency[i] /= 2
		}
	}
	h.calls += float64(c.evidenceCalls())
	h.failures += float64(c.Failed + c.Lost + c.Crashes)
	for i, n := range c.Latency {
		h.latency[i] += float64(n)
		h.latencyCount += float64(n)
	}
}

// failureShare returns the old version's expected share of failed calls.
func (h *oldVersionHistory) failureShare() float64 {
	share := (h.failures + toleratedFailureShare*toleratedFailureWeight) / (h.calls + toleratedFailureWeight)
	return min(max(share, toleratedFailureShare), 0.5)
}

// failureLikelihoods returns the likelihoods of a route's failed, lost and crashed
// calls in a group. Each of the repeats, crashes of the old version by a request
// that crashed an instance before, excuses one more crash of the new version. All
// callers pass old.Repeats.
func (h *oldVersionHistory) failureLikelihoods(old, new *Counts, repeats uint32) groupLikelihoods {
	var g groupLikelihoods
	base := h.failureShare()
	oldBad := old.Failed + old.Lost + min(old.Crashes, crashAllowance)
	crashes := new.Crashes - min(new.Crashes, crashAllowance+repeats)
	newBad := new.Failed + new.Lost + crashes
	oldGood, newGood := old.Answered-old.Failed, new.Answered-new.Failed
	for l := range disturbanceLevels {
		rate := max(disturbedFailureShares[l], base)
		g.old[l] = binomialLogLikelihood(oldBad, oldGood, rate)
		for a := range alternatives {
			g.new[a][l] = binomialLogLikelihood(newBad, newGood, max(rate, faultFailureShares[a]))
		}
	}
	return g
}

// binomialLogLikelihood returns the log-likelihood of numbers of bad and good
// calls at a failure rate, up to a constant.
func binomialLogLikelihood(bad, good uint32, rate float64) float64 {
	return float64(bad)*math.Log(rate) + float64(good)*math.Log1p(-rate)
}

// latencyLikelihoods returns the likelihoods of a route's latencies in a group.
// With too short a history they are zero, so that all likelihood ratios are one.
func (h *oldVersionHistory) latencyLikelihoods(old, new *Counts) groupLikelihoods {
	var g groupLikelihoods
	if h.latencyCount < minLatencyHistory {
		return g
	}
	t := h.latencyTable()
	for l := range disturbanceLevels {
		g.old[l] = t.logLikelihood(0, l, &old.Latency)
		for a := range alternatives {
			g.new[a][l] = t.logLikelihood(a, l, &new.Latency)
		}
	}
	return g
}

// logLikelihood returns the log-likelihood of latencies under alternative a at
// level l.
func (t *latencyTable) logLikelihood(a, l int, counts *Histogram) float64 {
	total := 0.0
	for i, n := range counts {
		if n > 0 {
			total += float64(n) * t[a][l][i]
		}
	}
	return total
}

// latencyTable returns the table for the current history. It is computed again
// only after the history has changed enough.
func (h *oldVersionHistory) latencyTable() *latencyTable {
	if h.table != nil && h.latencyCount < h.tableLatencyCount*tableGrowth && h.latencyCount > h.tableLatencyCount/tableGrowth {
		return h.table
	}
	if h.table == nil {
		h.table = new(latencyTable)
	}
	h.tableLatencyCount = h.latencyCount
	d := h.density()
	for a := range alternatives {
		for l := range disturbanceLevels {
			for i := range Buckets {
				h.table[a][l][i] = math.Log(bucketProbability(&d, i, disturbedSlowdowns[l], faultSlowdowns[a]))
			}
		}
	}
	return h.table
}

const (
	// uniformFraction is the fraction of the latency distribution that is spread
	// evenly over all buckets. It limits the weight of a single outlier.
	uniformFraction = 0.01
	// normalWeight is the weight, in calls, of a normal distribution fitted to the
	// bucket indices. It fills the tails of a short history.
	normalWeight = 60
)

// density returns the smoothed latency distribution of the old version.
func (h *oldVersionHistory) density() [Buckets]float64 {
	normal := h.normalFit()
	total := h.latencyCount + normalWeight
	var d [Buckets]float64
	for i := range d {
		measured := (h.latency[i] + normalWeight*normal[i]) / total
		d[i] = (1-uniformFraction)*measured + uniformFraction/Buckets
	}
	return d
}

// normalFit returns a normal distribution over the bucket indices with the mean
// and variance of the history.
func (h *oldVersionHistory) normalFit() [Buckets]float64 {
	var mean, square, sum float64
	for i, n := range h.latency {
		mean += float64(i) * n / h.latencyCount
		square += float64(i*i) * n / h.latencyCount
	}
	variance := max(square-mean*mean, 0.5)
	var d [Buckets]float64
	for i := range d {
		z := float64(i) - mean
		d[i] = math.Exp(-z * z / (2 * variance))
		sum += d[i]
	}
	for i := range d {
		d[i] /= sum
	}
	return d
}

// bucketProbability returns the probability of bucket i under a disturbance and a
// fault whose affected calls are independent of each other.
func bucketProbability(d *[Buckets]float64, i int, disturbance, fault slowdown) float64 {
	both := fault.fraction*densityAt(d, i-disturbance.buckets-fault.buckets) + (1-fault.fraction)*densityAt(d, i-disturbance.buckets)
	faultOnly := fault.fraction*densityAt(d, i-fault.buckets) + (1-fault.fraction)*densityAt(d, i)
	return disturbance.fraction*both + (1-disturbance.fraction)*faultOnly
}

// densityAt returns the probability of bucket i. Below the first bucket it is the
// evenly spread fraction. The last bucket includes all slower calls.
func densityAt(d *[Buckets]float64, i int) float64 {
	if i < 0 {
		return uniformFraction / Buckets
	}
	return d[i]
}
