package lab

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// The layout of a plot.
const (
	plotWidth        = 9 * vg.Inch
	plotHeight       = 5 * vg.Inch
	legendLineHeight = 0.07 // height of a line of the legend, in units of the y axis
)

// Plot draws the value of the answers of each kind, as a fraction of the value of all its
// requests, over their second of arrival. Each kind of each report has a line. The
// extension of path determines the format: .svg, .png or .pdf. Plot fails with
// BadSetting if the reports are not comparable.
func Plot(path string, reports ...*Result) error {
	p := plot.New()
	p.Title.Text = "worth by kind over time"
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "part of what was asked"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := len(reports) * len(reports[0].Load.Kinds)
	p.Y.Max = 1 + legendLineHeight*float64(lines) // leaves room for the legend above the curves
	for n, r := range reports {
		if err := checkComparable(reports[0], r); err != nil {
			return err
		}
		for i, k := range r.Load.Kinds {
			line, err := plotter.NewLine(points(r.Seconds[i]))
			if err != nil {
				return failure.Wrap(failure.BadSetting, err, "plot %s", k.Name)
			}
			line.Color = plotutil.Color(i)
			line.Dashes = plotutil.Dashes(n)
			p.Add(line)
			p.Legend.Add(r.Label+": "+k.Name, line)
		}
	}
	return failure.Wrap(failure.BadSetting, p.Save(plotWidth, plotHeight, path), "write the plot")
}

// points returns the value of the answers for each second in which requests arrived.
func points(seconds []*Tally) plotter.XYs {
	var xy plotter.XYs
	for s, t := range seconds {
		if t.total() > 0 {
			xy = append(xy, plotter.XY{X: float64(s), Y: t.worth()})
		}
	}
	return xy
}
