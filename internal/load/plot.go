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

// Size of the plot.
const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

var plotPercentiles = [...]float64{1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9}

// tailPosition returns the x coordinate of a percentile. The axis is logarithmic in
// the share of slower calls (90, 99 and 99.9 are equally far apart), because the
// latency targets concern the slowest calls.
func tailPosition(percentile float64) float64 { return -math.Log10(1 - percentile/100) }

var plotTicks = plot.ConstantTicks{
	{Value: tailPosition(0), Label: "0"}, {Value: tailPosition(50), Label: "50"}, {Value: tailPosition(90), Label: "90"},
	{Value: tailPosition(99), Label: "99"}, {Value: tailPosition(99.9), Label: "99.9"},
}

var plotColors = [...]color.RGBA{
	{R: 31, G: 119, B: 180, A: 255}, {R: 214, G: 39, B: 40, A: 255},
	{R: 44, G: 160, B: 44, A: 255}, {R: 148, G: 103, B: 189, A: 255},
}

// WriteSVG writes a plot of the latency of answered calls by percentile. It has a
// line for each kind of request for the calls through nodes, and a dashed one for
// the direct calls.
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
		return fmt.Errorf("render the latency plot as SVG: %w", err)
	}
	_, err = out.WriteTo(w)
	return err
}

func addSeries(p *plot.Plot, series []*Series, path string, dashed bool) error {
	for i, s := range series {
		if s.histogram.TotalCount() == 0 {
			continue
		}
		points := make(plotter.XYs, len(plotPercentiles))
		for j, percentile := range plotPercentiles {
			points[j] = plotter.XY{X: tailPosition(percentile), Y: millis(s.histogram, percentile)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot the latency of request %q: %w", s.Request, err)
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
