package sidecar

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// latencyBounds are the bounds of the latency histograms, in seconds.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3}

// metrics holds the instruments of the process.
type metrics struct {
	registry *prometheus.Registry
	calls    metric.Float64Histogram
	gates    metric.Float64Histogram
	status   map[string]metric.MeasurementOption
	results  []metric.MeasurementOption
}

func newMetrics(n *Node) (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry(), status: make(map[string]metric.MeasurementOption)}
	reader, err := otelprometheus.New(otelprometheus.WithRegisterer(m.registry), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create the metrics exporter: %w", err)
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader)).Meter("chicoryscale")
	m.calls, err = meter.Float64Histogram("chicory.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a client's request to its answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("register the histogram of calls: %w", err)
	}
	m.gates, err = meter.Float64Histogram("chicory.gate.duration", metric.WithUnit("s"),
		metric.WithDescription("Time that the instance took for a request."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("register the histogram of the gate: %w", err)
	}
	for class := range statusClasses {
		name := statusClass(class * 100)
		m.status[name] = metric.WithAttributes(attribute.String("status", name))
	}
	for _, name := range gateResultNames {
		m.results = append(m.results, metric.WithAttributes(attribute.String("result", name)))
	}
	return m, registerCounters(meter, n)
}

// statusClasses is the number of classes of HTTP statuses, counting the one of
// requests whose client has gone.
const statusClasses = 6

func statusClass(status int) string {
	if status == 0 {
		return "cancelled"
	}
	return strconv.Itoa(status/100) + "xx"
}

func (m *metrics) call(o outcome, took time.Duration) {
	if option := m.status[statusClass(o.status)]; option != nil {
		m.calls.Record(context.Background(), took.Seconds(), option)
	}
}

func (m *metrics) gate(result proxy.GateResult, took time.Duration) {
	m.gates.Record(context.Background(), took.Seconds(), m.results[result])
}

// handler serves GET /metrics in the Prometheus text format.
func (m *metrics) handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
}

// counterSpec names one counter of the process.
type counterSpec struct {
	name, unit, help string
	value            func(c *proxy.Counters) uint64
}

var counterSpecs = [...]counterSpec{
	{"chicory.calls", "{call}", "Requests of clients.", func(c *proxy.Counters) uint64 { return c.Calls }},
	{"chicory.calls.answered", "{call}", "Requests that ended with an instance's answer.", func(c *proxy.Counters) uint64 { return c.Answered }},
	{"chicory.calls.not_run", "{call}", "Requests refused as not run.", func(c *proxy.Counters) uint64 { return c.NotRun }},
	{"chicory.calls.may_have_run", "{call}", "Requests that failed and may have run.", func(c *proxy.Counters) uint64 { return c.MayHaveRun }},
	{"chicory.calls.cancelled", "{call}", "Requests whose client left.", func(c *proxy.Counters) uint64 { return c.Cancelled }},
	{"chicory.forwards", "{attempt}", "Requests sent to gates.", func(c *proxy.Counters) uint64 { return c.Forwards }},
	{"chicory.repeats.after_refusal", "{attempt}", "Repeats of requests that an instance refused without running them.", func(c *proxy.Counters) uint64 { return c.Repeats[proxy.RepeatRefused] }},
	{"chicory.repeats.after_loss", "{attempt}", "Repeats of requests whose answer was lost.", func(c *proxy.Counters) uint64 { return c.Repeats[proxy.RepeatLost] }},
	{"chicory.repeats.after_failure", "{attempt}", "Repeats of requests whose answer stated a failure.", func(c *proxy.Counters) uint64 { return c.Repeats[proxy.RepeatFailed] }},
	{"chicory.repeats.refused", "{attempt}", "Attempts that the budget for repeats refused.", func(c *proxy.Counters) uint64 { return c.RepeatsRefused }},
	{"chicory.gate.calls", "{call}", "Requests at the gate.", func(c *proxy.Counters) uint64 { return c.GateCalls }},
	{"chicory.gate.dispatched", "{call}", "Requests given to the instance.", func(c *proxy.Counters) uint64 { return c.GateDispatched }},
	{"chicory.gate.repeats", "{call}", "Repeated requests given to the instance.", func(c *proxy.Counters) uint64 { return c.GateRepeats }},
	{"chicory.gate.rejected", "{call}", "Requests that the gate refused.", func(c *proxy.Counters) uint64 { return c.GateRejected }},
	{"chicory.hosts.failed", "{failure}", "Times that another host was found unreachable.", func(c *proxy.Counters) uint64 { return c.HostFailures }},
	{"chicory.config.changes", "{version}", "Configuration versions applied.", func(c *proxy.Counters) uint64 { return c.ConfigApplied }},
	{"chicory.heartbeats", "{heartbeat}", "Heartbeats of the instance.", func(c *proxy.Counters) uint64 { return c.HeartbeatsAccepted }},
	{"chicory.heartbeats.ignored", "{heartbeat}", "Heartbeats that were late or named no instance of the host.", func(c *proxy.Counters) uint64 { return c.HeartbeatsIgnored }},
	{"chicory.rollout.writes", "{row}", "Rows of roll-outs written by this node.", func(c *proxy.Counters) uint64 { return c.RolloutWrites }},
}

