package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Summary is the result of a run, which chicory-soak prints as its last line. An
// order is a request that must run at most once (see isOrder).
type Summary struct {
	Seed          uint64         `json:"seed"`
	Requests      int            `json:"requests"`
	Answered      int            `json:"answered"`       // status 200 with the expected body
	Wrong         int            `json:"wrong"`          // status 200 with a body that is not the expected one
	RanTwice      int            `json:"ran_twice"`      // orders that ran more than once
	FalseRefusals int            `json:"false_refusals"` // orders that ran although the status of the answer promised that they had not
	Lost          int            `json:"lost"`           // requests cut off by the planned stop of a host (SIGTERM); see recordIfCutByStop
	Statuses      map[int]int    `json:"statuses"`       // requests by HTTP status; 0 means no complete answer
	Faults        map[string]int `json:"faults"`         // events by kind
	Broken        []string       `json:"broken"`         // descriptions of violations, at most maxViolations
}

// maxViolations is the maximum number of violations that a summary describes.
const maxViolations = 20

// ledger records the outcomes that callers observed and the violations of the
// system's guarantees. A request is identified by the unique identity that its
// caller sends in a header, which the instances record with each run.
type ledger struct {
	mu             sync.Mutex
	summary        Summary
	refusedOrders  map[string]time.Time // identities of orders whose answer promised that they had not run, with the time of the answer
	recentAnswered []bool               // whether each request since the last reset got status 200, with any body; for the recovery check
	started        time.Time
	countsBySecond []outcomeCounts // indexed by full seconds since started
}

// outcomeCounts counts requests by status: answered is 200 with any body, refused
// is 503, and failed is any other status or no complete answer.
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
// complete answer; intact tells whether the body is the expected one. By the
// statuses 503, 429, 408 and 421 a node promises that the request has not run and
// never will, so checkRuns later verifies this for orders.
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
// although the status of its answer promised that it had not.
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
			l.recordViolationLocked("order %s ran although its answer promised that it had not run", identity)
		}
	}
}
