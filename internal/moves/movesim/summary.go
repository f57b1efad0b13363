package movesim

import (
	"runtime"
	"sync"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// Summary holds the figures over a list of moves. A good version is a new version
// without a fault, a bad version one with a fault.
type Summary struct {
	Moves int `json:"moves"`
	// GoodDoneShare is the share of good versions whose move was done by the
	// deadline.
	GoodDoneShare float64 `json:"good_done_share"`
	// BadWithdrawnShare is the share of bad versions that were withdrawn.
	BadWithdrawnShare float64 `json:"bad_taken_back_share"`
	// BadCallShare is the share of the service's calls that were sent to a bad
	// version, over the calls of all moves with a bad version.
	BadCallShare float64 `json:"bad_call_share"`
	// BadCallAfterFaultSMax is the longest stop delay in seconds: the time from the
	// moment at which the fault was detectable to a later call to the bad version.
	BadCallAfterFaultSMax float64 `json:"bad_call_after_fault_s_max"`
	// FalseWithdrawalShare is the share of good versions that were withdrawn.
	FalseWithdrawalShare float64 `json:"false_withdrawal_share"`
	// AtOnceMissed counts the bad versions that failed calls from the first one on
	// and were not withdrawn.
	AtOnceMissed int `json:"at_once_missed"`
	Good         int `json:"good"`
	Bad          int `json:"bad"`
	// LateMoves counts the bad versions that received a call more than MaxStopDelay
	// after their fault was detectable.
	LateMoves int `json:"late_moves"`
	// BadCallShareMean is the mean, over the moves with a bad version, of the share
	// of calls that were sent to it.
	BadCallShareMean float64 `json:"bad_call_share_move_mean"`
	// BadFaultyCallShare is the share of the service's calls, over the same calls
	// as BadCallShare, that a bad version failed or slowed because of its fault.
	BadFaultyCallShare float64 `json:"bad_faulty_call_share"`
}

// MaxStopDelay is the target for the longest time from the moment at which a fault
// is detectable to the last call to the new version.
const MaxStopDelay = 2 * time.Second

// RunList runs the first scenarios of a seed's list in parallel on all processors.
// The results are ordered by index and do not depend on the number of processors.
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

// Summarise computes the figures over results.
func Summarise(results []Result) Summary {
	s := Summary{Moves: len(results)}
	var inTime, falseWithdrawals, badWithdrawn int
	var calls, badCalls, faultyCalls uint64
	for i := range results {
		r := &results[i]
		if !r.Scenario.Faulty() {
			s.Good++
			inTime += count(r.InTime())
			falseWithdrawals += count(r.State == moves.Withdrawn)
			continue
		}
		s.Bad++
		withdrawn := r.State == moves.Withdrawn
		badWithdrawn += count(withdrawn)
		s.AtOnceMissed += count(r.Scenario.FailsFromFirstCall() && !withdrawn)
		s.LateMoves += count(r.StopDelay > MaxStopDelay)
		s.BadCallAfterFaultSMax = max(s.BadCallAfterFaultSMax, r.StopDelay.Seconds())
		calls, badCalls, faultyCalls = calls+r.Calls, badCalls+r.NewCalls, faultyCalls+r.FaultyCalls
		s.BadCallShareMean += ratio(float64(r.NewCalls), float64(r.Calls))
	}
	s.GoodDoneShare = ratio(float64(inTime), float64(s.Good))
	s.FalseWithdrawalShare = ratio(float64(falseWithdrawals), float64(s.Good))
	s.BadWithdrawnShare = ratio(float64(badWithdrawn), float64(s.Bad))
	s.BadCallShare = ratio(float64(badCalls), float64(calls))
	s.BadFaultyCallShare = ratio(float64(faultyCalls), float64(calls))
	s.BadCallShareMean = ratio(s.BadCallShareMean, float64(s.Bad))
	return s
}

// count returns 1 for true and 0 for false.
func count(b bool) int {
	if b {
		return 1
	}
	return 0
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
