package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/platform/standin"
)

// Summary is the last line of a run.
type Summary struct {
	Seed          uint64         `json:"seed"`
	Requests      int            `json:"requests"`
	Answered      int            `json:"answered"`
	Wrong         int            `json:"wrong"`
	RanTwice      int            `json:"ran_twice"`
	FalseRefusals int            `json:"false_refusals"`
	Lost          int            `json:"lost"`
	Statuses      map[int]int    `json:"statuses"`
	Faults        map[string]int `json:"faults"`
	Broken        []string       `json:"broken"`
}

// maxBroken bounds the descriptions of broken promises in a summary.
const maxBroken = 20

// ledger records what callers saw.
type ledger struct {
	mu      sync.Mutex
	summary Summary
	refused map[string]time.Time // orders that were refused as not run
	recent  []bool               // outcomes since the last reset, for recovery
	began   time.Time
	seconds []outcomes // by second since the start
}

// outcomes counts the ends of requests.
type outcomes struct{ answered, refused, failed int }

func newLedger(seed uint64) *ledger {
	return &ledger{
		summary: Summary{Seed: seed, Statuses: make(map[int]int), Faults: make(map[string]int), Broken: []string{}},
		refused: make(map[string]time.Time), began: time.Now(),
	}
}

func (l *ledger) broke(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.brokeLocked(format, args...)
}

func (l *ledger) brokeLocked(format string, args ...any) {
	if len(l.summary.Broken) < maxBroken {
		l.summary.Broken = append(l.summary.Broken, fmt.Sprintf(format, args...))
	}
}

// answer records the end of a request; status zero stands for no answer.
func (l *ledger) answer(identity string, order bool, status int, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.summary.Requests++
	l.summary.Statuses[status]++
	l.recent = append(l.recent, status == 200)
	l.countLocked(status)
	switch {
	case status == 200 && !whole:
		l.summary.Wrong++
		l.brokeLocked("request %s: the answer is not whole or not its own", identity)
	case status == 200:
		l.summary.Answered++
	case order && (status == 503 || status == 429 || status == 408 || status == 421):
		l.refused[identity] = time.Now()
	}
}

func (l *ledger) countLocked(status int) {
	at := int(time.Since(l.began).Seconds())
	for len(l.seconds) <= at {
		l.seconds = append(l.seconds, outcomes{})
	}
	switch s := &l.seconds[at]; status {
	case 200:
		s.answered++
	case 503:
		s.refused++
	default:
		s.failed++
	}
}

func (l *ledger) resetRecent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.recent = nil
}

// answeredShare returns the part of the requests since the reset that succeeded.
func (l *ledger) answeredShare() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	good := 0
	for _, ok := range l.recent {
		if ok {
			good++
		}
	}
	return float64(good) / float64(max(len(l.recent), 1))
}

// settleRuns compares what callers saw with what the instances ran.
func (l *ledger) settleRuns(runs []standin.Run, isOrder func(identity string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for _, r := range runs {
		counts[r.Identity]++
	}
	for id, n := range counts {
		if !isOrder(id) {
			continue
		}
		if n > 1 {
			l.summary.RanTwice++
			l.brokeLocked("order %s ran %d times", id, n)
		}
		if _, ok := l.refused[id]; ok {
			l.summary.FalseRefusals++
			l.brokeLocked("order %s was refused as not run and has run", id)
		}
	}
}
