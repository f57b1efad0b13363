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

// disturbedFailures are the failure shares of the levels and faultFailures
// those of the alternatives. The share of the old version is their lower bound.
var (
	disturbedFailures = [levels]float64{0, 0.02, 0.04, 0.08, 0.15, 0.25, 0.4, 0.6, 0.8, 0.98}
	faultFailures     = [alternatives]float64{0, 0.03, 0.06, 0.12, 0.25, 0.5, 0.8, 0.98}
)

// slowdown is a slowdown of a part of the calls, in histogram buckets; two
// buckets are a factor of two.
type slowdown struct {
	shift int
	part  float64
}

// disturbedSlowdowns are the slowdowns of the levels. Some affect a part of the
// calls only, since a disturbance can begin or end within a group.
var disturbedSlowdowns = [levels]slowdown{
	{0, 1}, {1, 1}, {2, 1}, {3, 1}, {4, 1}, {5, 1}, {7, 1}, {3, 0.5}, {6, 0.5}, {6, 0.15},
}

// faultSlowdowns are the slowdowns of the alternatives. The smallest is a factor
// of two, so that a version that is up to about 1.4 times slower is kept.
var faultSlowdowns = [alternatives]slowdown{
	{0, 1}, {2, 1}, {3, 1}, {4, 1}, {6, 1}, {9, 1}, {8, 0.3}, {8, 0.1},
}

// history is the long-term behaviour of the old version on one route.
type history struct {
	calls, failures float64
	latencies       float64
	latency         [Buckets]float64
	table           *latencyTable
	tabled          float64 // latencies when the table was computed
}

// latencyTable holds the log-probability of each bucket by alternative and
// level.
type latencyTable [alternatives][levels][Buckets]float64

// tableGrowth is the growth of the history after which the table is computed
// again.
const tableGrowth = 1.1

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

// failureGroup returns the group of a route's failed and lost calls.
func (h *history) failureGroup(old, new *Counts, repeats uint32) group {
	var g group
	base := h.failureShare()
	oldBad := old.Failed + old.Lost + min(old.Crashes, crashAllowance)
	crashes := new.Crashes - min(new.Crashes, crashAllowance+repeats)
	newBad := new.Failed + new.Lost + crashes
	oldGood, newGood := old.Answered-old.Failed, new.Answered-new.Failed
	for l := range levels {
		rate := max(disturbedFailures[l], base)
		g.old[l] = binomial(oldBad, oldGood, rate)
		for a := range alternatives {
			g.new[a][l] = binomial(newBad, newGood, max(rate, faultFailures[a]))
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
	t := h.latencyTable()
	for l := range levels {
		g.old[l] = t.likelihood(0, l, &old.Latency)
		for a := range alternatives {
			g.new[a][l] = t.likelihood(a, l, &new.Latency)
		}
	}
	return g
}

// likelihood returns the log-likelihood of latencies.
func (t *latencyTable) likelihood(a, l int, counts *Histogram) float64 {
	sum := 0.0
	for i, n := range counts {
		if n > 0 {
			sum += float64(n) * t[a][l][i]
		}
	}
	return sum
}

// latencyTable returns the table of the present history.
func (h *history) latencyTable() *latencyTable {
	if h.table != nil && h.latencies < h.tabled*tableGrowth && h.latencies > h.tabled/tableGrowth {
		return h.table
	}
	if h.table == nil {
		h.table = new(latencyTable)
	}
	h.tabled = h.latencies
	d := h.density()
	for a := range alternatives {
		for l := range levels {
			for i := range Buckets {
				h.table[a][l][i] = math.Log(probability(&d, i, disturbedSlowdowns[l], faultSlowdowns[a]))
			}
		}
	}
	return h.table
}

const (
	// evenPart is the part of the latency distribution that is spread evenly over
	// all buckets. It limits the weight of a single outlier.
	evenPart = 0.01
	// normalWeight is the weight, in calls, of a normal distribution of the
	// bucket index. It fills the tails of a short history.
	normalWeight = 60
)

// density returns the smoothed latency distribution of the old version.
func (h *history) density() [Buckets]float64 {
	normal := h.normal()
	all := h.latencies + normalWeight
	var d [Buckets]float64
	for i := range d {
		measured := (h.latency[i] + normalWeight*normal[i]) / all
		d[i] = (1-evenPart)*measured + evenPart/Buckets
	}
	return d
}

// normal returns a normal distribution of the bucket index with the history's
// mean and variance.
func (h *history) normal() [Buckets]float64 {
	var mean, square, sum float64
	for i, n := range h.latency {
		mean += float64(i) * n / h.latencies
		square += float64(i*i) * n / h.latencies
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

// probability returns the probability of bucket i under a disturbance and a
// fault that occur independently of each other.
func probability(d *[Buckets]float64, i int, c, f slowdown) float64 {
	both := f.part*at(d, i-c.shift-f.shift) + (1-f.part)*at(d, i-c.shift)
	alone := f.part*at(d, i-f.shift) + (1-f.part)*at(d, i)
	return c.part*both + (1-c.part)*alone
}

// at returns the density of bucket i. Below the first bucket it is the part
// that is spread evenly; the last bucket also stands for all slower calls.
func at(d *[Buckets]float64, i int) float64 {
	if i < 0 {
		return evenPart / Buckets
	}
	return d[i]
}
