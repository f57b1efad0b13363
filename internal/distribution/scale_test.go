package distribution

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

var scaleSizes = flag.String("scale.sizes", "52,217,650,1300,2600", "numbers of nodes for BenchmarkScale")

const (
	scaleDomains = 12
	// scaleChangeInterval is the mean interval between changes at 7,600
	// changes a day.
	scaleChangeInterval = 11400 * time.Millisecond
	// scaleChanges is the number of changes in a phase.
	scaleChanges = 3
	// scaleSteadyTime is the length of the steady-state phase.
	scaleSteadyTime = 20 * time.Second
	// scaleMinRestartPhase is the shortest length of a phase that restarts
	// hosts.
	scaleMinRestartPhase = 60 * time.Second
	// scaleWaitLimit is the longest wait for convergence within a phase.
	scaleWaitLimit = 4 * time.Minute
)

// phaseResult is the result of one phase, printed as a line of JSON.
type phaseResult struct {
	Nodes int    `json:"nodes"`
	Phase string `json:"phase"`
	// ConvergenceMs is the longest time from a change of the head, or from the
	// start of the nodes, until the last node has applied the head.
	ConvergenceMs float64 `json:"convergence_ms"`
	// MembersMs is the time until every node has exactly the running nodes as
	// live members.
	MembersMs float64 `json:"members_ms,omitempty"`
	PeakReads int     `json:"platform_reads_per_s_peak"`
	usage
}

// heapResult is the heap memory of one run, with its reducers and simulation,
// divided by the number of nodes.
type heapResult struct {
	Nodes         int     `json:"nodes"`
	HeapPerNodeMB float64 `json:"heap_per_node_mb"`
}

// scaleRun measures a simulated mesh of one size through all phases.
// pendingApplies counts the nodes that have not yet applied the head, and
// lastApplied is the time of the last apply.
type scaleRun struct {
	*sim
	meter          *meter
	lines          []string
	results        []phaseResult
	nodes          int
	heap           float64
	pendingApplies int
	lastApplied    mesh.Time
}

// BenchmarkScale measures convergence, control bytes and processor time of up
// to 2,600 nodes in 12 failure domains. It prints one JSON object for each
// size and phase, and the slope of each measure over the number of nodes.
func BenchmarkScale(b *testing.B) {
	sizes := parseSizes(b)
	for b.Loop() {
		runs := make([]*scaleRun, len(sizes))
		var group sync.WaitGroup
		for i, size := range sizes {
			group.Go(func() { runs[i] = runScale(size) })
		}
		group.Wait()
		measureHeap(runs)
		for _, run := range runs {
			printJSON(heapResult{Nodes: run.nodes, HeapPerNodeMB: run.heap})
		}
		printSlopes(runs)
	}
}

func parseSizes(b *testing.B) []int {
	var sizes []int
	for _, field := range strings.Split(*scaleSizes, ",") {
		size, err := strconv.Atoi(field)
		if err != nil || size < scaleDomains {
			b.Fatalf("-scale.sizes has %q, want numbers of at least %d", field, scaleDomains)
		}
		sizes = append(sizes, size)
	}
	return sizes
}

// measureHeap sets the memory of each run to the heap that is freed when the
// run's simulation is dropped.
func measureHeap(runs []*scaleRun) {
	heap := func() float64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return float64(stats.HeapAlloc)
	}
	for _, run := range runs {
		before := heap()
		run.sim, run.meter = nil, nil
		run.heap = round((before - heap()) / float64(run.nodes) / (1 << 20))
	}
}

func printJSON(v any) {
	line, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	fmt.Println(string(line))
}

// runScale simulates a mesh of the given size and runs all phases on it.
func runScale(nodes int) *scaleRun {
	r := &scaleRun{sim: newSim(uint64(nodes)), meter: newMeter(), nodes: nodes}
	for i := range scaleDomains {
		count := nodes / scaleDomains
		if i < nodes%scaleDomains {
			count++
		}
		r.addDomain(mesh.FailureDomain(fmt.Sprintf("domain-%02d", i+1)), count)
	}
	r.transfer = func(from, to *simHost, e *simEnvelope) *simEnvelope { return r.meter.transfer(r.now, from, to, e) }
	r.measureStep = func(h *simHost) func() {
		begin := time.Now()
		return func() { r.meter.host(h.id).busy += time.Since(begin) }
	}
	r.onApplied = func(h *simHost, a Applied) {
		if a.Head.Version == r.head.Version {
			r.pendingApplies--
			r.lastApplied = r.now
		}
	}
	r.lines = scaleLines()
	r.publish(nil, makeContent(r.lines...))
	r.phase("start of all nodes", func() (time.Duration, time.Duration) { return r.restartHosts(r.hosts) })
	r.phase("steady state", func() (time.Duration, time.Duration) { r.run(scaleSteadyTime); return 0, 0 })
	r.phase("changes", r.changes)
	r.loss = 0.02
	r.phase("changes at 2% loss", r.changes)
	r.loss = 0
	r.run(10 * time.Second)
	r.phase("return of a failure domain", func() (time.Duration, time.Duration) { return r.restartHosts(r.hosts[:nodes/scaleDomains]) })
	r.phase("return of all nodes", func() (time.Duration, time.Duration) { return r.restartHosts(r.hosts) })
	return r
}

