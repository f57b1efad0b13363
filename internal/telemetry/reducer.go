package telemetry

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/metric"

	"github.com/chicoryscale/chicoryscale/internal/core"
	"github.com/chicoryscale/chicoryscale/internal/mesh"
)

// ReducerState is the state of a node's reducer that is exported at a scrape.
type ReducerState struct {
	Counters core.Counters
	// Applied is the configuration version in force, zero for none.
	Applied mesh.ConfigVersion
}

// reducerCounter describes one of the reducer's counters.
type reducerCounter struct {
	name, unit, help string
	value            func(c *core.Counters) uint64
}

var reducerCounters = [...]reducerCounter{
	{"chicory.retries", "{attempt}", "Attempts after the first one.", func(c *core.Counters) uint64 { return c.Retries }},
	{"chicory.late.answers", "{answer}", "Results of attempts that were no longer awaited.", func(c *core.Counters) uint64 { return c.LateAnswers }},
	{"chicory.relayed", "{call}", "Calls passed to another node.", func(c *core.Counters) uint64 { return c.Relayed }},
	{"chicory.gate.rejected", "{call}", "Calls rejected by the gate.", func(c *core.Counters) uint64 { return c.GateRejected }},
	{"chicory.backend.crashes", "{crash}", "Crashes of backend servers of this host.", func(c *core.Counters) uint64 { return c.Crashes }},
	{"chicory.ejections", "{ejection}", "Instances taken out of routing.", func(c *core.Counters) uint64 { return c.Ejections }},
	{"chicory.claims.asked", "{claim}", "Claims of request identities.", func(c *core.Counters) uint64 { return c.ClaimsAsked }},
	{"chicory.claims.granted", "{claim}", "Claims that were granted.", func(c *core.Counters) uint64 { return c.ClaimsGranted }},
	{"chicory.bad.messages", "{message}", "Messages that the reducer refused as malformed.", func(c *core.Counters) uint64 { return c.BadMessages }},
}

// registerReducer registers the reducer's counters and its applied version. One
// callback reads them together, so that a scrape blocks the reducer only once.
func registerReducer(meter metric.Meter, read func() ReducerState) error {
	instruments := make([]metric.Observable, 0, len(reducerCounters)+1)
	counters := make([]metric.Int64Observable, 0, len(reducerCounters))
	for _, c := range reducerCounters {
		counter, err := meter.Int64ObservableCounter(c.name, metric.WithUnit(c.unit), metric.WithDescription(c.help))
		if err != nil {
			return fmt.Errorf("register metric %s: %w", c.name, err)
		}
		counters, instruments = append(counters, counter), append(instruments, counter)
	}
	applied, err := meter.Int64ObservableGauge("chicory.config.applied", metric.WithDescription("Configuration version in force."))
	if err != nil {
		return fmt.Errorf("register metric chicory.config.applied: %w", err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, o metric.Observer) error {
		state := read()
		for i, c := range reducerCounters {
			o.ObserveInt64(counters[i], int64(c.value(&state.Counters)))
		}
		o.ObserveInt64(applied, int64(state.Applied))
		return nil
	}, append(instruments, applied)...)
	if err != nil {
		return fmt.Errorf("register the reducer's metrics: %w", err)
	}
	return nil
}
