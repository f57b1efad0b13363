package sidecar

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/chicoryscale/chicoryscale/internal/mesh"
	"github.com/chicoryscale/chicoryscale/internal/proxy"
	"github.com/chicoryscale/chicoryscale/internal/workcost"
)

// errorBounds are the bucket boundaries of the ratio of measured to predicted durations.
var errorBounds = []float64{0.125, 0.25, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 4, 8}

// workMetrics holds the instruments for the predicted work of requests.
type workMetrics struct {
	predicted metric.Float64Histogram // predicted durations
	ratio     metric.Float64Histogram // measured durations divided by the predicted ones
	refused   metric.Float64Histogram // time left to the deadline of refused requests
}

func newWorkMetrics(meter metric.Meter, n *Node) (*workMetrics, error) {
	m := &workMetrics{}
	for _, h := range []struct {
		instrument       *metric.Float64Histogram
		name, unit, help string
		bounds           []float64
	}{
		{&m.predicted, "chicory.work.predicted", "s", "Predicted time that the instance takes for a request.", latencyBounds},
		{&m.ratio, "chicory.work.ratio", "1", "Time that the instance took for a request, divided by the predicted time.", errorBounds},
		{&m.refused, "chicory.gate.refused", "s", "Time left to the deadline of requests that the gate refused, by reason.", latencyBounds},
	} {
		var err error
		*h.instrument, err = meter.Float64Histogram(h.name, metric.WithUnit(h.unit), metric.WithDescription(h.help), metric.WithExplicitBucketBoundaries(h.bounds...))
		if err != nil {
			return nil, fmt.Errorf("register metric %s: %w", h.name, err)
		}
	}
	return m, registerWorkGauges(meter, n)
}

// registerWorkGauges registers the gauges of the gate's predicted work and of what the
// features of requests explain.
func registerWorkGauges(meter metric.Meter, n *Node) error {
	backlog, err1 := meter.Float64ObservableGauge("chicory.gate.backlog", metric.WithUnit("s"),
		metric.WithDescription("Predicted remaining time of the requests at the gate, divided by the slots."))
	startsIn, err2 := meter.Float64ObservableGauge("chicory.gate.starts_in", metric.WithUnit("s"),
		metric.WithDescription("Expected time until a request that arrives now starts."))
	explained, err3 := meter.Float64ObservableGauge("chicory.work.explained", metric.WithUnit("1"),
		metric.WithDescription("Share of the variance of a route's work that a feature of its requests explains."))
	for _, err := range []error{err1, err2, err3} {
		if err != nil {
			return fmt.Errorf("register the gauges of predicted work: %w", err)
		}
	}
	_, err := meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		n.inspect(func(r *proxy.Node) {
			remaining, wait, ok := r.LocalBacklog(n.now())
			if !ok {
				return
			}
			o.ObserveFloat64(startsIn, wait.Seconds())
			o.ObserveFloat64(backlog, remaining.Seconds())
			if r.Config() == nil {
				return
			}
			for i := range r.Config().Routes {
				observeExplained(o, explained, r, r.Config().Routes[i].Name)
			}
		})
		return nil
	}, backlog, startsIn, explained)
	if err != nil {
		return fmt.Errorf("register the callback that reads the predicted work: %w", err)
	}
	return nil
}

// observeExplained observes what each feature explains of a route's work. It observes
// nothing for a route without samples.
func observeExplained(o metric.Observer, gauge metric.Float64Observable, r *proxy.Node, route mesh.Route) {
	alone, all := r.ExplainedWork(route)
	if all == 0 {
		return
	}
	observe := func(feature string, share float64) {
		o.ObserveFloat64(gauge, share, metric.WithAttributes(attribute.String("route", string(route)), attribute.String("feature", feature)))
	}
	for i, share := range alone {
		observe(workcost.Feature(i).String(), share)
	}
	observe("all", all)
}

// recordRun records a successful run with its prediction.
func (m *workMetrics) recordRun(predicted time.Duration, a *gateAnswer) {
	if predicted <= 0 || a.outcome != mesh.Answered || a.failed() {
		return
	}
	m.predicted.Record(context.Background(), predicted.Seconds())
	m.ratio.Record(context.Background(), float64(a.duration)/float64(predicted))
}

// recordRefusal records a request that the gate refused with the time it had left.
func (m *workMetrics) recordRefusal(reason mesh.Reason, left time.Duration) {
	m.refused.Record(context.Background(), max(left, 0).Seconds(), metric.WithAttributes(attribute.String("reason", reason.String())))
}