// totalSpec names one count that is kept outside the reducer.
type totalSpec struct {
	name, unit, help string
	value            func(n *Node) int64
}

var totalSpecs = [...]totalSpec{
	{"chicory.log.left_out", "{line}", "Log lines that were left out.", func(n *Node) int64 { return n.log.Dropped() }},
	{"chicory.instance.connections", "{connection}", "Connections opened to the instance.", func(n *Node) int64 { return n.instance.Opened() }},
	{"chicory.answers.broken_off", "{answer}", "Large answers that broke off on their way from the gate.", func(n *Node) int64 { return n.totals.brokenOff.Load() }},
	{"chicory.store.reads", "{call}", "Reading calls to the store.", func(n *Node) int64 { return n.totals.storeReads.Load() }},
	{"chicory.store.writes", "{call}", "Writing calls to the store.", func(n *Node) int64 { return n.totals.storeWrites.Load() }},
}

// totals are counts that are kept outside the reducer.
type totals struct {
	brokenOff, storeReads, storeWrites atomic.Int64
}

// registerCounters registers the reducer's counters. One callback reads them
// together, so that a scrape stops the reducer once.
func registerCounters(meter metric.Meter, n *Node) error {
	var instruments []metric.Observable
	var counters []metric.Int64Observable
	for _, c := range counterSpecs {
		inst, err := meter.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", c.name, err)
		}
		counters, instruments = append(counters, inst), append(instruments, inst)
	}
	version, err := meter.Int64ObservableGauge("chicory.config.version", metric.WithDescription("Configuration version in force."))
	if err != nil {
		return fmt.Errorf("register metric chicory.config.version: %w", err)
	}
	var totals []metric.Int64Observable
	for _, t := range totalSpecs {
		inst, err := meter.Int64ObservableCounter(t.name, metric.WithUnit(t.unit), metric.WithDescription(t.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", t.name, err)
		}
		totals, instruments = append(totals, inst), append(instruments, inst)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var c proxy.Counters
		var v int64
		n.inspect(func(r *proxy.Node) {
			c = r.Counters()
			if snapshot := r.Config(); snapshot != nil {
				v = int64(snapshot.Version)
			}
		})
		for i, spec := range counterSpecs {
			o.ObserveInt64(counters[i], int64(spec.value(&c)))
		}
		o.ObserveInt64(version, v)
		for i, spec := range totalSpecs {
			o.ObserveInt64(totals[i], spec.value(n))
		}
		return nil
	}, append(instruments, version)...)
	if err != nil {
		return fmt.Errorf("register the counters: %w", err)
	}
	return nil
}
