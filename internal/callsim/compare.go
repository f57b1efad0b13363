package callsim

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Loads lists the offered loads of the comparison as shares of the healthy
// capacity.
var Loads = []float64{0.5, 0.9, 1.5}

const (
	runLength = 25 * time.Second
	// parallelRuns is the maximum number of concurrent runs.
	parallelRuns = 4
	// goodputTolerance and latencyTolerance allow for noise between runs when
	// a row of policy Chicory is compared with a baseline policy. The first is
	// added to a share of the capacity, the second is a factor on the p99.
	goodputTolerance = 0.01
	latencyTolerance = 1.1
)

// Row is the result of one policy for one combination of deployment, fault and
// load.
type Row struct {
	Deployment string     `json:"deployment"`
	Fault      Fault      `json:"fault"`
	Load       float64    `json:"load"`
	Policy     PolicyName `json:"policy"`
	P50Millis  float64    `json:"p50_ms"`
	P99Millis  float64    `json:"p99_ms"`
	// Goodput is the rate of good calls as a share of the healthy capacity.
	Goodput  float64 `json:"goodput"`
	Attempts float64 `json:"attempts_per_call"`
}

// Summary is the result of the comparison.
type Summary struct {
	Seed uint64 `json:"seed"`
	Rows []Row  `json:"rows"`
	// Worse counts the combinations of deployment, fault and load in which a
	// baseline policy has more goodput than Chicory, or the same goodput and a
	// lower p99, by more than goodputTolerance and latencyTolerance.
	Worse int `json:"worse_than_a_baseline"`
}

// Compare runs all policies on all deployments, faults and loads.
func Compare(seed uint64) Summary {
	rows := comparisonRows()
	semaphore := make(chan struct{}, parallelRuns)
	var runs sync.WaitGroup
	for i := range rows {
		runs.Go(func() {
			semaphore <- struct{}{}
			rows[i].measure(seed)
			<-semaphore
		})
	}
	runs.Wait()
	return Summary{Seed: seed, Rows: rows, Worse: countWorseCombinations(rows)}
}

// comparisonRows returns the rows without results. The rows of one combination
// of deployment, fault and load are adjacent, in the order of PolicyNames.
func comparisonRows() []Row {
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

func countWorseCombinations(rows []Row) int {
	worse := 0
	for i := 0; i < len(rows); i += len(PolicyNames) {
		if worseThanAnyBaseline(rows[i], rows[i+1:i+len(PolicyNames)]) {
			worse++
		}
	}
	return worse
}

func worseThanAnyBaseline(chicory Row, baselines []Row) bool {
	for _, b := range baselines {
		higherGoodput := b.Goodput > chicory.Goodput+goodputTolerance
		similarGoodput := b.Goodput >= chicory.Goodput-goodputTolerance
		if higherGoodput || similarGoodput && chicory.P99Millis > b.P99Millis*latencyTolerance {
			return true
		}
	}
	return false
}

// WriteTable writes the rows as a text table. "<" marks the Chicory rows that
// are counted in Worse.
func (s Summary) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "%-11s %-14s %5s %-13s %8s %8s %8s %8s\n",
		"deployment", "fault", "load", "policy", "p50 ms", "p99 ms", "goodput", "attempts")
	for i, r := range s.Rows {
		mark := ""
		if i%len(PolicyNames) == 0 && worseThanAnyBaseline(r, s.Rows[i+1:i+len(PolicyNames)]) {
			mark = " <"
		}
		fmt.Fprintf(w, "%-11s %-14s %4.0f%% %-13s %8.1f %8.1f %7.1f%% %8.3f%s\n",
			r.Deployment, r.Fault, r.Load*100, r.Policy, r.P50Millis, r.P99Millis, r.Goodput*100, r.Attempts, mark)
	}
}