// scaleLines returns the lines of a configuration of 87 services, about 35 KB.
func scaleLines() []string {
	var lines []string
	for i := range 87 {
		lines = append(lines, fmt.Sprintf("service service-%02d keep-old=600s", i))
		for j := range 3 {
			lines = append(lines, fmt.Sprintf("route route-%02d-%d service-%02d method=POST prefix=/service-%02d/resource-%d/items class=orders-%d", i, j, i, i, j, i%7))
		}
	}
	return lines
}

// phase runs one phase and prints its result. The function returns the times
// until the head was applied and until the membership was complete.
func (r *scaleRun) phase(name string, run func() (applied, members time.Duration)) {
	r.meter.reset(r.now)
	clear(r.readsPerSecond)
	applied, members := run()
	result := phaseResult{Nodes: len(r.hosts), Phase: name, usage: r.meter.usage(r.now)}
	result.ConvergenceMs = float64(applied.Microseconds()) / 1000
	result.MembersMs = float64(members.Microseconds()) / 1000
	for _, n := range r.readsPerSecond {
		result.PeakReads = max(result.PeakReads, n)
	}
	r.results = append(r.results, result)
	printJSON(result)
}

// changes publishes several changes of about 300 bytes and returns the longest
// time until the last node applied one.
func (r *scaleRun) changes() (time.Duration, time.Duration) {
	longest := time.Duration(0)
	for i := range scaleChanges {
		version := uint64(r.head.Version)
		for j := range 3 {
			number := int(version)*3 + j
			r.lines = append(r.lines, fmt.Sprintf("route added-%05d service-%02d method=GET prefix=/added/resource-%05d/items class=orders-1", number, number%87, number))
		}
		begin := r.now
		r.pendingApplies = len(r.hosts)
		// A change is published through a node or, every third time, directly
		// on the platform, so that only polling can find it.
		var publisher *simHost
		if i%3 != 2 {
			publisher = r.hosts[r.rng.IntN(len(r.hosts))]
		}
		r.publish(publisher, makeContent(r.lines...))
		r.run(scaleChangeInterval)
		for r.pendingApplies > 0 && r.now.Sub(begin) < scaleWaitLimit {
			r.run(time.Second)
		}
		longest = max(longest, r.lastApplied.Sub(begin))
	}
	return longest, 0
}

// restartHosts restarts hosts at the same time and waits until they have
// applied the head and all nodes have the same members. If other nodes keep
// running, the restarted ones are down for 10 s.
func (r *scaleRun) restartHosts(hosts []*simHost) (applied, members time.Duration) {
	for _, h := range hosts {
		h.up = false
	}
	if len(hosts) == len(r.hosts) {
		clear(r.meter.connected)
	} else {
		r.run(10 * time.Second)
	}
	begin := r.now
	r.pendingApplies = len(hosts)
	for _, h := range hosts {
		r.start(h)
	}
	for members == 0 && r.now.Sub(begin) < scaleWaitLimit {
		r.run(time.Second)
		if r.pendingApplies == 0 && r.hostWithWrongMembers() == "" {
			members = r.now.Sub(begin)
		}
	}
	applied = r.lastApplied.Sub(begin)
	if remaining := scaleMinRestartPhase - r.now.Sub(begin); remaining > 0 {
		r.run(remaining)
	}
	return applied, members
}

// slope is the least-squares line of a measure over the number of nodes.
type slope struct {
	Phase   string  `json:"phase"`
	Measure string  `json:"measure"`
	PerNode float64 `json:"slope_per_node"`
	AtZero  float64 `json:"at_zero"`
}

func printSlopes(runs []*scaleRun) {
	if len(runs) < 2 {
		return
	}
	measures := map[string]func(*phaseResult) float64{
		"sent_mean":       func(p *phaseResult) float64 { return p.SentMean },
		"sent_max":        func(p *phaseResult) float64 { return p.SentMax },
		"core_share_mean": func(p *phaseResult) float64 { return p.CoreShare },
		"convergence_ms":  func(p *phaseResult) float64 { return p.ConvergenceMs },
	}
	for phase := range runs[0].results {
		for _, name := range sortedKeys(measures) {
			var xs, ys []float64
			for _, run := range runs {
				xs = append(xs, float64(run.results[phase].Nodes))
				ys = append(ys, measures[name](&run.results[phase]))
			}
			b, a := fit(xs, ys)
			printJSON(slope{Phase: runs[0].results[phase].Phase, Measure: name, PerNode: b, AtZero: a})
		}
	}
}

// fit returns the slope of the least-squares line and its value at zero.
func fit(xs, ys []float64) (slope, zero float64) {
	n, meanX, meanY := float64(len(xs)), sum(xs)/float64(len(xs)), sum(ys)/float64(len(ys))
	var xy, xx float64
	for i := range xs {
		xy += (xs[i] - meanX) * (ys[i] - meanY)
		xx += (xs[i] - meanX) * (xs[i] - meanX)
	}
	if xx == 0 || n == 0 {
		return 0, meanY
	}
	b := xy / xx
	return math.Round(b*1e6) / 1e6, round(meanY - b*meanX)
}
