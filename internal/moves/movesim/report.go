package movesim

import (
	"fmt"
	"io"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// PrintByFault prints a table with a row of results per fault, and a line of
// figures over all moves.
func PrintByFault(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-11s %6s %6s %9s %8s %10s %10s %9s %6s\n",
		"fault", "moves", "done", "withdrawn", "in time", "bad calls", "max delay", "delay >2s", "early")
	for f := range faultCount {
		var ofFault []Result
		reportedEarly := 0
		for i := range results {
			if results[i].Scenario.Fault == f {
				ofFault = append(ofFault, results[i])
				reportedEarly += count(results[i].ReportedEarly)
			}
		}
		printRow(w, f.String(), ofFault, reportedEarly)
	}
	s := Summarise(results)
	fmt.Fprintf(w, "all: good in time %.4f, bad withdrawn %.4f, bad calls %.4f (mean of moves %.4f, faulty %.4f), max stop delay %.2f s, above 2 s in %d moves, false withdrawals %.4f\n",
		s.GoodDoneShare, s.BadWithdrawnShare, s.BadCallShare, s.BadCallShareMean, s.BadFaultyCallShare,
		s.BadCallAfterFaultSMax, s.LateMoves, s.FalseWithdrawalShare)
}

// printRow prints the table row of one fault.
func printRow(w io.Writer, name string, results []Result, reportedEarly int) {
	var done, withdrawn, inTime, lateMoves int
	var calls, newCalls uint64
	var longestDelay time.Duration
	for i := range results {
		r := &results[i]
		done += count(r.State == moves.Done)
		withdrawn += count(r.State == moves.Withdrawn)
		inTime += count(r.InTime())
		lateMoves += count(r.StopDelay > MaxStopDelay)
		calls, newCalls = calls+r.Calls, newCalls+r.NewCalls
		longestDelay = max(longestDelay, r.StopDelay)
	}
	fmt.Fprintf(w, "%-11s %6d %6d %9d %8d %9.3f%% %9.2fs %9d %6d\n", name, len(results), done, withdrawn, inTime,
		100*ratio(float64(newCalls), float64(calls)), longestDelay.Seconds(), lateMoves, reportedEarly)
}

// PrintMissedTargets prints the moves that missed a target.
func PrintMissedTargets(w io.Writer, results []Result) {
	for i := range results {
		r := &results[i]
		faulty := r.Scenario.Faulty()
		missed := !faulty && !r.InTime() || faulty && r.State != moves.Withdrawn || r.StopDelay > MaxStopDelay
		if missed {
			fmt.Fprintf(w, "missed target: move %d: %s cause %s on route %q after %s, stop delay %s, calls to the new version %d of %d; %s\n", i, r.State, r.Cause, r.CauseRoute,
				r.Duration.Round(time.Second), r.StopDelay.Round(10*time.Millisecond), r.NewCalls, r.Calls, &r.Scenario)
		}
	}
}
