package load

import (
	"path/filepath"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plot draws, for each stream, the first token's 95th percentile over time, one
// line for each policy.
func (r *Result) plot(dir string) error {
	if len(r.Policies) == 0 {
		return nil
	}
	for i, s := range r.Policies[0].Streams {
		p := plot.New()
		p.Title.Text = r.Scenario + ": " + s.Stream
		p.X.Label.Text = "second of the run"
		p.Y.Label.Text = "first token, p95 (ms)"
		var lines []any
		for _, policy := range r.Policies {
			lines = append(lines, policy.Policy, plotPoints(policy.Streams[i].FirstP95BySecond))
		}
		if err := plotutil.AddLinePoints(p, lines...); err != nil {
			return ErrScenario.Wrap(err, "plot %s", s.Stream)
		}
		if err := p.Save(plotWidth, plotHeight, filepath.Join(dir, "first-"+s.Stream+".svg")); err != nil {
			return ErrScenario.Wrap(err, "save plot of %s", s.Stream)
		}
	}
	return nil
}

func plotPoints(bySecond map[int]float64) plotter.XYs {
	seconds := make([]int, 0, len(bySecond))
	for second := range bySecond {
		seconds = append(seconds, second)
	}
	slices.Sort(seconds)
	xys := make(plotter.XYs, 0, len(seconds))
	for _, second := range seconds {
		xys = append(xys, plotter.XY{X: float64(second), Y: bySecond[second]})
	}
	return xys
}
