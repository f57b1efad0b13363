// Command routingbench compares routing policies on a queueing model in
// virtual time, and the placement of requests of uneven work. It prints a table and, as its last line, the result in JSON.
// With -overload it runs the overload check, with and without shedding and
// retry budget.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"os"

	"github.com/chicoryscale/chicoryscale/internal/callsim"
)

// overloadRow is the result of one run of the overload check. Holds is set if
// goodput, recovery and the number of attempts are all within their bounds.
type overloadRow struct {
	Deployment string `json:"deployment"`
	Variant    string `json:"variant"`
	callsim.Overload
	Holds bool `json:"holds"`
}

// comparison is the result of all runs without -overload.
type comparison struct {
	callsim.Summary
	Uneven []callsim.UnevenRow `json:"uneven"`
}

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random choices")
	overload := flag.Bool("overload", false, "run the overload check instead of the comparison")
	flag.Parse()
	var result any
	if *overload {
		result = runOverload(*seed)
	} else {
		c := comparison{Summary: callsim.Compare(*seed)}
		c.WriteTable(os.Stdout)
		c.Uneven = callsim.CompareUneven(*seed, callsim.UnevenSeeds, callsim.UnevenLoads, callsim.UnevenRates, callsim.UnevenPolicies)
		callsim.WriteUnevenTable(os.Stdout, c.Uneven)
		result = c
	}
	if err := json.NewEncoder(os.Stdout).Encode(result); err != nil {
		log.Fatalf("write the result: %v", err)
	}
}

// runOverload runs the overload check on every deployment with all protections,
// without shedding and without the retry budget, and prints a table.
func runOverload(seed uint64) []overloadRow {
	variants := []struct {
		name   string
		config callsim.Config
	}{
		{"full", callsim.Config{}},
		{"no-shedding", callsim.Config{NoShedding: true}},
		{"no-budget", callsim.Config{NoBudget: true}},
	}
	var rows []overloadRow
	fmt.Printf("%-11s %-12s %11s %8s %10s %9s %6s\n",
		"deployment", "variant", "at capacity", "in surge", "recovery s", "attempts", "holds")
	for _, d := range callsim.Deployments {
		for _, v := range variants {
			c := v.config
			c.Deployment, c.Policy, c.Seed = d, callsim.Chicory, seed
			o := callsim.CheckOverload(c)
			r := overloadRow{d.Name, v.name, o, o.GoodputHolds() && o.Recovers() && o.AttemptsBounded()}
			rows = append(rows, r)
			fmt.Printf("%-11s %-12s %10.1f%% %7.1f%% %10.0f %9.3f %6t\n", r.Deployment, r.Variant,
				o.GoodputAtCapacity*100, o.GoodputInSurge*100, o.RecoverySeconds, o.AttemptsPerCall, r.Holds)
		}
	}
	return rows
}
