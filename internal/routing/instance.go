package routing

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// spillUtilisation is the estimated utilisation of the local instances at
	// and above which remote ones are considered.
	spillUtilisation = 0.7
	// spillMargin is the least difference by which the score of a remote
	// instance, its load per slot, must be below that of a local one.
	spillMargin = 0.15
	// reportLifetime is the time over which a reported load decays to zero.
	// Without the decay, an instance last reported busy would not be tried again.
	reportLifetime = 2 * time.Second
	// defaultRamp is the length of the cold-start ramp of an instance that sets
	// none.
	defaultRamp = 10 * time.Second
	// initialRampShare is the share of its normal calls that an instance receives
	// at the start of its ramp.
	initialRampShare = 0.1
	// latencyWeight is the weight of a new sample in the latency averages.
	latencyWeight = 0.1
	// maxLatencyFactor bounds the effect of latency on the score.
	maxLatencyFactor = 4
	// minScoreSamples is the number of latencies needed to affect the score.
	minScoreSamples = 5
)

// movingAverage is an exponentially weighted moving average of latencies.
type movingAverage struct {
	value   float64 // nanoseconds
	samples int
}

func (a *movingAverage) add(d time.Duration, weight float64) {
	a.samples++
	// The first samples are averaged evenly, so that none dominates.
	a.value += (float64(d) - a.value) * max(weight, 1/float64(a.samples))
}

// instance is the routing state of one backend server.
type instance struct {
	Instance
	service *service
	version *version
	active  bool // in service.active

	inFlight   int     // calls of this node
	otherLoad  float64 // calls of other nodes at the time of the last report
	reportedAt mesh.Time
	latency    movingAverage
	// avoidUntil is the time until which the instance receives no calls because
	// its gate refused one while draining, which membership may not report yet.
	avoidUntil mesh.Time

	failures           int // consecutive failed answers and timeouts
	connectionFailures int // consecutive lost or refused connections
	// ejected is set while the instance, because it failed or was slow, receives
	// calls only as probes or when no other instance is usable. probing is set
	// while a probe is in flight.
	ejected      bool
	probing      bool
	ejectedUntil mesh.Time
	readmittedAt mesh.Time
	ejections    int // consecutive ejections; sets the length of the next one
}

// replacedBy reports whether info describes another process than i does.
func (i *instance) replacedBy(info Instance) bool {
	return info.Host != i.Host || info.Service != i.Service || info.Version != i.Version ||
		info.FirstAnnounced > i.FirstAnnounced
}

// load estimates the calls that the instance runs or queues: the exact number of
// this node's calls, and those of other nodes according to the last report.
func (i *instance) load(now mesh.Time) float64 {
	return float64(i.inFlight) + i.otherLoad*i.freshness(now)
}

// score is the load per slot after one more call; the instance with the lowest
// score is preferred. Latency above that of the version raises it, so that an
// instance that reports too little load does not attract all calls.
func (i *instance) score(now mesh.Time) float64 {
	score := (i.load(now) + 1) / float64(i.Slots)
	return score * i.latencyFactor(now)
}

// latencyFactor is the factor by which latency raises the score. It decays like a
// reported load, so that an instance that was slow once is tried again.
func (i *instance) latencyFactor(now mesh.Time) float64 {
	if i.latency.samples < minScoreSamples || i.version.latency.value <= 0 {
		return 1
	}
	factor := min(max(i.latency.value/i.version.latency.value, 1), maxLatencyFactor)
	return 1 + (factor-1)*i.freshness(now)
}

// freshness falls from one to zero over reportLifetime after the last load
// report.
func (i *instance) freshness(now mesh.Time) float64 {
	return max(0, 1-float64(now.Sub(i.reportedAt))/float64(reportLifetime))
}

// rampProbability returns the probability with which a drawn instance is
// accepted. It rises to one during the ramp after a first announcement or a
// readmission.
func (i *instance) rampProbability(now mesh.Time) float64 {
	start := max(i.FirstAnnounced, i.readmittedAt)
	length := i.Ramp
	if length == 0 {
		length = defaultRamp
	}
	age := float64(now.Sub(start)) / float64(length)
	if start == 0 || age >= 1 {
		return 1
	}
	return initialRampShare + (1-initialRampShare)*max(0, age)
}
