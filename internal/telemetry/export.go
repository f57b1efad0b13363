package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"

	"github.com/chicoryscale/chicoryscale/internal/connpool"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// maxScrapes bounds the number of scrapes that run at the same time.
const maxScrapes = 2

// gateResultNames holds the values of the label "result", indexed by
// core.GateResult.
var gateResultNames = [...]string{1: "answered", 2: "not-sent", 3: "lost", 4: "shed"}

// Exporter serves the metrics of one node.
type Exporter struct {
	provider *sdkmetric.MeterProvider
	handler  fasthttp.RequestHandler
}

// NewExporter registers the instruments that read m, the counters of the connection
// pools by pool name ("peer", "backend"), and the state of the reducer.
func NewExporter(m *Metrics, pools map[string]*connpool.Counters, reducer func() ReducerState) (*Exporter, error) {
	registry := prometheus.NewRegistry()
	reader, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, fmt.Errorf("create the metrics exporter: %w", err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(reader))
	meter := provider.Meter("chicoryscale")
	if err := registerMetrics(meter, m, pools); err != nil {
		return nil, err
	}
	if err := registerReducer(meter, reducer); err != nil {
		return nil, err
	}
	scrape := promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
	return &Exporter{provider: provider, handler: fasthttpadaptor.NewFastHTTPHandler(metricsRoute(scrape))}, nil
}

// Handler serves GET /metrics in the Prometheus text format.
func (e *Exporter) Handler() fasthttp.RequestHandler { return e.handler }

// Close shuts down the meter provider of the instruments.
func (e *Exporter) Close(ctx context.Context) error { return e.provider.Shutdown(ctx) }

// metricsRoute returns a handler that serves GET /metrics only.
func metricsRoute(next http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", next)
	return mux
}

func registerMetrics(meter metric.Meter, m *Metrics, pools map[string]*connpool.Counters) error {
	for _, c := range unlabeledCounters(m) {
		if err := registerCounter(meter, c.name, c.unit, c.help, func(o metric.Int64Observer) { o.Observe(c.value.Load()) }); err != nil {
			return err
		}
	}
	if err := registerCounter(meter, "chicory.calls", "{call}", "Calls answered to callers.", m.observeCalls); err != nil {
		return err
	}
	if err := registerCounter(meter, "chicory.gate.calls", "{call}", "Calls dispatched to backend servers.", m.observeGate); err != nil {
		return err
	}
	if err := registerCounter(meter, "chicory.control", "By", "Bytes of control connections.", m.observeControl); err != nil {
		return err
	}
	return registerCounter(meter, "chicory.connection.events", "{event}", "Events of pooled connections.", func(o metric.Int64Observer) {
		for name, c := range pools {
			observePool(o, name, c)
		}
	})
}

// registerCounter registers a counter whose values callback reports at a scrape.
func registerCounter(meter metric.Meter, name, unit, help string, callback func(metric.Int64Observer)) error {
	_, err := meter.Int64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(help),
		metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
			callback(o)
			return nil
		}))
	if err != nil {
		return fmt.Errorf("register metric %s: %w", name, err)
	}
	return nil
}

// unlabeledCounter describes a counter without labels.
type unlabeledCounter struct {
	name, unit, help string
	value            *atomic.Int64
}

func unlabeledCounters(m *Metrics) []unlabeledCounter {
	return []unlabeledCounter{
		{"chicory.steps", "{step}", "Steps of the reducer.", &m.Steps},
		{"chicory.panics", "{panic}", "Recovered panics.", &m.Panics},
		{"chicory.bad.requests", "{request}", "Requests refused as malformed or too large.", &m.BadRequests},
		{"chicory.bad.control", "{message}", "Control messages refused as malformed or too large.", &m.BadControl},
		{"chicory.late.effects", "{effect}", "Effects on calls that had already ended.", &m.LateEffects},
		{"chicory.sends.failed", "{envelope}", "Control envelopes that could not be delivered.", &m.SendsFailed},
		{"chicory.platform.requests", "{request}", "Requests to the platform.", &m.PlatformRequests},
		{"chicory.platform.unknown", "{request}", "Platform requests without an answer.", &m.PlatformUnknown},
	}
}

func (m *Metrics) observeCalls(o metric.Int64Observer) {
	for outcome := range m.calls {
		for reason := range m.calls[outcome] {
			if v := m.calls[outcome][reason].Load(); v > 0 {
				o.Observe(v, metric.WithAttributes(
					attribute.String("outcome", mesh.Outcome(outcome).String()),
					attribute.String("reason", mesh.Reason(reason).String())))
			}
		}
	}
}

func (m *Metrics) observeGate(o metric.Int64Observer) {
	for result, name := range gateResultNames {
		if name != "" {
			o.Observe(m.gateResults[result].Load(), metric.WithAttributes(attribute.String("result", name)))
		}
	}
}

func (m *Metrics) observeControl(o metric.Int64Observer) {
	for direction := range directionCount {
		for cause := range causeCount {
			o.Observe(m.ControlBytesTotal(direction, cause), metric.WithAttributes(
				attribute.String("direction", directionNames[direction]), attribute.String("cause", causeNames[cause])))
		}
	}
}

func observePool(o metric.Int64Observer, pool string, c *connpool.Counters) {
	for _, event := range [...]struct {
		name  string
		value *atomic.Int64
	}{
		{"opened", &c.Opened}, {"open-failed", &c.OpenFailed}, {"probe", &c.Probes},
		{"probe-failed", &c.ProbesFailed}, {"silent", &c.Silent}, {"stale", &c.Stale},
	} {
		o.Observe(event.value.Load(), metric.WithAttributes(
			attribute.String("pool", pool), attribute.String("event", event.name)))
	}
}
