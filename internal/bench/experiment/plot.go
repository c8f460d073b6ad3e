package experiment

import (
	"image/color"
	"path/filepath"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"comfreyworks/internal/bench/load"
	"comfreyworks/internal/bench/report"
)

// The size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// hitRateInterval is the time interval that one point of the hit rate plot covers.
const hitRateInterval = time.Second

// plottedQuantiles are the quantiles of the time to first token that are plotted.
var plottedQuantiles = []float64{0.5, 0.75, 0.9, 0.95, 0.99, 1}

// WritePlots writes the plots ttft and hit-rate to a directory, each as SVG and
// PNG.
func WritePlots(dir string, results []Result, policies []Policy) error {
	ttft := newPlot("Time to first token", "percentile", "seconds")
	hits := newPlot("Prefix hit rate over time", "seconds", "share of prompt tokens")
	hits.Y.Min, hits.Y.Max = 0, 1
	for i, policy := range policies {
		samples := completeSamples(results, policy)
		if err := addLine(ttft, i, string(policy), ttftPoints(samples)); err != nil {
			return &Error{Op: "plot", Kind: KindSetUp, Err: err}
		}
		if err := addLine(hits, i, string(policy), hitRatePoints(samples)); err != nil {
			return &Error{Op: "plot", Kind: KindSetUp, Err: err}
		}
	}
	if err := savePlot(ttft, dir, "ttft"); err != nil {
		return err
	}
	return savePlot(hits, dir, "hit-rate")
}

// savePlot writes a plot as SVG and PNG.
func savePlot(p *plot.Plot, dir, name string) error {
	for _, extension := range []string{".svg", ".png"} {
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, name+extension)); err != nil {
			return &Error{Op: "plot", Kind: KindSetUp, Err: err}
		}
	}
	return nil
}

func newPlot(title, x, y string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = x
	p.Y.Label.Text = y
	p.Legend.Top = true
	p.Legend.Left = true
	p.BackgroundColor = color.White
	return p
}

func addLine(p *plot.Plot, i int, name string, points plotter.XYs) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = plotutil.Color(i)
	line.Dashes = plotutil.Dashes(i)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}

// completeSamples returns the samples of the streams of a policy that completed.
func completeSamples(results []Result, policy Policy) []load.Sample {
	var samples []load.Sample
	for _, result := range results {
		if result.Policy == policy {
			samples = append(samples, result.Samples...)
		}
	}
	return slices.DeleteFunc(samples, func(s load.Sample) bool {
		return s.Line.IsCall() || s.Outcome != load.OutcomeComplete
	})
}

func ttftPoints(samples []load.Sample) plotter.XYs {
	var ttft []time.Duration
	for _, sample := range samples {
		ttft = append(ttft, sample.TTFT)
	}
	var points plotter.XYs
	for _, p := range plottedQuantiles {
		points = append(points, plotter.XY{X: 100 * p, Y: report.Quantile(ttft, p).Seconds()})
	}
	return points
}

func hitRatePoints(samples []load.Sample) plotter.XYs {
	prompt := make(map[int]int)
	cached := make(map[int]int)
	last := 0
	for _, sample := range samples {
		step := int(sample.Start / hitRateInterval)
		prompt[step] += sample.PromptTokens
		cached[step] += sample.CachedTokens
		last = max(last, step)
	}
	var points plotter.XYs
	for step := range last + 1 {
		if prompt[step] > 0 {
			points = append(points, plotter.XY{
				X: float64(step) * hitRateInterval.Seconds(),
				Y: float64(cached[step]) / float64(prompt[step]),
			})
		}
	}
	return points
}
