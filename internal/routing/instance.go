package routing

import (
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// spillUtilisation is the estimated utilisation of the local instances
	// from which remote ones are considered.
	spillUtilisation = 0.7
	// spillMargin is the advantage in score, in shares of an instance's slots,
	// that a remote instance needs over a local one.
	spillMargin = 0.15
	// reportLifetime is the time over which a reported load fades. Without
	// fading, an instance last seen busy would not be tried again.
	reportLifetime = 2 * time.Second
	// rampTime is the length of the cold-start ramp.
	rampTime = 10 * time.Second
	// rampStart is the share of its normal calls that a new instance receives.
	rampStart = 0.1
	// latencyWeight is the weight of a new sample in the latency averages.
	latencyWeight = 0.1
	// maxLatencyFactor bounds the effect of latency on the score.
	maxLatencyFactor = 4
	// minScoreSamples is the number of latencies needed to affect the score.
	minScoreSamples = 5
)

// average is an exponentially weighted moving average of latencies.
type average struct {
	value   float64 // nanoseconds
	samples int
}

func (a *average) add(d time.Duration, weight float64) {
	a.samples++
	// The first samples are averaged evenly, so that none dominates.
	a.value += (float64(d) - a.value) * max(weight, 1/float64(a.samples))
}

// instance is the routing state of one backend server.
type instance struct {
	Instance
	service *service
	version *version
	listed  bool // in service.all

	inFlight   int     // calls of this node
	others     float64 // calls of other nodes at the time of the last report
	reportedAt mesh.Time
	latency    average
	// avoidUntil ends the pause after the gate refused a call because it
	// drains, which membership may not know yet.
	avoidUntil mesh.Time

	failures           int // consecutive failed answers and timeouts
	connectionFailures int // consecutive lost or refused connections
	ejected            bool
	probing            bool
	ejectedUntil       mesh.Time
	readmittedAt       mesh.Time
	ejections          int // in succession; sets the length of the next one
}

// replacedBy reports whether info describes another process than before.
func (i *instance) replacedBy(info Instance) bool {
	return info.Host != i.Host || info.Service != i.Service || info.Version != i.Version ||
		info.FirstAnnounced > i.FirstAnnounced
}

// load estimates the calls in the instance: those of this node, which it
// knows, and those of other nodes by the last report.
func (i *instance) load(now mesh.Time) float64 {
	return float64(i.inFlight) + i.others*i.freshness(now)
}

// score orders instances by the load per slot after one more call. Latency
// above that of the version raises it, so that an instance that reports too
// little load does not attract all calls.
func (i *instance) score(now mesh.Time) float64 {
	score := (i.load(now) + 1) / float64(i.Slots)
	return score * i.latencyFactor(now)
}

// latencyFactor fades like a reported load, so that an instance that was slow
// once is tried again.
func (i *instance) latencyFactor(now mesh.Time) float64 {
	if i.latency.samples < minScoreSamples || i.version.latency.value <= 0 {
		return 1
	}
	factor := min(max(i.latency.value/i.version.latency.value, 1), maxLatencyFactor)
	return 1 + (factor-1)*i.freshness(now)
}

// freshness falls from one to zero over reportLifetime after an answer.
func (i *instance) freshness(now mesh.Time) float64 {
	return max(0, 1-float64(now.Sub(i.reportedAt))/float64(reportLifetime))
}

// ramp returns the probability with which a drawn instance is accepted.
func (i *instance) ramp(now mesh.Time) float64 {
	start := max(i.FirstAnnounced, i.readmittedAt)
	length := i.Ramp
	if length == 0 {
		length = rampTime
	}
	age := float64(now.Sub(start)) / float64(length)
	if start == 0 || age >= 1 {
		return 1
	}
	return rampStart + (1-rampStart)*max(0, age)
}
