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
	// maxPlottedRatio cuts the axis of the ratio to the ideal.
	maxPlottedRatio = 3
	// linePair is the number of arguments that describe one line of a plot.
	linePair = 2
)

// WritePlots writes the plots of the results of one scenario to a folder, as PNG files:
// the distribution of response over ideal; goodput over offered load if there are several
// loads; and the response time of short work for each phase.
func WritePlots(dir string, results []Result) error {
	if len(results) == 0 {
		return nil
	}
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	name := func(kind string) string {
		return filepath.Join(dir, results[0].Scenario+"-"+kind+".png")
	}
	if err := plotRatios(name("ratio"), results); err != nil {
		return err
	}
	if len(results[0].Phases) == 1 {
		return nil
	}
	if err := plotGoodput(name("goodput"), results); err != nil {
		return err
	}
	return plotResponses(name("response"), results)
}

func plotRatios(file string, results []Result) error {
	p := plot.New()
	p.Title.Text = "Short work: response time over the ideal"
	p.X.Label.Text = "response time over ideal"
	p.Y.Label.Text = "share of jobs"
	p.X.Min, p.X.Max = 1, maxPlottedRatio
	lines := make([]any, 0, linePair*len(results))
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
	lines := make([]any, 0, linePair*len(results))
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

// curve returns the distribution function of the short work of a phase.
func curve(p *PhaseResult, value func(quantile float64) float64) plotter.XYs {
	if p.Response.TotalCount() == 0 {
		return nil
	}
	const steps, whole = 1000, 100.0
	points := make(plotter.XYs, 0, steps)
	for i := 1; i <= steps; i++ {
		q := whole * float64(i) / steps
		points = append(points, plotter.XY{X: value(q), Y: q / whole})
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
