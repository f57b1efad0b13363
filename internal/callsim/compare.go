package callsim

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Loads are the offered loads of the comparison as shares of the capacity.
var Loads = []float64{0.5, 0.9, 1.5}

const (
	runLength = 25 * time.Second
	// parallelRuns bounds the runs at a time.
	parallelRuns = 4
	// goodputTolerance and latencyTolerance allow for noise between runs when
	// a row is compared with the better baseline.
	goodputTolerance = 0.01
	latencyTolerance = 1.1
)

// Row is one line of the comparison.
type Row struct {
	Deployment string     `json:"deployment"`
	Fault      Fault      `json:"fault"`
	Load       float64    `json:"load"`
	Policy     PolicyName `json:"policy"`
	P50Millis  float64    `json:"p50_ms"`
	P99Millis  float64    `json:"p99_ms"`
	// Goodput is the share of the healthy capacity.
	Goodput  float64 `json:"goodput"`
	Attempts float64 `json:"attempts_per_call"`
}

// Summary is the result of the comparison.
type Summary struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
	// Worse counts the cells in which a baseline has clearly more goodput, or
	// the same goodput and a clearly lower p99.
	Worse int `json:"worse_than_a_baseline"`
}

// Compare runs all policies on all deployments, faults and loads.
func Compare(seed uint64) Summary {
	rows := grid()
	limit := make(chan struct{}, parallelRuns)
	var wait sync.WaitGroup
	for i := range rows {
		wait.Go(func() {
			limit <- struct{}{}
			rows[i].measure(seed)
			<-limit
		})
	}
	wait.Wait()
	return Summary{Seed: seed, Rows: rows, Worse: countWorse(rows)}
}

// grid lists the rows; the policies of one cell follow each other, in the
// order of PolicyNames.
func grid() []Row {
	var rows []Row
	for _, d := range Deployments {
		for _, f := range Faults {
			for _, l := range Loads {
				for _, p := range PolicyNames {
					rows = append(rows, Row{Deployment: d.Name, Fault: f, Load: l, Policy: p})
				}
			}
		}
	}
	return rows
}

func (r *Row) measure(seed uint64) {
	m := Run(Config{Deployment: deploymentNamed(r.Deployment), Fault: r.Fault, Policy: r.Policy,
		Seed: seed, Phases: []Phase{{Length: runLength, Load: r.Load}}})
	sum := m.Sum(warmUp, runLength)
	r.P50Millis = m.Quantile(50).Seconds() * 1e3
	r.P99Millis = m.Quantile(99).Seconds() * 1e3
	r.Goodput = m.Goodput(warmUp, runLength)
	r.Attempts = float64(sum.Attempts) / float64(sum.Offered)
}

func deploymentNamed(name string) Deployment {
	for _, d := range Deployments {
		if d.Name == name {
			return d
		}
	}
	return Deployments[0]
}

func countWorse(rows []Row) int {
	worse := 0
	for i := 0; i < len(rows); i += len(PolicyNames) {
		if worseThanAny(rows[i], rows[i+1:i+len(PolicyNames)]) {
			worse++
		}
	}
	return worse
}

func worseThanAny(own Row, baselines []Row) bool {
	for _, b := range baselines {
		moreGood := b.Goodput > own.Goodput+goodputTolerance
		sameGood := b.Goodput >= own.Goodput-goodputTolerance
		if moreGood || sameGood && own.P99Millis > b.P99Millis*latencyTolerance {
			return true
		}
	}
	return false
}

// WriteTable writes the rows as text; "<" marks cells counted in Worse.
func (s Summary) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%-11s %-14s %5s %-13s %8s %8s %8s %8s\n",
		"deployment", "fault", "load", "policy", "p50 ms", "p99 ms", "goodput", "attempts")
	for i, r := range s.Rows {
		mark := ""
		if i%len(PolicyNames) == 0 && worseThanAny(r, s.Rows[i+1:i+len(PolicyNames)]) {
			mark = " <"
		}
		fmt.Fprintf(w, "%-11s %-14s %4.0f%% %-13s %8.1f %8.1f %7.1f%% %8.3f%s\n",
			r.Deployment, r.Fault, r.Load*100, r.Policy, r.P50Millis, r.P99Millis, r.Goodput*100, r.Attempts, mark)
	}
}
