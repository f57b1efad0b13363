package callsim

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// requestEnd is the way in which a client's request ended.
type requestEnd uint8

const (
	requestAnswered requestEnd = iota
	requestRefused             // not run
	requestLost                // no answer within the client's time limit
)

// UnevenResults counts what clients got. Retries belong to the request that they
// repeat.
type UnevenResults struct {
	Requests, InTime, Late, Refused, Lost, Forwards int
	Value, MaxValue                                 float64
	latency                                         *hdrhistogram.Histogram // of answers, in microseconds
	kinds                                           map[mesh.Route]*servedCount
	tenants                                         map[int]*servedCount
	heavy                                           servedCount // requests of more than twice the mean work
	others                                          servedCount // in time, of all tenants but surgingTenant
}

// servedCount counts requests and those that were answered.
type servedCount struct{ requests, served int }

func (c *servedCount) add(served bool) {
	c.requests++
	if served {
		c.served++
	}
}

func (c *servedCount) share() float64 { return float64(c.served) / float64(max(c.requests, 1)) }

func newUnevenResults() UnevenResults {
	return UnevenResults{latency: hdrhistogram.New(1, time.Minute.Microseconds(), 3), kinds: make(map[mesh.Route]*servedCount), tenants: make(map[int]*servedCount)}
}

// measured reports whether a request began after the warm-up and early enough to end
// within the run.
func (s *unevenSim) measured(c *clientRequest) bool {
	return c.began.Sub(s.start) >= unevenWarmUp && c.began.Sub(s.start) < unevenLength-c.kind.limit
}

func (r *UnevenResults) countForward(measured bool) {
	if measured {
		r.Forwards++
	}
}

func (s *unevenSim) record(c *clientRequest, end requestEnd) {
	if !s.measured(c) {
		return
	}
	r := &s.results
	r.Requests++
	r.MaxValue += c.kind.inTimeValue
	took := s.engine.now.Sub(c.began)
	switch {
	case end == requestRefused:
		r.Refused++
	case end == requestLost:
		r.Lost++
	case took <= c.kind.target:
		r.InTime++
		r.Value += c.kind.inTimeValue
	default:
		r.Late++
		r.Value += c.kind.lateValue
	}
	served := end == requestAnswered
	if served {
		_ = r.latency.RecordValue(took.Microseconds()) // cannot fail: the limit bounds the latency
	}
	if c.tenant != surgingTenant {
		r.others.add(served && took <= c.kind.target)
	}
	countOf(r.kinds, c.kind.name).add(served)
	countOf(r.tenants, c.tenant).add(served)
	if c.work.work > 2*c.kind.work {
		r.heavy.add(served)
	}
}

func countOf[K comparable](m map[K]*servedCount, key K) *servedCount {
	c := m[key]
	if c == nil {
		c = &servedCount{}
		m[key] = c
	}
	return c
}

// minTenantRequests is the number of requests from which a tenant counts for the
// smallest share.
const minTenantRequests = 40

// UnevenRow is the result of one policy at one load. Shares are of all requests.
type UnevenRow struct {
	Load      string       `json:"load"`
	Rate      float64      `json:"rate"`
	Policy    UnevenPolicy `json:"policy"`
	P50Millis float64      `json:"p50_ms"`
	P99Millis float64      `json:"p99_ms"`
	InTime    float64      `json:"in_time"`
	Late      float64      `json:"late"`
	Refused   float64      `json:"refused"`
	Lost      float64      `json:"lost"`
	// Value is the value of all answers as a share of what answers to all requests in
	// time would be worth.
	Value    float64 `json:"value"`
	Forwards float64 `json:"forwards_per_request"`
	// LeastKind and LeastTenant are the smallest shares of answered requests of a kind
	// and of a tenant, Heavy is that of the requests of more than twice the mean work.
	// All three are relative to the share of all requests.
	LeastKind   float64 `json:"least_kind"`
	LeastTenant float64 `json:"least_tenant"`
	Heavy       float64 `json:"heavy"`
	// Others is the share in time of the requests of all tenants but surgingTenant.
	Others float64 `json:"others_in_time"`
}

// UnevenRates lists the offered loads of the comparison as shares of the capacity.
var UnevenRates = []float64{0.7, 1.0, 1.3}

// CompareUneven runs the policies on the loads and rates with successive seeds and
// returns the means.
func CompareUneven(seed uint64, seeds int, loads []UnevenLoad, rates []float64, policies []UnevenPolicy) []UnevenRow {
	var rows []UnevenRow
	for _, l := range loads {
		for _, rate := range rates {
			for _, p := range policies {
				rows = append(rows, UnevenRow{Load: l.Name, Rate: rate, Policy: p})
			}
		}
	}
	semaphore := make(chan struct{}, parallelRuns)
	var runs sync.WaitGroup
	for i := range rows {
		load := loads[i/(len(rates)*len(policies))]
		runs.Go(func() {
			semaphore <- struct{}{}
			rows[i].measure(load, seed, seeds)
			<-semaphore
		})
	}
	runs.Wait()
	return rows
}

// UnevenSeeds is the number of seeds of the comparison in make routing.
const UnevenSeeds = 3

func (r *UnevenRow) measure(load UnevenLoad, seed uint64, seeds int) {
	n := float64(seeds)
	for i := range seeds {
		m := RunUneven(UnevenConfig{Load: load, Policy: r.Policy, Rate: r.Rate, Seed: seed + uint64(i)})
		all := float64(m.Requests) * n
		served := servedCount{m.Requests, m.InTime + m.Late}
		r.P50Millis += float64(m.latency.ValueAtQuantile(50)) / 1e3 / n
		r.P99Millis += float64(m.latency.ValueAtQuantile(99)) / 1e3 / n
		r.InTime += float64(m.InTime) / all
		r.Late += float64(m.Late) / all
		r.Refused += float64(m.Refused) / all
		r.Lost += float64(m.Lost) / all
		r.Value += m.Value / m.MaxValue / n
		r.Forwards += float64(m.Forwards) / all
		r.LeastKind += leastShare(m.kinds, 1) / served.share() / n
		r.LeastTenant += leastShare(m.tenants, minTenantRequests) / served.share() / n
		r.Others += m.others.share() / n
		r.Heavy += m.heavy.share() / served.share() / n
	}
}

// leastShare returns the smallest share of answered requests among groups of at least
// atLeast requests.
func leastShare[K comparable](groups map[K]*servedCount, atLeast int) float64 {
	shares := []float64{1}
	for _, c := range groups {
		if c.requests >= atLeast {
			shares = append(shares, c.share())
		}
	}
	return slices.Min(shares)
}

// WriteUnevenTable writes rows as a text table.
func WriteUnevenTable(w io.Writer, rows []UnevenRow) {
	fmt.Fprintf(w, "%-8s %5s %-15s %7s %7s %8s %6s %8s %6s %7s %8s %6s %7s %6s %7s\n", "load", "rate", "policy", "p50 ms", "p99 ms", "in time", "late",
		"refused", "lost", "value", "forwards", "kind", "tenant", "heavy", "others")
	for _, r := range rows {
		fmt.Fprintf(w, "%-8s %4.0f%% %-15s %7.0f %7.0f %7.1f%% %5.1f%% %7.1f%% %5.1f%% %6.1f%% %8.2f %6.2f %7.2f %6.2f %6.1f%%\n", r.Load, r.Rate*100, r.Policy, r.P50Millis, r.P99Millis,
			r.InTime*100, r.Late*100, r.Refused*100, r.Lost*100, r.Value*100, r.Forwards, r.LeastKind, r.LeastTenant, r.Heavy, r.Others*100)
	}
}
