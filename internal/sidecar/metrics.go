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

	"github.com/chicoryscale/chicoryscale/internal/clientlimit"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
)

// latencyBounds are the bucket boundaries of the latency histograms, in seconds.
var latencyBounds = []float64{0.005, 0.01, 0.02, 0.05, 0.1, 0.15, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3}

// metrics holds the metric instruments of the process.
type metrics struct {
	registry      *prometheus.Registry
	callDuration  metric.Float64Histogram             // of client requests at the entry node
	gateDuration  metric.Float64Histogram             // of requests at the instance
	statusOptions map[string]metric.MeasurementOption // by status class
	resultOptions []metric.MeasurementOption          // by proxy.GateResult
	work          *workMetrics
}

func newMetrics(n *Node) (*metrics, error) {
	m := &metrics{registry: prometheus.NewRegistry(), statusOptions: make(map[string]metric.MeasurementOption)}
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(m.registry), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create the metrics exporter: %w", err)
	}
	meter := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)).Meter("chicoryscale")
	m.callDuration, err = meter.Float64Histogram("chicory.call.duration", metric.WithUnit("s"),
		metric.WithDescription("Time from a client's request to its answer."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("register the metric chicory.call.duration: %w", err)
	}
	m.gateDuration, err = meter.Float64Histogram("chicory.gate.duration", metric.WithUnit("s"),
		metric.WithDescription("Time that the instance took for a request."), metric.WithExplicitBucketBoundaries(latencyBounds...))
	if err != nil {
		return nil, fmt.Errorf("register the metric chicory.gate.duration: %w", err)
	}
	for class := range statusClasses {
		name := statusClass(class * 100)
		m.statusOptions[name] = metric.WithAttributes(attribute.String("status", name))
	}
	for _, name := range gateResultNames {
		m.resultOptions = append(m.resultOptions, metric.WithAttributes(attribute.String("result", name)))
	}
	if m.work, err = newWorkMetrics(meter, n); err != nil {
		return nil, err
	}
	return m, registerCounters(meter, n)
}

// statusClasses is the number of classes of HTTP statuses: 1xx to 5xx, and class 0 for
// requests that their client has cancelled.
const statusClasses = 6

// statusClass returns the status label of a request. Status 0 stands for a request that
// its client has cancelled.
func statusClass(status int) string {
	if status == 0 {
		return "cancelled"
	}
	return strconv.Itoa(status/100) + "xx"
}

func (m *metrics) recordCall(o callOutcome, took time.Duration) {
	if option := m.statusOptions[statusClass(o.status)]; option != nil {
		m.callDuration.Record(context.Background(), took.Seconds(), option)
	}
}

func (m *metrics) recordGate(result proxy.GateResult, took time.Duration) {
	m.gateDuration.Record(context.Background(), took.Seconds(), m.resultOptions[result])
}

// handler serves GET /metrics in the Prometheus text format.
func (m *metrics) handler() fasthttp.RequestHandler {
	return fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
}

