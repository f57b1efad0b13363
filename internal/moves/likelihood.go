package moves

import "math"

const (
	// toleratedFailures is the failure share below which a version is not
	// distinguished from a good one.
	toleratedFailures = 0.003
	// failureHistory is the weight of toleratedFailures against the measured
	// failure share of the old version, in calls.
	failureHistory = 200
	// historyLimit is the number of calls to the old version after which older
	// ones are forgotten, by halving.
	historyLimit = 4000
	// latencyHistory is the number of calls to the old version before latencies
	// are compared.
	latencyHistory = 20
	// crashAllowance is the number of crashes of the new version that may be due
	// to a request that crashes any version.
	crashAllowance = 1
)

// failureLevels are the failure shares of the levels and, at the same index, of
// the alternatives. Entry 0 is replaced by the share of the old version.
var failureLevels = [levels]float64{0, 0.03, 0.06, 0.12, 0.25, 0.5, 0.8, 0.98}

// disturbedShift is the general slowdown of each level in histogram buckets;
// two buckets are a factor of two.
var disturbedShift = [levels]int{0, 1, 2, 3, 4, 6, 8, 12}

// faultShift is the slowdown of the new version under each alternative. The
// smallest is a factor of two, so that a version that is up to about 1.4 times
// slower is kept.
var faultShift = [levels]int{0, 2, 3, 4, 6, 9, 8, 8}

// faultPart is the part of the calls that an alternative slows down.
var faultPart = [levels]float64{1, 1, 1, 1, 1, 1, 0.3, 0.1}

// history is the long-term behaviour of the old version on one route.
type history struct {
	calls, failures float64
	latencies       float64
	latency         [Buckets]float64
}

// add adds the counts of the old version in a closed group.
func (h *history) add(c *Counts) {
	if h.calls > historyLimit {
		h.calls /= 2
		h.failures /= 2
	}
	if h.latencies > historyLimit {
		h.latencies /= 2
		for i := range h.latency {
			h.latency[i] /= 2
		}
	}
	h.calls += float64(c.calls())
	h.failures += float64(c.Failed + c.Lost + c.Crashes)
	for i, n := range c.Latency {
		h.latency[i] += float64(n)
		h.latencies += float64(n)
	}
}

// failureShare returns the expected share of failed calls.
func (h *history) failureShare() float64 {
	share := (h.failures + toleratedFailures*failureHistory) / (h.calls + failureHistory)
	return min(max(share, toleratedFailures), 0.5)
}

// failures returns the group of a route's failed and lost calls.
func (h *history) failureGroup(old, new *Counts, repeats uint32) group {
	var g group
	base := h.failureShare()
	oldBad := old.Failed + old.Lost + min(old.Crashes, crashAllowance)
	crashes := new.Crashes - min(new.Crashes, crashAllowance+repeats)
	newBad := new.Failed + new.Lost + crashes
	oldGood, newGood := old.Answered-old.Failed, new.Answered-new.Failed
	for l := range levels {
		rate := max(failureLevels[l], base)
		g.old[l] = binomial(oldBad, oldGood, rate)
		for a := range levels {
			g.new[a][l] = binomial(newBad, newGood, max(rate, failureLevels[a]))
		}
	}
	return g
}

// binomial returns the log-likelihood of bad and good calls, up to a constant.
func binomial(bad, good uint32, rate float64) float64 {
	return float64(bad)*math.Log(rate) + float64(good)*math.Log1p(-rate)
}

// latencyGroup returns the group of a route's latencies. Without enough
// history it is neutral.
func (h *history) latencyGroup(old, new *Counts) group {
	var g group
	if h.latencies < latencyHistory {
		return g
	}
	density := h.density()
	for l := range levels {
		shift := disturbedShift[l]
		g.old[l] = shifted(&density, &old.Latency, shift, 0, 1)
		for a := range levels {
			g.new[a][l] = shifted(&density, &new.Latency, shift, faultShift[a], faultPart[a])
		}
	}
	return g
}

// density returns the smoothed latency distribution of the old version. A part
// is spread evenly, so that single outliers carry little weight.
func (h *history) density() [Buckets]float64 {
	const even = 0.03
	var d [Buckets]float64
	for i := range d {
		near := 2 * h.latency[i]
		if i > 0 {
			near += h.latency[i-1] / 4
		}
		if i+1 < Buckets {
			near += h.latency[i+1] / 4
		}
		d[i] = (1-even)*near/(2.5*h.latencies) + even/Buckets
	}
	return d
}

// shifted returns the log-likelihood of latencies when all calls are slowed by
// a common shift and a part of them by an additional one, in buckets.
func shifted(d *[Buckets]float64, counts *Histogram, common, fault int, part float64) float64 {
	sum := 0.0
	for i, n := range counts {
		if n == 0 {
			continue
		}
		p := part * at(d, i-common-fault)
		if part < 1 {
			p += (1 - part) * at(d, i-common)
		}
		sum += float64(n) * math.Log(p)
	}
	return sum
}

// at returns the density of bucket i. Below the first bucket it is the part
// that is spread evenly; the last bucket also stands for all slower calls.
func at(d *[Buckets]float64, i int) float64 {
	const outside = 0.03 / Buckets
	if i < 0 {
		return outside
	}
	return d[i]
}
