package generator

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	// maxPlottedRatio is the end of the axis of the ratio to the ideal; larger ratios are drawn
	// there.
	maxPlottedRatio = 3
	// argsPerLine is the number of arguments that describe one line of a plot.
	argsPerLine = 2
)

// WritePlots writes plots of the results of one scenario to the folder dir, as PNG files. It plots
// the distribution of the response time over the ideal and, if the scenario has several phases,
// the goodput over the offered load and the response time of short work in each phase. It
// creates the folder if needed.
func WritePlots(dir string, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	file := func(kind string) string {
		return filepath.Join(dir, results[0].Scenario+"-"+kind+".png")
	}
	if err := plotRatios(file("ratio"), results); err != nil {
		return err
	}
	if len(results[0].Phases) == 1 {
		return nil
	}
	if err := plotGoodput(file("goodput"), results); err != nil {
		return err
	}
	return plotResponses(file("response"), results)
}

func plotRatios(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Short work: response time over the ideal"
	p.X.Label.Text = "response time over ideal"
	p.Y.Label.Text = "share of jobs"
	p.X.Min, p.X.Max = 1, maxPlottedRatio
	lines := make([]any, 0, argsPerLine*len(results))
	for i := range results {
		last := &results[i].Phases[len(results[i].Phases)-1]
		lines = append(lines, string(results[i].Policy), curve(last, func(q float64) float64 {
			return min(last.ratio(q), maxPlottedRatio)
		}))
	}
	return save(p, file, lines)
}

func plotGoodput(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Goodput against offered load"
	p.X.Label.Text = "offered load over capacity"
	p.Y.Label.Text = "goodput over capacity"
	p.Y.Min = 0
	lines := make([]any, 0, argsPerLine*len(results))
	for i := range results {
		points := make(plotter.XYs, 0, len(results[i].Phases))
		for n := range results[i].Phases {
			phase := &results[i].Phases[n]
			points = append(points, plotter.XY{X: phase.Offered, Y: phase.Goodput})
		}
		lines = append(lines, string(results[i].Policy), points)
	}
	return save(p, file, lines)
}

func plotResponses(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Short work: response time in each phase"
	p.X.Label.Text = "response time in ms"
	p.Y.Label.Text = "share of jobs"
	var lines []any
	for i := range results {
		for n := range results[i].Phases {
			phase := &results[i].Phases[n]
			lines = append(lines, fmt.Sprintf("%s, %s", results[i].Policy, phase.Name), curve(phase, func(q float64) float64 {
				return float64(phase.response(q)) / float64(time.Millisecond)
			}))
		}
	}
	return save(p, file, lines)
}

// curve returns the cumulative distribution of a value over the short jobs of a phase. The
// function value returns the value at a percentile. The curve is nil if there are no short jobs.
func curve(p *PhaseResult, value func(quantile float64) float64) plotter.XYs {
	if p.Response.TotalCount() == 0 {
		return nil
	}
	const steps, percent = 1000, 100.0
	points := make(plotter.XYs, 0, steps)
	for i := 1; i <= steps; i++ {
		quantile := percent * float64(i) / steps
		points = append(points, plotter.XY{X: value(quantile), Y: quantile / percent})
	}
	return points
}

func save(p *plot.Plot, file string, lines []any) error {
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	p.Legend.Top = false
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot %s: %w", file, err)
	}
	return nil
}
