package soak

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault or a planned change.
type Kind string

// Kinds of faults and planned changes.
const (
	KindTerm       Kind = "term"  // planned stop of a node, then a new start
	KindKill       Kind = "kill"  // SIGKILL, then a new start
	KindPause      Kind = "pause" // SIGSTOP, then SIGCONT
	KindStoreLink  Kind = "store_link"
	KindNodeLink   Kind = "node_link"
	KindStoreDown  Kind = "store_down"
	KindStoreSlow  Kind = "store_slow"
	KindStoreLost  Kind = "store_lost"
	KindCompact    Kind = "compact"
	KindInstance   Kind = "instance" // slow, failing, losing or garbling answers
	KindCrash      Kind = "crash"    // an instance ends and starts again
	KindConfig     Kind = "config"   // a new configuration
	KindRolloutBad Kind = "rollout_bad"
)

// planned reports whether a kind is planned work, which excuses nothing.
func (k Kind) planned() bool { return k == KindTerm || k == KindConfig || k == KindRolloutBad }

// Event is one entry of a schedule.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	Host int           `json:"host"`
	For  time.Duration `json:"for"`
	Mode LinkMode      `json:"mode,omitempty"`
}

const (
	// settle is the time before the first and after the last event.
	settle = 5 * time.Second
	// meanGap is the mean time between two series of events.
	meanGap = 2500 * time.Millisecond
	// seriesShare is the part of the events that come in a series on several hosts.
	seriesShare = 0.25
	// longestFault bounds a fault.
	longestFault = 4 * time.Second
)

// Schedule returns the events of a run. It is a function of its arguments.
func Schedule(seed uint64, length time.Duration, hosts int) []Event {
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := []Kind{
		KindTerm, KindTerm, KindKill, KindPause, KindStoreLink, KindNodeLink, KindStoreDown, KindStoreSlow, KindStoreLost,
		KindCompact, KindInstance, KindInstance, KindCrash, KindConfig, KindConfig,
	}
	var events []Event
	for at := settle; at < length-2*settle; at += time.Duration(float64(meanGap) * (0.4 + 1.2*r.Float64())) {
		e := Event{At: at, Kind: kinds[r.IntN(len(kinds))], Host: r.IntN(hosts), Mode: LinkMode(1 + r.IntN(4))}
		e.For = time.Second + time.Duration(r.Int64N(int64(longestFault-time.Second)))
		events = append(events, e)
		if r.Float64() < seriesShare {
			for i := range 1 + r.IntN(max(hosts/2, 1)) {
				next := e
				next.At += time.Duration(i+1) * time.Duration(100+r.IntN(900)) * time.Millisecond
				next.Host = (e.Host + i + 1) % hosts
				events = append(events, next)
			}
		}
	}
	if r.IntN(2) == 0 {
		events = append(events, Event{At: settle + time.Duration(r.Int64N(int64(settle))), Kind: KindRolloutBad, For: 12 * time.Second})
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
