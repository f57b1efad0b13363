package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// percentile is the part of the latencies that lie below the reported one.
const percentile = 0.99

// order is what the sends of one identity ended with.
type order struct {
	answered int
	// uncertain is set if a send ended without an outcome or with may-have-run.
	uncertain bool
	// denied is set if a send after an answer was said to be not run.
	denied bool
}

// tally counts requests and keeps what the checks need. It is safe for
// concurrent use.
type tally struct {
	mu       sync.Mutex
	calls    int
	answered int
	failed   int
	wrong    []string
	refusals map[string]int
	orders   map[string]*order
	// moveCalls and badCalls count the sends to the depot since the start of
	// the moves, and those answered by the bad version.
	moving              bool
	moveCalls, badCalls int
	through, direct     []time.Duration
}

func newTally() *tally { return &tally{orders: map[string]*order{}, refusals: map[string]int{}} }

func (t *tally) countMove() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.moving = true
}

// sent records one send of a request.
func (t *tally) sent(r *request, res *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(r, res)
}

// sentAgain records a send after the caller already had a result.
func (t *tally) sentAgain(r *request, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[r.identity]; o != nil && o.answered > 0 && res.outcome == mesh.NotRun {
		o.denied = true
	}
	t.record(r, &res)
}

func (t *tally) record(r *request, res *result) {
	if res.wrong != nil {
		t.wrong = append(t.wrong, fmt.Sprintf("%s %s %s: %v", r.method, r.path, r.identity, res.wrong))
	}
	if t.moving && r.service == "depot" {
		t.moveCalls++
		if res.answer.Version == depotBad {
			t.badCalls++
		}
	}
	if res.outcome == mesh.Answered && res.status >= 500 {
		t.failed++
	}
	if res.outcome != mesh.Answered {
		t.refusals[res.outcome.String()+" "+res.reason]++
	}
	if r.identity == "" {
		return
	}
	o := t.orders[r.identity]
	if o == nil {
		o = &order{}
		t.orders[r.identity] = o
	}
	switch res.outcome {
	case mesh.Answered:
		o.answered++
	case mesh.NotRun:
	default:
		o.uncertain = true
	}
}

// ended records the end of a request from the caller's point of view.
func (t *tally) ended(_ *request, res *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if res.outcome == mesh.Answered {
		t.answered++
	}
}

// compared records the latency of a lookup through the nodes and directly.
func (t *tally) compared(through, direct time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.through, t.direct = append(t.through, through), append(t.direct, direct)
}

// addedLatency returns the difference of the latencies at the percentile.
func (t *tally) addedLatency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at(t.through) - at(t.direct)
}

func at(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(float64(len(sorted)-1)*percentile)]
}
