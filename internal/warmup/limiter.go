// Package warmup limits the requests that a gate dispatches to an instance that is cold.
// It is deterministic and does no I/O: time is an argument.
//
// An instance may become cold at any moment and is asked for its state only from time to
// time. The limiter therefore also bounds, in each second, the dispatches that may have
// arrived after the instance last stated that it is warm. It asks for a health probe before
// they are used up.
package warmup

import (
	"math"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

const (
	// window is the time over which the rule counts requests.
	window = time.Second
	// idleTime is the time without a dispatch or statement after which the state of the
	// instance is unknown.
	idleTime = time.Second
	// heartbeatLifetime is the time for which a heartbeat counts for an instance whose
	// health answers state no warm-up: two intervals of heartbeats.
	heartbeatLifetime = 3 * time.Second
	// probeRetry is the least time between a failed probe and the next one.
	probeRetry = 200 * time.Millisecond
	// silentRetry is the time after which an instance is probed again whose health answer
	// stated no warm-up.
	silentRetry = 10 * time.Second
	// burstFraction is the fraction of the excess allowed by the rule that the bucket
	// holds. The rest is left for requests that were dispatched before the instance turned
	// cold, for probes, and for variations of the time to the instance.
	burstFraction = 0.25
	// unconfirmedFraction is the fraction of the excess that dispatches may use which no
	// statement has confirmed.
	unconfirmedFraction = 0.75
	// initialProbeTime is the expected time of a probe until one was answered, and
	// probeTimeWeight the weight of a new sample.
	initialProbeTime = 50 * time.Millisecond
	probeTimeWeight  = 0.25
	// probeMargin is added to twice the expected time of a probe for the time until its
	// answer comes.
	probeMargin = 20 * time.Millisecond
	// maxRate bounds the rate, so that the numbers of requests derived from it fit into
	// an int.
	maxRate = 1e6
)

// Bounds define the rule: in any second, a cold instance receives at most
// rate × Overshoot + Slack requests.
type Bounds struct {
	Overshoot float64
	Slack     float64
}

// DefaultBounds apply if the settings name none.
var DefaultBounds = Bounds{Overshoot: 1.5, Slack: 8}

// State is what is known about an instance.
type State uint8

// States of an instance. The limiter treats Unknown like Cold.
const (
	Unknown State = iota
	Cold
	Warm
)

// String returns the name of the state in log lines.
func (s State) String() string { return [...]string{"unknown", "cold", "warm"}[s] }

// Answer is the result of a health probe.
type Answer struct {
	// Serving is set if the instance answered as healthy.
	Serving bool
	// Stated is set if the answer states the remaining time of the warm-up, which is Left.
	Stated bool
	Left   time.Duration
}

// Limiter limits the dispatches to one instance. It is not safe for concurrent use.
type Limiter struct {
	bounds Bounds
	rate   float64 // requests per second; zero stands for no limit

	// coldFrom is the time from which requests may be dispatched to an instance that isn't
	// known to be warm. Before it, dispatches of the gate's previous process may count.
	coldFrom   mesh.Time
	tokens     float64
	refilledAt mesh.Time
	sent       []mesh.Time // dispatches and probes of the last second, oldest first
	lastSent   mesh.Time

	state     State
	statedAt  mesh.Time // time of the newest statement that the instance is warm
	coldUntil mesh.Time // end of the warm-up by the newest statement that it is cold
	// confirmedAt is the time at which the newest probe that was answered as warm was sent.
	// Dispatches before it met a warm instance.
	confirmedAt mesh.Time
	// silent is set if the newest health answer stated no warm-up. The limiter then relies
	// on heartbeats.
	silent          bool
	warmHeartbeatAt mesh.Time // time of the newest heartbeat, zero if it stated a warm-up

	probeSentAt mesh.Time // zero if no probe is in progress
	probeVoid   bool      // the state was reset after the probe was sent
	probeWanted bool
	nextProbeAt mesh.Time
	probeTime   time.Duration // moving average of the time to the answer of a probe
}

// New returns a limiter without a rate for an instance of unknown state. now is the start
// of the gate's process. Bounds without Overshoot stand for DefaultBounds.
func New(now mesh.Time, b Bounds) *Limiter {
	if b.Overshoot <= 0 {
		b = DefaultBounds
	}
	return &Limiter{bounds: b, refilledAt: now, coldFrom: now.Add(window), probeTime: initialProbeTime}
}

// SetRate sets the requests per second that a cold instance may receive. Zero stands for
// no limit.
func (l *Limiter) SetRate(now mesh.Time, rate float64) {
	l.advance(now)
	l.rate = min(max(rate, 0), maxRate)
	l.tokens = min(l.tokens, l.capacity())
}

// Limited reports whether a rate is set.
func (l *Limiter) Limited() bool { return l.rate > 0 }

// State returns the current state.
func (l *Limiter) State() State { return l.state }

// rule is the number of requests that a cold instance may receive in a second.
func (l *Limiter) rule() float64 { return l.rate*l.bounds.Overshoot + l.bounds.Slack }

func (l *Limiter) excess() float64 { return max(l.rule()-l.rate, 0) }

// capacity is the size of the bucket. It is at least one, so that requests are dispatched
// also if the bounds leave no excess.
func (l *Limiter) capacity() float64 { return max(burstFraction*l.excess(), 1) }

// coldLimit bounds the dispatches of a second whose last one is to an instance that isn't
// known to be warm. It includes dispatches from before the instance was found to be cold.
func (l *Limiter) coldLimit() int {
	return int(math.Floor(min(l.rate+l.capacity(), l.rule())))
}

// unconfirmedLimit bounds the dispatches of a second that no statement has confirmed.
func (l *Limiter) unconfirmedLimit() int {
	return max(int(math.Floor(l.rate+unconfirmedFraction*l.excess())), l.coldLimit())
}

// advance refills the bucket and forgets dispatches that are older than the window.
func (l *Limiter) advance(now mesh.Time) {
	if now > l.refilledAt {
		l.tokens = min(l.tokens+l.rate*now.Sub(l.refilledAt).Seconds(), l.capacity())
		l.refilledAt = now
	}
	old := 0
	for old < len(l.sent) && now.Sub(l.sent[old]) > window {
		old++
	}
	if old > 0 {
		l.sent = append(l.sent[:0], l.sent[old:]...)
	}
	if l.state == Warm && now.Sub(max(l.lastSent, l.statedAt)) >= idleTime {
		l.state = Unknown
	}
}

// unconfirmed returns the dispatches of the last second that may have met a cold instance.
func (l *Limiter) unconfirmed() int {
	count := 0
	for i := len(l.sent) - 1; i >= 0 && l.sent[i] >= l.confirmedAt; i-- {
		count++
	}
	return count
}

// Allow reports whether a request may be dispatched now. The caller calls Dispatched if
// it dispatches the request.
func (l *Limiter) Allow(now mesh.Time) bool {
	l.advance(now)
	if !l.Limited() {
		return true
	}
	allowed := false
	if l.state == Warm {
		// Without statements in health answers, only heartbeats can tell the state.
		allowed = l.silent || l.unconfirmed() < l.unconfirmedLimit()
	} else {
		allowed = now > l.coldFrom && l.tokens >= 1 && len(l.sent) < l.coldLimit()
	}
	if !allowed && l.state != Cold {
		l.probeWanted = true
	}
	return allowed
}

// Dispatched counts a request that is sent to the instance.
func (l *Limiter) Dispatched(now mesh.Time) {
	l.advance(now)
	l.tokens = max(l.tokens-1, 0)
	l.count(now)
}

func (l *Limiter) count(now mesh.Time) {
	if !l.Limited() {
		l.sent = l.sent[:0]
		l.lastSent = now
		return
	}
	l.sent = append(l.sent, now)
	l.lastSent = now
	// Older dispatches than the newest ones up to the rule decide nothing.
	if most := int(l.rule()) + 1; len(l.sent) > most {
		l.sent = append(l.sent[:0], l.sent[len(l.sent)-most:]...)
	}
}

// Reset makes the state unknown: the instance was down or evacuated, or another one has
// taken its place. A probe in progress counts for nothing.
func (l *Limiter) Reset(now mesh.Time) {
	l.advance(now)
	l.state, l.silent, l.warmHeartbeatAt, l.coldUntil = Unknown, false, 0, 0
	l.probeVoid = l.probeSentAt != 0
	l.probeWanted = false
}

// ConnectionLost asks for a probe, since the instance may have been restarted.
func (l *Limiter) ConnectionLost() { l.probeWanted = true }

// Heartbeat records the remaining warm-up that the instance states in a heartbeat.
// canProbe is set if the instance has a health path.
//
// A heartbeat may be older than the event that made the state unknown. One that states no
// warm-up therefore only leads to a probe, unless no probe can tell the state.
func (l *Limiter) Heartbeat(now mesh.Time, left time.Duration, canProbe bool) {
	l.advance(now)
	switch {
	case left > 0:
		l.warmHeartbeatAt = 0
		l.setCold(now, left)
	case l.state == Warm || l.silent || !canProbe:
		if !canProbe {
			l.silent, l.nextProbeAt = true, now.Add(silentRetry)
		}
		l.state, l.statedAt, l.warmHeartbeatAt = Warm, now, now
	default:
		l.warmHeartbeatAt = now
		l.probeWanted = true
	}
}

func (l *Limiter) setCold(now mesh.Time, left time.Duration) {
	l.state, l.coldUntil = Cold, now.Add(left)
}

// StartProbe reports whether a health probe is to be sent now, and counts it as sent.
func (l *Limiter) StartProbe(now mesh.Time) bool {
	if !l.Limited() || l.probeSentAt != 0 || now < l.nextProbeAt {
		return false
	}
	l.advance(now)
	// A probe counts as a request, to be on the safe side.
	if !l.silent && l.unconfirmed() >= int(math.Floor(l.rule())) || l.state != Warm && now <= l.coldFrom {
		return false
	}
	switch {
	case l.probeWanted, l.silent:
	case l.state == Warm && l.unconfirmed() >= l.probeThreshold(now):
	case l.state == Unknown && 2*len(l.sent) >= l.coldLimit():
	case l.state == Cold && now >= l.coldUntil && len(l.sent) > 0:
	default:
		return false
	}
	l.probeSentAt, l.probeVoid, l.probeWanted = now, false, false
	l.count(now)
	return true
}

// Probed records the result of the probe that StartProbe has started.
func (l *Limiter) Probed(now mesh.Time, a Answer) {
	sentAt, void := l.probeSentAt, l.probeVoid
	l.probeSentAt, l.probeVoid = 0, false
	if sentAt == 0 {
		return
	}
	if void || !a.Serving {
		l.nextProbeAt = now.Add(probeRetry)
		return
	}
	l.probeTime += time.Duration(probeTimeWeight * float64(now.Sub(sentAt)-l.probeTime))
	l.apply(now, sentAt, a)
}

// probeThreshold returns the number of unconfirmed dispatches from which a warm instance is
// probed. It leaves room for those until the answer comes, up to half of the limit.
func (l *Limiter) probeThreshold(now mesh.Time) int {
	limit := l.unconfirmedLimit()
	if len(l.sent) == 0 {
		return limit
	}
	perSecond := float64(len(l.sent)) / max(now.Sub(l.sent[0]), probeMargin).Seconds()
	meanwhile := perSecond * (2*l.probeTime + probeMargin).Seconds()
	return max(limit/2, limit-1-int(math.Ceil(min(meanwhile, float64(limit)))))
}

// Confirmed records the answer to a probe that was sent before any dispatch to the
// instance.
func (l *Limiter) Confirmed(now mesh.Time, a Answer) {
	if a.Serving {
		l.apply(now, now, a)
	}
}

// apply records a health answer to a probe that was sent at a time.
func (l *Limiter) apply(now, sentAt mesh.Time, a Answer) {
	l.advance(now)
	l.probeWanted = false
	switch {
	case !a.Stated:
		l.silent, l.nextProbeAt = true, now.Add(silentRetry)
		if l.warmHeartbeatAt != 0 && now.Sub(l.warmHeartbeatAt) <= heartbeatLifetime {
			l.state, l.statedAt = Warm, now
		}
	case a.Left > 0:
		l.silent = false
		l.setCold(now, a.Left)
	default:
		l.silent, l.state, l.statedAt, l.confirmedAt = false, Warm, now, sentAt
	}
}
