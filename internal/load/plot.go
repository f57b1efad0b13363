package load

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the plot in inches.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var plotPercentiles = [...]float64{1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9}

// tail is the horizontal place of a percentile. Each further nine takes the
// same width, since the targets concern the slowest calls.
func tail(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

var plotTicks = plot.ConstantTicks{
	{Value: tail(0), Label: "0"}, {Value: tail(50), Label: "50"}, {Value: tail(90), Label: "90"},
	{Value: tail(99), Label: "99"}, {Value: tail(99.9), Label: "99.9"},
}

var plotColors = [...]color.RGBA{
	{R: 31, G: 119, B: 180, A: 255}, {R: 214, G: 39, B: 40, A: 255},
	{R: 44, G: 160, B: 44, A: 255}, {R: 148, G: 103, B: 189, A: 255},
}

// WriteSVG draws the latency of answered calls by percentile, one line per kind
// of request and path. Direct calls are dashed.
func (r *Report) WriteSVG(w io.Writer) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Latency at %g calls/s", r.Rate)
	p.X.Label.Text = "percentile"
	p.X.Tick.Marker = plotTicks
	p.Y.Label.Text = "latency (ms)"
	p.Legend.Top, p.Legend.Left = true, true
	if err := addSeries(p, r.Nodes, "via nodes", false); err != nil {
		return err
	}
	if err := addSeries(p, r.Direct, "direct", true); err != nil {
		return err
	}
	out, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return fmt.Errorf("draw the plot: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

func addSeries(p *plot.Plot, all []*Series, path string, dashed bool) error {
	for i, s := range all {
		if s.histogram.TotalCount() == 0 {
			continue
		}
		points := make(plotter.XYs, len(plotPercentiles))
		for j, percentile := range plotPercentiles {
			points[j] = plotter.XY{X: tail(percentile), Y: millis(s.histogram, percentile)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("draw request %q: %w", s.Request, err)
		}
		line.Color = plotColors[i%len(plotColors)]
		if dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(line)
		p.Legend.Add(s.Request+" "+path, line)
	}
	return nil
}
