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
	// scaleChangeInterval is the mean time between two of 7,600 changes a day.
	scaleChangeInterval = 11400 * time.Millisecond
	scaleChanges        = 3
	scaleQuiet          = 20 * time.Second
	scaleReturn         = 60 * time.Second
	// scaleLimit ends the wait for a condition that does not come true.
	scaleLimit = 4 * time.Minute
)

// phaseResult is one line of the report.
type phaseResult struct {
	Nodes int    `json:"nodes"`
	Phase string `json:"phase"`
	// ConvergenceMs is the longest time from a move of the head, or from the
	// start of the nodes, to the last apply.
	ConvergenceMs float64 `json:"convergence_ms"`
	// MembersMs is the time until every node knows exactly the running nodes.
	MembersMs float64 `json:"members_ms,omitempty"`
	PeakReads int     `json:"platform_reads_per_s_peak"`
	usage
}

// heapResult is the memory of a size's reducers with their simulation.
type heapResult struct {
	Nodes         int     `json:"nodes"`
	HeapPerNodeMB float64 `json:"heap_per_node_mb"`
}

type scaleRun struct {
	*sim
	meter   *meter
	lines   []string
	results []phaseResult
	nodes   int
	heap    float64
	waiting int
	last    mesh.Time
}

// BenchmarkScale measures convergence, control bytes and processor time of up
// to 2,600 nodes in 12 failure domains. It prints one JSON object for each
// size and phase and the slopes over the number of nodes.
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

// measureHeap attributes to each run the memory that is freed when it is
// dropped.
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

func runScale(nodes int) *scaleRun {
	r := &scaleRun{sim: newSim(uint64(nodes)), meter: newMeter(), nodes: nodes}
	for i := range scaleDomains {
		count := nodes / scaleDomains
		if i < nodes%scaleDomains {
			count++
		}
		r.addDomain(mesh.FailureDomain(fmt.Sprintf("domain-%02d", i+1)), count)
	}
	r.carry = func(from, to *simHost, e *simEnvelope) *simEnvelope { return r.meter.carry(r.now, from, to, e) }
	r.clockStep = func(h *simHost) func() {
		begin := time.Now()
		return func() { r.meter.host(h.id).busy += time.Since(begin) }
	}
	r.onApplied = func(h *simHost, a Applied) {
		if a.Head.Version == r.head.Version {
			r.waiting--
			r.last = r.now
		}
	}
	r.lines = scaleLines()
	r.publish(nil, makeContent(r.lines...))
	r.phase("start of all nodes", func() (time.Duration, time.Duration) { return r.returnOf(r.hosts) })
	r.phase("steady state", func() (time.Duration, time.Duration) { r.run(scaleQuiet); return 0, 0 })
	r.phase("changes", r.changes)
	r.loss = 0.02
	r.phase("changes at 2% loss", r.changes)
	r.loss = 0
	r.run(10 * time.Second)
	r.phase("return of a failure domain", func() (time.Duration, time.Duration) { return r.returnOf(r.hosts[:nodes/scaleDomains]) })
	r.phase("return of all nodes", func() (time.Duration, time.Duration) { return r.returnOf(r.hosts) })
	return r
}

// scaleLines returns a configuration of 87 services of about 35 KB.
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

func (r *scaleRun) phase(name string, run func() (applied, members time.Duration)) {
	r.meter.reset(r.now)
	clear(r.reads)
	applied, members := run()
	result := phaseResult{Nodes: len(r.hosts), Phase: name, usage: r.meter.usage(r.now)}
	result.ConvergenceMs = float64(applied.Microseconds()) / 1000
	result.MembersMs = float64(members.Microseconds()) / 1000
	for _, n := range r.reads {
		result.PeakReads = max(result.PeakReads, n)
	}
	r.results = append(r.results, result)
	printJSON(result)
}

// changes publishes a change of 300 bytes several times and returns the
// longest time to the last apply.
func (r *scaleRun) changes() (time.Duration, time.Duration) {
	longest := time.Duration(0)
	for i := range scaleChanges {
		version := uint64(r.head.Version)
		for j := range 3 {
			at := int(version)*3 + j
			r.lines = append(r.lines, fmt.Sprintf("route added-%05d service-%02d method=GET prefix=/added/resource-%05d/items class=orders-1", at, at%87, at))
		}
		begin := r.now
		r.waiting = len(r.hosts)
		// A change comes from a node or, every third time, from a client that
		// no node hears of, so that the poll has to find it.
		var publisher *simHost
		if i%3 != 2 {
			publisher = r.hosts[r.rng.IntN(len(r.hosts))]
		}
		r.publish(publisher, makeContent(r.lines...))
		r.run(scaleChangeInterval)
		for r.waiting > 0 && r.now.Sub(begin) < scaleLimit {
			r.run(time.Second)
		}
		longest = max(longest, r.last.Sub(begin))
	}
	return longest, 0
}

// returnOf restarts hosts at the same time and waits until they apply the
// head and all nodes know each other.
func (r *scaleRun) returnOf(hosts []*simHost) (applied, members time.Duration) {
	for _, h := range hosts {
		h.up = false
	}
	if len(hosts) == len(r.hosts) {
		clear(r.meter.seen)
	} else {
		r.run(10 * time.Second)
	}
	begin := r.now
	r.waiting = len(hosts)
	for _, h := range hosts {
		r.start(h)
	}
	for members == 0 && r.now.Sub(begin) < scaleLimit {
		r.run(time.Second)
		if r.waiting == 0 && r.incomplete() == "" {
			members = r.now.Sub(begin)
		}
	}
	applied = r.last.Sub(begin)
	if rest := scaleReturn - r.now.Sub(begin); rest > 0 {
		r.run(rest)
	}
	return applied, members
}

// slope is a least-squares fit of a measure over the number of nodes.
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

// fit returns the slope and the value at zero of the least-squares line.
func fit(xs, ys []float64) (slope, zero float64) {
	n, mx, my := float64(len(xs)), sum(xs)/float64(len(xs)), sum(ys)/float64(len(ys))
	var xy, xx float64
	for i := range xs {
		xy += (xs[i] - mx) * (ys[i] - my)
		xx += (xs[i] - mx) * (xs[i] - mx)
	}
	if xx == 0 || n == 0 {
		return 0, my
	}
	b := xy / xx
	return math.Round(b*1e6) / 1e6, round(my - b*mx)
}
