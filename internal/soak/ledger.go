package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Summary is the result of a run, which chicory-soak prints as its last line.
type Summary struct {
	Seed          uint64         `json:"seed"`
	Requests      int            `json:"requests"`
	Answered      int            `json:"answered"`
	Wrong         int            `json:"wrong"`          // status 200 with a body that is not the expected one
	RanTwice      int            `json:"ran_twice"`      // orders that ran more than once
	FalseRefusals int            `json:"false_refusals"` // orders that were refused as not run but ran
	Lost          int            `json:"lost"`           // requests cut off by a planned stop
	Statuses      map[int]int    `json:"statuses"`       // requests by HTTP status; 0 means no answer
	Faults        map[string]int `json:"faults"`         // events by kind
	Broken        []string       `json:"broken"`         // descriptions of violations, at most maxViolations
}

// maxViolations is the maximum number of violations that a summary describes.
const maxViolations = 20

// ledger records the outcomes that callers observed and the violations of the
// system's guarantees.
type ledger struct {
	mu             sync.Mutex
	summary        Summary
	refusedOrders  map[string]time.Time // orders whose answer says that they did not run, with the time of the answer
	recentAnswered []bool               // whether each request since the last reset got status 200; for the recovery check
	started        time.Time
	countsBySecond []outcomeCounts // indexed by full seconds since started
}

// outcomeCounts counts requests by outcome.
type outcomeCounts struct{ answered, refused, failed int }

func newLedger(seed uint64) *ledger {
	return &ledger{
		summary:       Summary{Seed: seed, Statuses: make(map[int]int), Faults: make(map[string]int), Broken: []string{}},
		refusedOrders: make(map[string]time.Time), started: time.Now(),
	}
}

func (l *ledger) recordViolation(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recordViolationLocked(format, args...)
}

func (l *ledger) recordViolationLocked(format string, args ...any) {
	if len(l.summary.Broken) < maxViolations {
		l.summary.Broken = append(l.summary.Broken, fmt.Sprintf(format, args...))
	}
}

// recordAnswer records the outcome of a request. Status 0 means that there was no
// answer; intact tells whether the body is the expected one.
func (l *ledger) recordAnswer(identity string, order bool, status int, intact bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Requests++
	l.summary.Statuses[status]++
	l.recentAnswered = append(l.recentAnswered, status == 200)
	l.countOutcomeLocked(status)
	switch {
	case status == 200 && !intact:
		l.summary.Wrong++
		l.recordViolationLocked("request %s: the answer is truncated or belongs to another request", identity)
	case status == 200:
		l.summary.Answered++
	case order && (status == 503 || status == 429 || status == 408 || status == 421):
		l.refusedOrders[identity] = time.Now()
	}
}

func (l *ledger) countOutcomeLocked(status int) {
	second := int(time.Since(l.started).Seconds())
	for len(l.countsBySecond) <= second {
		l.countsBySecond = append(l.countsBySecond, outcomeCounts{})
	}
	switch counts := &l.countsBySecond[second]; status {
	case 200:
		counts.answered++
	case 503:
		counts.refused++
	default:
		counts.failed++
	}
}

func (l *ledger) resetRecent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recentAnswered = nil
}

// answeredShare returns the share of the requests since the last reset that got
// status 200.
func (l *ledger) answeredShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	answered := 0
	for _, wasAnswered := range l.recentAnswered {
		if wasAnswered {
			answered++
		}
	}
	return float64(answered) / float64(max(len(l.recentAnswered), 1))
}

// checkRuns records a violation for each order that ran more than once, or that ran
// although its caller was told that it did not.
func (l *ledger) checkRuns(runs []standin.Run, isOrder func(identity string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runsByRequest := make(map[string]int)
	for _, r := range runs {
		runsByRequest[r.Identity]++
	}
	for identity, n := range runsByRequest {
		if !isOrder(identity) {
			continue
		}
		if n > 1 {
			l.summary.RanTwice++
			l.recordViolationLocked("order %s ran %d times", identity, n)
		}
		if _, ok := l.refusedOrders[identity]; ok {
			l.summary.FalseRefusals++
			l.recordViolationLocked("order %s ran although it was refused as not run", identity)
		}
	}
}
