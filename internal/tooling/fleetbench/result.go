package main

import (
	"math"
	"slices"
)

// summary is the median and the range of a quantity, over the nodes or over the
// configuration changes of a run.
type summary struct {
	Median float64 `json:"median"`
	Min    float64 `json:"min"`
	Max    float64 `json:"max"`
}

func summarize(values []float64) summary {
	if len(values) == 0 {
		return summary{}
	}
	sorted := slices.Sorted(slices.Values(values))
	middle := sorted[len(sorted)/2]
	if len(sorted)%2 == 0 {
		middle = (middle + sorted[len(sorted)/2-1]) / 2
	}
	return summary{round(middle), round(sorted[0]), round(sorted[len(sorted)-1])}
}

// result holds the measurements of one fleet size in one run.
type result struct {
	Nodes   int `json:"nodes"`
	Domains int `json:"failure_domains"`
	Run     int `json:"run"`
	// MachineLoad is the load average of the last minute before the start.
	MachineLoad float64 `json:"machine_load_before"`
	// ResidentMB (in MiB, at the end of the window), CorePercent (of one core,
	// over the window) and Connections are per node. Connections are established
	// TCP connections, incoming and outgoing.
	ResidentMB  summary `json:"resident_mb"`
	CorePercent summary `json:"core_percent"`
	Connections summary `json:"connections"`
	// SentBytes and ReceivedBytes are control bytes per second and node.
	SentBytes     summary `json:"control_sent_bytes_per_s"`
	ReceivedBytes summary `json:"control_received_bytes_per_s"`
	// InForceMillis is the time from the start of `config apply` until the last
	// node has applied the configuration, over the changes.
	InForceMillis summary `json:"in_force_ms"`
	// SteadyReads and SteadyWrites are platform operations per second over the
	// window.
	SteadyReads  float64       `json:"platform_reads_per_s"`
	SteadyWrites float64       `json:"platform_writes_per_s"`
	Restart      restartResult `json:"restart"`
}

// restartResult holds the measurements of a restart of all nodes after they were
// killed at the same time.
type restartResult struct {
	// PeakReads and PeakWrites are the platform operations in the busiest
	// second.
	PeakReads  float64 `json:"platform_reads_per_s_peak"`
	PeakWrites float64 `json:"platform_writes_per_s_peak"`
	// AppliedMillis is the time from the start of the first process until every
	// node has applied the configuration again, FullServiceMillis the time until
	// every node also lists all others as live, with all backend servers.
	AppliedMillis     float64 `json:"applied_ms"`
	FullServiceMillis float64 `json:"full_service_ms"`
}

// fit is the least-squares line of a quantity over the number of nodes.
type fit struct {
	Quantity  string  `json:"quantity"`
	Slope     float64 `json:"slope_per_node"`
	Intercept float64 `json:"intercept"`
	// RSquared is the coefficient of determination: the share of the variance
	// that the line explains.
	RSquared float64 `json:"r_squared"`
}

// quantity is a measured quantity that is fitted over the number of nodes. value
// returns it from a result.
type quantity struct {
	name  string
	value func(*result) float64
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
	{"restart_full_service_ms", func(r *result) float64 { return r.Restart.FullServiceMillis }},
}

func fitQuantities(results []*result) []fit {
	var fits []fit
	for _, q := range quantities {
		xs, ys := make([]float64, len(results)), make([]float64, len(results))
		for i, r := range results {
			xs[i], ys[i] = float64(r.Nodes), q.value(r)
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
	var meanX, meanY float64
	for i := range xs {
		meanX, meanY = meanX+xs[i]/n, meanY+ys[i]/n
	}
	var sumXX, sumXY, sumYY float64
	for i := range xs {
		dx, dy := xs[i]-meanX, ys[i]-meanY
		sumXX, sumXY, sumYY = sumXX+dx*dx, sumXY+dx*dy, sumYY+dy*dy
	}
	if sumXX == 0 {
		return fit{Intercept: meanY}
	}
	line := fit{Slope: sumXY / sumXX, Intercept: meanY - sumXY/sumXX*meanX}
	if sumYY > 0 {
		line.RSquared = sumXY * sumXY / (sumXX * sumYY)
	}
	return line
}

func round(v float64) float64 { return math.Round(v*100) / 100 }
