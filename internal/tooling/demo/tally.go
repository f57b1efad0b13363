package main

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// reportedPercentile is the percentile of the latencies that is reported.
const reportedPercentile = 0.99

// orderAttempts summarizes the attempts with one request ID.
type orderAttempts struct {
	answered int
	// uncertain is set if an attempt ended without an outcome or with
	// may-have-run.
	uncertain bool
	// notRunAfterAnswer is set if a duplicate that was sent after an answer ended
	// with not-run.
	notRunAfterAnswer bool
}

// tally counts requests and attempts and keeps the data of the final checks. It
// is safe for concurrent use.
type tally struct {
	mu       sync.Mutex
	calls    int
	answered int
	// serverErrors counts the attempts answered with status 500 or above.
	serverErrors int
	// wrongAnswers describes the responses that are incomplete, belong to another
	// request or have an unknown outcome.
	wrongAnswers []string
	// unanswered counts the attempts without an answer by outcome and reason.
	unanswered map[string]int
	orders     map[string]*orderAttempts
	// depotAttempts counts the attempts for the depot service since the start of
	// the moves (countingMove), badVersionAnswers those among them that the bad
	// version answered.
	countingMove                     bool
	depotAttempts, badVersionAnswers int
	// proxied and direct are the latencies of the pairs of lookups through the
	// nodes and directly to the backend server.
	proxied, direct []time.Duration
}

func newTally() *tally {
	return &tally{orders: map[string]*orderAttempts{}, unanswered: map[string]int{}}
}

func (t *tally) startMoveCount() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countingMove = true
}

// recordAttempt records one attempt of a request.
func (t *tally) recordAttempt(r *request, res *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(r, res)
}

// recordDuplicate records an attempt that was sent after the caller already had
// a result.
func (t *tally) recordDuplicate(r *request, res result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[r.requestID]; o != nil && o.answered > 0 && res.outcome == mesh.NotRun {
		o.notRunAfterAnswer = true
	}
	t.record(r, &res)
}

func (t *tally) record(r *request, res *result) {
	if res.answerErr != nil {
		t.wrongAnswers = append(t.wrongAnswers, fmt.Sprintf("%s %s %s: %v", r.method, r.path, r.requestID, res.answerErr))
	}
	if t.countingMove && r.service == "depot" {
		t.depotAttempts++
		if res.answer.Version == depotBad {
			t.badVersionAnswers++
		}
	}
	if res.outcome == mesh.Answered && res.status >= 500 {
		t.serverErrors++
	}
	if res.outcome != mesh.Answered {
		t.unanswered[res.outcome.String()+" "+res.reason]++
	}
	if r.requestID == "" {
		return
	}
	o := t.orders[r.requestID]
	if o == nil {
		o = &orderAttempts{}
		t.orders[r.requestID] = o
	}
	switch res.outcome {
	case mesh.Answered:
		o.answered++
	case mesh.NotRun:
	default:
		o.uncertain = true
	}
}

// recordRequestEnd records the final result of a request, which counts once
// regardless of its attempts.
func (t *tally) recordRequestEnd(_ *request, res *result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.calls++
	if res.outcome == mesh.Answered {
		t.answered++
	}
}

// recordLatencyPair records the latencies of a lookup through the nodes and
// directly to the backend server.
func (t *tally) recordLatencyPair(proxied, direct time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.proxied, t.direct = append(t.proxied, proxied), append(t.direct, direct)
}

// addedLatency returns the latency at reportedPercentile through the nodes minus
// that of direct calls.
func (t *tally) addedLatency() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return latencyAtPercentile(t.proxied) - latencyAtPercentile(t.direct)
}

func latencyAtPercentile(latencies []time.Duration) time.Duration {
	if len(latencies) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(latencies))
	return sorted[int(float64(len(sorted)-1)*reportedPercentile)]
}
