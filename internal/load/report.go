package load

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicoryscale/chicoryscale/internal/settings"
)

// Range of the latency histograms in microseconds, and their precision in decimal
// digits.
const (
	minMicros         = 1
	maxMicros         = 120_000_000
	significantDigits = 3
)

// Counts holds the number of sends by result. A call that is sent a second time
// counts as two sends.
type Counts struct {
	Sent       int64 `json:"sent"`
	Answered   int64 `json:"answered"`
	Failed     int64 `json:"failed"`
	NotRun     int64 `json:"not_run"`
	MayHaveRun int64 `json:"may_have_run"`
	NoAnswer   int64 `json:"no_answer"`
	// Wrong counts answers that are malformed, have no known outcome or do not
	// belong to their request.
	Wrong int64 `json:"wrong"`
}

func (c *Counts) add(result sendResult) {
	c.Sent++
	counter := [resultCount]*int64{&c.Answered, &c.Failed, &c.NotRun, &c.MayHaveRun, &c.NoAnswer, &c.Wrong}
	*counter[result]++
}

// Latency holds percentiles of the latency of answered sends in milliseconds. The
// latency is measured from the time at which the call was due, and that of a
// second send from its start.
type Latency struct {
	P50  float64 `json:"p50_ms"`
	P90  float64 `json:"p90_ms"`
	P99  float64 `json:"p99_ms"`
	P999 float64 `json:"p999_ms"`
	Max  float64 `json:"max_ms"`
}

// Series holds the results of the sends of one kind of request, either through
// nodes or direct to the backend server.
type Series struct {
	Request string  `json:"request"`
	Counts  Counts  `json:"counts"`
	Latency Latency `json:"latency"`

	histogram *hdrhistogram.Histogram
}

// Report is the result of a run.
type Report struct {
	Rate float64 `json:"rate_per_s"`
	// Seconds is the time for which calls started, without the warm-up.
	Seconds float64 `json:"seconds"`
	Seed    uint64  `json:"seed"`
	// Dropped counts the calls that were not sent because MaxInFlight calls were
	// in flight.
	Dropped int64 `json:"dropped"`
	// Resent counts the calls that were sent a second time.
	Resent int64 `json:"resent"`
	// AnsweredTwice counts identities for which both sends were answered. This
	// is a fault for non-idempotent requests only.
	AnsweredTwice int64     `json:"answered_twice"`
	Nodes         []*Series `json:"nodes"`
	Direct        []*Series `json:"direct,omitempty"`
	// AddedP50 and AddedP99 are the differences in milliseconds between the
	// latency through nodes and that of direct calls, over all kinds of
	// requests.
	AddedP50 *float64 `json:"added_p50_ms,omitempty"`
	AddedP99 *float64 `json:"added_p99_ms,omitempty"`
}

// recorder collects results from concurrent calls.
type recorder struct {
	mu     sync.Mutex
	report Report
}

func newRecorder(s *settings.LoadGenerator) *recorder {
	r := &recorder{report: Report{Rate: s.RatePerSecond, Seed: s.Seed}}
	for i := range s.Requests {
		r.report.Nodes = append(r.report.Nodes, newSeries(s.Requests[i].Name))
		if s.Direct != "" {
			r.report.Direct = append(r.report.Direct, newSeries(s.Requests[i].Name))
		}
	}
	return r
}

func newSeries(request string) *Series {
	return &Series{Request: request, histogram: hdrhistogram.New(minMicros, maxMicros, significantDigits)}
}

func (r *recorder) add(series *Series, result sendResult, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	series.Counts.add(result)
	if result == resultAnswered {
		_ = series.histogram.RecordValue(min(max(latency.Microseconds(), minMicros), maxMicros))
	}
}

func (r *recorder) update(change func(*Report)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(&r.report)
}

// finish completes the report with the elapsed time and the latencies. All calls
// must have ended.
func (r *recorder) finish(elapsed time.Duration) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Seconds = max(elapsed, 0).Seconds()
	nodes, direct := computeLatencies(r.report.Nodes), computeLatencies(r.report.Direct)
	if nodes.TotalCount() > 0 && direct.TotalCount() > 0 {
		r.report.AddedP50 = addedLatency(nodes, direct, 50)
		r.report.AddedP99 = addedLatency(nodes, direct, 99)
	}
	return &r.report
}

// computeLatencies sets the Latency of each series and returns the merged histogram.
func computeLatencies(series []*Series) *hdrhistogram.Histogram {
	merged := hdrhistogram.New(minMicros, maxMicros, significantDigits)
	for _, s := range series {
		s.Latency = Latency{
			P50: millis(s.histogram, 50), P90: millis(s.histogram, 90), P99: millis(s.histogram, 99),
			P999: millis(s.histogram, 99.9), Max: float64(s.histogram.Max()) / 1000,
		}
		merged.Merge(s.histogram)
	}
	return merged
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtPercentile(percentile)) / 1000
}

func addedLatency(nodes, direct *hdrhistogram.Histogram, percentile float64) *float64 {
	difference := millis(nodes, percentile) - millis(direct, percentile)
	return &difference
}

// Wrong returns the total of Counts.Wrong, through nodes and direct.
func (r *Report) Wrong() int64 {
	var wrong int64
	for _, all := range [...][]*Series{r.Nodes, r.Direct} {
		for _, s := range all {
			wrong += s.Counts.Wrong
		}
	}
	return wrong
}