// counterSpec describes a metric that exports one of the reducer's counters.
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
	{"chicory.gate.rejected.cold", "{call}", "Requests that the gate refused because its instance is cold.", func(c *proxy.Counters) uint64 { return c.WarmUpRefused }},
	{"chicory.instance.warm_up_probes", "{probe}", "Health probes that asked whether the instance is cold.", func(c *proxy.Counters) uint64 { return c.WarmUpProbes }},
	{"chicory.hosts.failed", "{failure}", "Times that another host was found unreachable.", func(c *proxy.Counters) uint64 { return c.HostFailures }},
	{"chicory.config.changes", "{version}", "Configuration versions applied.", func(c *proxy.Counters) uint64 { return c.ConfigApplied }},
	{"chicory.heartbeats", "{heartbeat}", "Heartbeats of the instance.", func(c *proxy.Counters) uint64 { return c.HeartbeatsAccepted }},
	{"chicory.heartbeats.ignored", "{heartbeat}", "Heartbeats that were late or named no instance of the host.", func(c *proxy.Counters) uint64 { return c.HeartbeatsIgnored }},
	{"chicory.keys.unknown", "{call}", "Requests refused because no tenant holds their key.", func(c *proxy.Counters) uint64 { return c.UnknownKeys }},
	{"chicory.evacuation.changes", "{change}", "Begins and ends of evacuations that the node has learned of.", func(c *proxy.Counters) uint64 { return c.Evacuations }},
	{"chicory.quota.admitted", "{call}", "Requests of tenants with a quota that a share admitted.", func(c *proxy.Counters) uint64 { return c.Quota.Admitted }},
	{"chicory.quota.admitted_by_floor", "{call}", "Requests of tenants with a quota that were admitted without a share.", func(c *proxy.Counters) uint64 { return c.Quota.AdmittedByFloor }},
	{"chicory.quota.refused", "{call}", "Requests refused with 429 because their tenant exceeds its quota.", func(c *proxy.Counters) uint64 { return c.Quota.Refused }},
	{"chicory.quota.no_share", "{call}", "Requests refused with 503 because no share came in time.", func(c *proxy.Counters) uint64 { return c.Quota.NoShare }},
	{"chicory.quota.waited", "{call}", "Requests that waited for a share.", func(c *proxy.Counters) uint64 { return c.Quota.Waited }},
	{"chicory.quota.refunds", "{call}", "Admitted requests that ended without having run.", func(c *proxy.Counters) uint64 { return c.Quota.Refunds }},
	{"chicory.quota.reports", "{report}", "Reports of demand and shares made by this node.", func(c *proxy.Counters) uint64 { return c.Quota.ReportsSent }},
	{"chicory.quota.reports.handled", "{report}", "Reports that this node handled as the coordinator.", func(c *proxy.Counters) uint64 { return c.Quota.ReportsHandled }},
	{"chicory.quota.grants", "{grant}", "Answers of the coordinator that this node applied.", func(c *proxy.Counters) uint64 { return c.Quota.Grants }},
	{"chicory.quota.terms", "{term}", "Terms that this node has begun as the coordinator.", func(c *proxy.Counters) uint64 { return c.Quota.Terms }},
	{"chicory.rollout.writes", "{row}", "Rows of roll-outs written by this node.", func(c *proxy.Counters) uint64 { return c.RolloutWrites }},
}

// gaugeSpec describes a metric that exports a value of the reducer's state.
type gaugeSpec struct {
	name, help string
	value      func(r *proxy.Node, now mesh.Time) int64
}

var gaugeSpecs = [...]gaugeSpec{
	{"chicory.config.version", "Configuration version in force.", func(r *proxy.Node, _ mesh.Time) int64 {
		if snapshot := r.Config(); snapshot != nil {
			return int64(snapshot.Version)
		}
		return 0
	}},
	{"chicory.evacuations", "Evacuated failure domains.", func(r *proxy.Node, _ mesh.Time) int64 {
		return int64(len(r.Evacuations()))
	}},
	{"chicory.instance.cold", "1 while the gate limits requests to the instance because it may be cold.", func(r *proxy.Node, _ mesh.Time) int64 {
		if r.LimitsWarmUp() {
			return 1
		}
		return 0
	}},
	{"chicory.quota.shares", "Tenants of whose quota this node holds a valid share.", func(r *proxy.Node, now mesh.Time) int64 {
		return int64(r.QuotaStatus(now).Shares)
	}},
	{"chicory.quota.term", "Highest term of a coordinator of the quotas that this node knows.", func(r *proxy.Node, now mesh.Time) int64 {
		return int64(r.QuotaStatus(now).Term)
	}},
	{"chicory.quota.held_term", "Term in which this node is the coordinator of the quotas, 0 if it isn't.", func(r *proxy.Node, _ mesh.Time) int64 {
		return int64(r.HeldQuotaTerm())
	}},
	{"chicory.quota.floor", "1 while this node has requests of limited tenants and no valid share.", func(r *proxy.Node, now mesh.Time) int64 {
		if r.QuotaStatus(now).OnFloor {
			return 1
		}
		return 0
	}},
}

