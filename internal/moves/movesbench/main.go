// Command movesbench runs a seeded list of moves on the reducers of
// internal/moves in virtual time, prints what went wrong and a line of JSON.
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

// run prints the reports of both policies; the reducers' summary comes last.
func run(seed uint64, count int, baseline bool) error {
	if baseline {
		fmt.Println("baseline: fixed steps, fixed thresholds")
		movesim.PrintByKind(os.Stdout, movesim.RunList(seed, count, movesim.RunBaseline))
	}
	results := movesim.RunList(seed, count, movesim.Run)
	fmt.Println("reducers")
	movesim.PrintByKind(os.Stdout, results)
	movesim.PrintMisses(os.Stdout, results)
	line, err := json.Marshal(movesim.Summarise(results))
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	return nil
}
