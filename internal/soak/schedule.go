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
	KindTerm       Kind = "term"        // SIGTERM to a node's process (planned stop), then a restart
	KindKill       Kind = "kill"        // SIGKILL to a node's process, then a restart
	KindPause      Kind = "pause"       // SIGSTOP to a node's process, then SIGCONT
	KindStoreLink  Kind = "store_link"  // link from one host to the store
	KindNodeLink   Kind = "node_link"   // links from other hosts to one host
	KindStoreDown  Kind = "store_down"  // the store rejects all calls
	KindStoreSlow  Kind = "store_slow"  // the store delays all answers
	KindStoreLost  Kind = "store_lost"  // the store performs writes but drops their answers
	KindCompact    Kind = "compact"     // the store discards its history
	KindRewind     Kind = "rewind"      // the store is down and comes back in an older state
	KindInstance   Kind = "instance"    // an instance is slow, fails requests, or drops or truncates answers
	KindCrash      Kind = "crash"       // an instance stops and is started again
	KindConfig     Kind = "config"      // a new configuration is written
	KindRolloutBad Kind = "rollout_bad" // roll-out of a failing version
)

// planned reports whether a kind is a planned operation. All checks stay in force
// during planned operations, whereas unplanned faults suspend some of them.
func (k Kind) planned() bool { return k == KindTerm || k == KindConfig || k == KindRolloutBad }

// Event is one entry of a schedule: a fault or planned change that begins At after
// the start and lasts For. Host is the index of the host that it affects. Mode is
// the mode of a link fault and also selects the kind of an instance fault.
type Event struct {
	At   time.Duration `json:"at"`
	Kind Kind          `json:"kind"`
	Host int           `json:"host"`
	For  time.Duration `json:"for"`
	Mode LinkMode      `json:"mode,omitempty"`
}

const (
	// settleTime is the time before the first event and the time allowed for recovery
	// after the last one.
	settleTime = 5 * time.Second
	// meanEventGap is the mean time between two events, where a series counts as one.
	meanEventGap = 2500 * time.Millisecond
	// seriesProbability is the probability that an event is repeated on other hosts
	// shortly afterwards, as a series.
	seriesProbability = 0.25
	// maxFaultDuration is the upper limit of the duration of a random fault.
	maxFaultDuration = 4 * time.Second
)

// Schedule returns the events of a run, ordered by time. The same arguments always
// give the same events, so that a run can be repeated from its seed.
func Schedule(seed uint64, length time.Duration, hosts int) []Event {
	r := rand.New(rand.NewPCG(seed, 0))
	kinds := []Kind{
		KindTerm, KindTerm, KindKill, KindPause, KindStoreLink, KindNodeLink, KindStoreDown, KindStoreSlow, KindStoreLost,
		KindCompact, KindInstance, KindInstance, KindCrash, KindConfig, KindConfig,
	}
	var events []Event
	for at := settleTime; at < length-2*settleTime; at += time.Duration(float64(meanEventGap) * (0.4 + 1.2*r.Float64())) {
		e := Event{At: at, Kind: kinds[r.IntN(len(kinds))], Host: r.IntN(hosts), Mode: LinkMode(1 + r.IntN(4))}
		e.For = time.Second + time.Duration(r.Int64N(int64(maxFaultDuration-time.Second)))
		events = append(events, e)
		if r.Float64() < seriesProbability {
			for i := range 1 + r.IntN(max(hosts/2, 1)) {
				repeated := e
				repeated.At += time.Duration(i+1) * time.Duration(100+r.IntN(900)) * time.Millisecond
				repeated.Host = (e.Host + i + 1) % hosts
				events = append(events, repeated)
			}
		}
	}
	if r.IntN(2) == 0 {
		events = append(events, Event{At: settleTime + time.Duration(r.Int64N(int64(settleTime))), Kind: KindRolloutBad, For: 12 * time.Second})
	}
	// These draws come last, so that the other events of a seed stay as they are.
	if r.IntN(2) == 0 {
		at := settleTime + time.Duration(r.Int64N(int64(max(length-3*settleTime, time.Second))))
		events = append(events, Event{At: at, Kind: KindRewind, For: time.Second + time.Duration(r.Int64N(int64(2*time.Second)))})
		for range 1 + r.IntN(2) {
			after := time.Duration(r.Int64N(int64(4 * time.Second)))
			events = append(events, Event{At: at + after, Kind: KindKill, Host: r.IntN(hosts), For: time.Second})
		}
	}
	slices.SortStableFunc(events, func(a, b Event) int { return int(a.At - b.At) })
	return events
}