// ioCounterSpec describes a metric that exports a counter kept outside the reducer.
type ioCounterSpec struct {
	name, unit, help string
	value            func(n *Node) int64
}

var ioCounterSpecs = [...]ioCounterSpec{
	{"chicory.log.left_out", "{line}", "Log lines that were left out.", func(n *Node) int64 { return n.log.Dropped() }},
	{"chicory.instance.connections", "{connection}", "Connections opened to the instance.", func(n *Node) int64 { return n.instancePool.Opened() }},
	{"chicory.answers.broken_off", "{answer}", "Large answers that broke off on their way from the gate.", func(n *Node) int64 { return n.ioCounters.brokenOff.Load() }},
	{"chicory.store.reads", "{call}", "Reading calls to the store.", func(n *Node) int64 { return n.ioCounters.storeReads.Load() }},
	{"chicory.store.writes", "{call}", "Writing calls to the store.", func(n *Node) int64 { return n.ioCounters.storeWrites.Load() }},
}

// ioCounters are the counters of the runtime, outside the reducer.
type ioCounters struct {
	brokenOff, storeReads, storeWrites atomic.Int64
}

// registerCounters registers the counters of the reducer and of the runtime. One
// callback reads them all, so that a scrape locks the reducer only once.
func registerCounters(meter metric.Meter, n *Node) error {
	var instruments []metric.Observable
	var counters []metric.Int64Observable
	for _, c := range counterSpecs {
		instrument, err := meter.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", c.name, err)
		}
		counters, instruments = append(counters, instrument), append(instruments, instrument)
	}
	var gauges []metric.Int64Observable
	for _, g := range gaugeSpecs {
		instrument, err := meter.Int64ObservableGauge(g.name, metric.WithDescription(g.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", g.name, err)
		}
		gauges, instruments = append(gauges, instrument), append(instruments, instrument)
	}
	storeEra, err := meter.Int64ObservableGauge("chicory.store.era", metric.WithDescription("Era of the store, which rises when the store goes back to an older state."))
	if err != nil {
		return fmt.Errorf("register metric chicory.store.era: %w", err)
	}
	var ioTotals []metric.Int64Observable
	for _, t := range ioCounterSpecs {
		instrument, err := meter.Int64ObservableCounter(t.name, metric.WithUnit(t.unit), metric.WithDescription(t.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", t.name, err)
		}
		ioTotals, instruments = append(ioTotals, instrument), append(instruments, instrument)
	}
	shed, err := meter.Int64ObservableCounter("chicory.clients.shed", metric.WithUnit("{event}"),
		metric.WithDescription("Connections closed and requests refused because of the limits for clients."))
	if err != nil {
		return fmt.Errorf("register metric chicory.clients.shed: %w", err)
	}
	instruments = append(instruments, shed)
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		var c proxy.Counters
		var values [len(gaugeSpecs)]int64
		n.inspect(func(r *proxy.Node) {
			c = r.Counters()
			for i, spec := range gaugeSpecs {
				values[i] = spec.value(r, n.now())
			}
		})
		for i, spec := range counterSpecs {
			o.ObserveInt64(counters[i], int64(spec.value(&c)))
		}
		for i, v := range values {
			o.ObserveInt64(gauges[i], v)
		}
		o.ObserveInt64(storeEra, int64(max(n.replicas[TableOperator].completeRevision(), n.replicas[TableShared].completeRevision()).Era()))
		for i, spec := range ioCounterSpecs {
			o.ObserveInt64(ioTotals[i], spec.value(n))
		}
		for reason, count := range n.guard.Counts() {
			o.ObserveInt64(shed, int64(count), metric.WithAttributes(attribute.String("reason", clientlimit.Reasons[reason])))
		}
		return nil
	}, append(instruments, storeEra)...)
	if err != nil {
		return fmt.Errorf("register the callback that reads the counters: %w", err)
	}
	return nil
}
