package movesim

import (
	"fmt"
	"io"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/moves"
)

// PrintByKind prints a table of the results by fault.
func PrintByKind(w io.Writer, results []Result) {
	fmt.Fprintf(w, "%-11s %6s %6s %9s %8s %10s %10s %9s %6s\n",
		"fault", "moves", "done", "withdrawn", "in time", "bad calls", "late max", "late >2s", "early")
	for f := range faultCount {
		var kept []Result
		early := 0
		for i := range results {
			if results[i].Scenario.Fault == f {
				kept = append(kept, results[i])
				early += count(results[i].Early)
			}
		}
		printRow(w, f.String(), kept, early)
	}
	s := Summarise(results)
	fmt.Fprintf(w, "all: good in time %.4f, bad withdrawn %.4f, bad calls %.4f (mean of moves %.4f, faulty %.4f), late max %.2f s in %d moves, false withdrawals %.4f\n",
		s.GoodDoneShare, s.BadTakenBackShare, s.BadCallShare, s.BadCallShareMean, s.BadFaultyShare,
		s.BadCallAfterFaultSMax, s.LateMoves, s.FalseWithdrawalShare)
}

// printRow prints the row of one fault.
func printRow(w io.Writer, name string, results []Result, early int) {
	var done, withdrawn, inTime, late int
	var calls, bad uint64
	var latest time.Duration
	for i := range results {
		r := &results[i]
		done += count(r.State == moves.Done)
		withdrawn += count(r.State == moves.Withdrawn)
		inTime += count(r.InTime())
		late += count(r.Late > MaxLate)
		calls, bad = calls+r.Calls, bad+r.NewCalls
		latest = max(latest, r.Late)
	}
	fmt.Fprintf(w, "%-11s %6d %6d %9d %8d %9.3f%% %9.2fs %9d %6d\n", name, len(results), done, withdrawn, inTime,
		100*ratio(float64(bad), float64(calls)), latest.Seconds(), late, early)
}

// PrintMisses prints the moves that missed a target.
func PrintMisses(w io.Writer, results []Result) {
	for i := range results {
		r := &results[i]
		bad := r.Scenario.Bad()
		missed := !bad && !r.InTime() || bad && r.State != moves.Withdrawn || r.Late > MaxLate
		if missed {
			fmt.Fprintf(w, "missed: move %d: %s cause %s on %q after %s, late %s, calls %d of %d; %s\n", i, r.State, r.Cause, r.CauseRoute,
				r.Ended.Round(time.Second), r.Late.Round(10*time.Millisecond), r.NewCalls, r.Calls, &r.Scenario)
		}
	}
}
