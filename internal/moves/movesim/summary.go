package movesim

import (
	"runtime"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// Summary holds the figures over a list of moves.
type Summary struct {
	Moves int `json:"moves"`
	// GoodDoneShare is the part of the good versions completed in time.
	GoodDoneShare float64 `json:"good_done_share"`
	// BadTakenBackShare is the part of the bad versions withdrawn.
	BadTakenBackShare float64 `json:"bad_taken_back_share"`
	// BadCallShare is the part of the service's calls that reached a bad
	// version, over all moves with one, from the start until it was withdrawn.
	BadCallShare float64 `json:"bad_call_share"`
	// BadCallAfterFaultSMax is the longest time in seconds from the fault's
	// showing to a later call that reached the bad version.
	BadCallAfterFaultSMax float64 `json:"bad_call_after_fault_s_max"`
	// FalseWithdrawalShare is the part of the good versions withdrawn.
	FalseWithdrawalShare float64 `json:"false_withdrawal_share"`
	AtOnceMissed         int     `json:"at_once_missed"`
	Good                 int     `json:"good"`
	Bad                  int     `json:"bad"`
	// LateMoves counts the moves with a call to the bad version more than 2 s
	// after its fault showed.
	LateMoves int `json:"late_moves"`
	// BadCallShareMean is the mean over the bad moves of each one's share.
	BadCallShareMean float64 `json:"bad_call_share_move_mean"`
	// BadFaultyShare is the part of the service's calls that a bad version
	// failed or delayed.
	BadFaultyShare float64 `json:"bad_faulty_call_share"`
}

// MaxLate is the bound on the time from a fault's showing to the last call.
const MaxLate = 2 * time.Second

// RunList runs the moves of a seeded list on all processors. The results are
// ordered by index and do not depend on the number of processors.
func RunList(seed uint64, count int, run func(Scenario) Result) []Result {
	results := make([]Result, count)
	next := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range next {
				results[i] = run(NewScenario(seed, i))
			}
		})
	}
	for i := range count {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}

// Summarise returns the figures over results.
func Summarise(results []Result) Summary {
	s := Summary{Moves: len(results)}
	var inTime, falseWithdrawals, takenBack int
	var calls, bad, faulty uint64
	for i := range results {
		r := &results[i]
		if !r.Scenario.Bad() {
			s.Good++
			inTime += count(r.InTime())
			falseWithdrawals += count(r.State == moves.Withdrawn)
			continue
		}
		s.Bad++
		withdrawn := r.State == moves.Withdrawn
		takenBack += count(withdrawn)
		s.AtOnceMissed += count(r.Scenario.AtOnce() && !withdrawn)
		s.LateMoves += count(r.Late > MaxLate)
		s.BadCallAfterFaultSMax = max(s.BadCallAfterFaultSMax, r.Late.Seconds())
		calls, bad, faulty = calls+r.Calls, bad+r.NewCalls, faulty+r.Faulty
		s.BadCallShareMean += ratio(float64(r.NewCalls), float64(r.Calls))
	}
	s.GoodDoneShare = ratio(float64(inTime), float64(s.Good))
	s.FalseWithdrawalShare = ratio(float64(falseWithdrawals), float64(s.Good))
	s.BadTakenBackShare = ratio(float64(takenBack), float64(s.Bad))
	s.BadCallShare = ratio(float64(bad), float64(calls))
	s.BadFaultyShare = ratio(float64(faulty), float64(calls))
	s.BadCallShareMean = ratio(s.BadCallShareMean, float64(s.Bad))
	return s
}

// count returns 1 for true.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ratio returns a/b, or 0 without any b.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
