// Command movesbench simulates a seeded list of moves with the reducers of
// internal/moves in virtual time. It prints a table of the results, the moves that
// missed a target and a summary as a line of JSON.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/chicoryscale/chicoryscale/internal/moves/movesim"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the list of moves")
	count := flag.Int("count", 240, "number of moves")
	baseline := flag.Bool("baseline", true, "also run the baseline policy")
	flag.Parse()
	if err := run(*seed, *count, *baseline); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// run simulates the list and prints the results of the baseline policy, if
// requested, and of the reducers. The reducers' summary is the last line.
func run(seed uint64, count int, baseline bool) error {
	if baseline {
		fmt.Println("baseline: fixed steps, fixed thresholds")
		movesim.PrintByFault(os.Stdout, movesim.RunList(seed, count, movesim.RunBaseline))
	}
	results := movesim.RunList(seed, count, movesim.Run)
	fmt.Println("reducers")
	movesim.PrintByFault(os.Stdout, results)
	movesim.PrintMissedTargets(os.Stdout, results)
	line, err := json.Marshal(movesim.Summarise(results))
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
