package soak

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/chicoryscale/chicoryscale/internal/logmerge"
)

// Size of the plot.
const (
	plotWidth  = 12 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// Colours of the plotted outcomes and of the bands that mark faults.
var (
	answeredColor = color.RGBA{R: 44, G: 160, B: 44, A: 255}
	refusedColor  = color.RGBA{R: 255, G: 127, B: 14, A: 255}
	failedColor   = color.RGBA{R: 214, G: 39, B: 40, A: 255}
	faultColor    = color.RGBA{R: 120, G: 120, B: 200, A: 50}
)

var reportTemplate = template.Must(template.New("soak").Parse(`<!doctype html>
<meta charset="utf-8"><title>Soak, seed {{.Summary.Seed}}</title>
<style>body{font:14px sans-serif;margin:2em} td,th{padding:2px 10px;text-align:left} svg{max-width:100%}</style>
<h1>Soak, seed {{.Summary.Seed}}</h1>
<p>{{.Summary.Requests}} requests, {{.Summary.Answered}} answered, {{.Summary.Wrong}} wrong, {{.Summary.RanTwice}} ran twice,
{{.Summary.FalseRefusals}} false refusals, {{.Summary.Lost}} lost.</p>
{{if .Summary.Broken}}<h2>Broken promises</h2><ul>{{range .Summary.Broken}}<li>{{.}}{{end}}</ul>{{end}}
{{.Plot}}
<h2>Faults and planned changes</h2>
<table><tr><th>s<th>for s<th>kind<th>host{{range .Events}}<tr><td>{{printf "%.1f" .At.Seconds}}<td>{{printf "%.1f" .For.Seconds}}<td>{{.Kind}}<td>{{.Host}}{{end}}</table>
`))

// writeReport writes a run's HTML report and the merged timeline of its processes'
// logs to dir. offset is the time from the start of the counts to the start of the
// schedule.
func writeReport(dir string, l *ledger, events []Event, offset time.Duration) error {
	svg, err := drawOutcomes(l.countsBySecond, events, offset)
	if err != nil {
		return err
	}
	var html bytes.Buffer
	err = reportTemplate.Execute(&html, struct {
		Summary Summary
		Events  []Event
		Plot    template.HTML
	}{l.summary, events, template.HTML(svg)}) // trusted: the SVG is generated from numbers only
	if err != nil {
		return fmt.Errorf("render the HTML report: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "report.html"), html.Bytes(), 0o600); err != nil {
		return err
	}
	return mergeLogs(dir)
}

// drawOutcomes returns an SVG plot of the request outcomes per second, over bands
// that mark the faults. offset is the time from the start of the counts to the
// start of the schedule.
func drawOutcomes(seconds []outcomeCounts, events []Event, offset time.Duration) (string, error) {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "s", "requests per second"
	p.Legend.Top = true
	maxRate := 1.0
	for _, s := range seconds {
		maxRate = max(maxRate, float64(s.answered+s.refused+s.failed))
	}
	for _, e := range events {
		start, end := (offset + e.At).Seconds(), (offset + e.At + max(e.For, 100*time.Millisecond)).Seconds()
		band, err := plotter.NewPolygon(plotter.XYs{{X: start}, {X: start, Y: maxRate}, {X: end, Y: maxRate}, {X: end}})
		if err != nil {
			return "", fmt.Errorf("draw the band of a fault: %w", err)
		}
		band.Color, band.LineStyle.Width = faultColor, 0
		p.Add(band)
	}
	for _, series := range []struct {
		name  string
		color color.Color
		value func(o outcomeCounts) int
	}{
		{"answered", answeredColor, func(o outcomeCounts) int { return o.answered }},
		{"refused", refusedColor, func(o outcomeCounts) int { return o.refused }},
		{"failed", failedColor, func(o outcomeCounts) int { return o.failed }},
	} {
		points := make(plotter.XYs, len(seconds))
		for i, s := range seconds {
			points[i] = plotter.XY{X: float64(i), Y: float64(series.value(s))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("draw the line of %s requests: %w", series.name, err)
		}
		line.Color = series.color
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	writer, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("render the plot as SVG: %w", err)
	}
	var rendered bytes.Buffer
	if _, err := writer.WriteTo(&rendered); err != nil {
		return "", err
	}
	_, svg, found := bytes.Cut(rendered.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("plot output contains no <svg element")
	}
	return "<svg" + string(svg), nil
}

// mergeLogs merges the log lines of all processes into timeline.log, ordered by
// time.
func mergeLogs(dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "host-*.log"))
	if err != nil {
		return err
	}
	var logs []io.Reader
	for _, name := range names {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		defer func() { _ = f.Close() }() // opened for reading only
		logs = append(logs, f)
	}
	out, err := os.Create(filepath.Join(dir, "timeline.log"))
	if err != nil {
		return err
	}
	if _, err := logmerge.Merge(out, logmerge.Filter{}, logs...); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
