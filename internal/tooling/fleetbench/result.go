package main

import (
	"math"
	"slices"
)

// spread is the median and the range of a quantity over the nodes of a size.
type spread struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func spreadOf(values []float64) spread {
	if len(values) == 0 {
		return spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := sorted[len(sorted)/2]
	if len(sorted)%2 == 0 {
		middle = (middle + sorted[len(sorted)/2-1]) / 2
	}
	return spread{round(middle), round(sorted[0]), round(sorted[len(sorted)-1])}
}

// result is the measurement of one size in one run.
type result struct {
	Nodes   int `json:"nodes"`
	Domains int `json:"failure_domains"`
	Run     int `json:"run"`
	// MachineLoad is the load average of the last minute before the start.
	MachineLoad float64 `json:"machine_load_before"`
	// ResidentMB, CorePercent and Connections are per node over the window.
	// Connections are established TCP connections, of both directions.
	ResidentMB  spread `json:"resident_mb"`
	CorePercent spread `json:"core_percent"`
	Connections spread `json:"connections"`
	// SentBytes and ReceivedBytes are control bytes per second and node.
	SentBytes     spread `json:"control_sent_bytes_per_s"`
	ReceivedBytes spread `json:"control_received_bytes_per_s"`
	// InForceMillis is the time from the start of `config apply` to the last
	// node in force, over the changes.
	InForceMillis spread `json:"in_force_ms"`
	// SteadyReads and SteadyWrites are platform operations per second over the
	// window.
	SteadyReads  float64 `json:"platform_reads_per_s"`
	SteadyWrites float64 `json:"platform_writes_per_s"`
	Restart      restart `json:"restart"`
}

// restart is the return of all nodes after they were killed at the same time.
type restart struct {
	// PeakReads and PeakWrites are the platform operations in the busiest
	// second.
	PeakReads  float64 `json:"platform_reads_per_s_peak"`
	PeakWrites float64 `json:"platform_writes_per_s_peak"`
	// AppliedMillis is the time from the start of the first process until every
	// node has the configuration in force again, ServiceMillis the time until
	// every node also knows all others as alive and all backend servers.
	AppliedMillis float64 `json:"applied_ms"`
	ServiceMillis float64 `json:"full_service_ms"`
}

// fit is the least-squares line of a quantity over the number of nodes.
type fit struct {
	Quantity  string  `json:"quantity"`
	Slope     float64 `json:"slope_per_node"`
	Intercept float64 `json:"intercept"`
	// Determination is R²: the share of the variance that the line explains.
	Determination float64 `json:"r_squared"`
}

// quantity is a measured value of a result.
type quantity struct {
	name string
	of   func(*result) float64
}

var quantities = [...]quantity{
	{"resident_mb", func(r *result) float64 { return r.ResidentMB.Median }},
	{"core_percent", func(r *result) float64 { return r.CorePercent.Median }},
	{"core_percent_max", func(r *result) float64 { return r.CorePercent.Max }},
	{"connections", func(r *result) float64 { return r.Connections.Median }},
	{"connections_max", func(r *result) float64 { return r.Connections.Max }},
	{"control_sent_bytes_per_s", func(r *result) float64 { return r.SentBytes.Median }},
	{"control_sent_bytes_per_s_max", func(r *result) float64 { return r.SentBytes.Max }},
	{"control_received_bytes_per_s", func(r *result) float64 { return r.ReceivedBytes.Median }},
	{"in_force_ms", func(r *result) float64 { return r.InForceMillis.Median }},
	{"platform_reads_per_s", func(r *result) float64 { return r.SteadyReads }},
	{"platform_writes_per_s", func(r *result) float64 { return r.SteadyWrites }},
	{"restart_platform_reads_per_s_peak", func(r *result) float64 { return r.Restart.PeakReads }},
	{"restart_platform_writes_per_s_peak", func(r *result) float64 { return r.Restart.PeakWrites }},
	{"restart_full_service_ms", func(r *result) float64 { return r.Restart.ServiceMillis }},
}

func fitAll(results []*result) []fit {
	var fits []fit
	for _, q := range quantities {
		xs, ys := make([]float64, len(results)), make([]float64, len(results))
		for i, r := range results {
			xs[i], ys[i] = float64(r.Nodes), q.of(r)
		}
		line := fitLine(xs, ys)
		line.Quantity = q.name
		fits = append(fits, line)
	}
	return fits
}

// fitLine returns the least-squares line through the points. With a single
// value of x the slope is zero and the intercept is the mean.
func fitLine(xs, ys []float64) fit {
	n := float64(len(xs))
	var mx, my float64
	for i := range xs {
		mx, my = mx+xs[i]/n, my+ys[i]/n
	}
	var xx, xy, yy float64
	for i := range xs {
		dx, dy := xs[i]-mx, ys[i]-my
		xx, xy, yy = xx+dx*dx, xy+dx*dy, yy+dy*dy
	}
	if xx == 0 {
		return fit{Intercept: my}
	}
	line := fit{Slope: xy / xx, Intercept: my - xy/xx*mx}
	if yy > 0 {
		line.Determination = xy * xy / (xx * yy)
	}
	return line
}

func round(v float64) float64 { return math.Round(v*100) / 100 }
