package lab

import (
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// The size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 5 * vg.Inch
	legendLine = 0.07 // height of a line of the legend, on the axis
)

// Plot draws the worth of each kind over time, one line for each kind of each
// report. The ending of path chooses the format: .svg, .png or .pdf. It fails
// with BadSetting when the reports are of other work.
func Plot(path string, reports ...*Result) error {
	p := plot.New()
	p.Title.Text = "worth by kind over time"
	p.X.Label.Text = "second of arrival"
	p.Y.Label.Text = "part of what was asked"
	p.Y.Min = 0
	p.Legend.Top = true
	lines := len(reports) * len(reports[0].Load.Kinds)
	p.Y.Max = 1 + legendLine*float64(lines) // the legend's lines lie above the curves
	for n, r := range reports {
		if err := sameWork(reports[0], r); err != nil {
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

// points are the seconds in which something was asked.
func points(seconds []*Tally) plotter.XYs {
	var xy plotter.XYs
	for s, t := range seconds {
		if t.all() > 0 {
			xy = append(xy, plotter.XY{X: float64(s), Y: t.worth()})
		}
	}
	return xy
}
