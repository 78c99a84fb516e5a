package report

import (
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
	barWidth   = vg.Inch / 16
)

// percentiles are those plotted in a curve of waits.
var percentiles = []float64{1, 5, 10, 25, 50, 75, 90, 95, 99, 99.5, 99.9, 100}

// PlotWaits plots the waits of one class under each scheduler.
func PlotWaits(directory string, l load.Load, class load.Class, rows []Row) error {
	p := plot.New()
	p.Title.Text = l.Name + ": waits of " + string(class)
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "wait in seconds"
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Top, p.Legend.Left = true, true
	var curves []any
	for _, row := range rows {
		var points plotter.XYs
		for _, q := range percentiles {
			wait := max(row.Result.Wait(class, q), 100*time.Microsecond)
			points = append(points, plotter.XY{X: q, Y: wait.Seconds()})
		}
		curves = append(curves, row.Scheduler, points)
	}
	if err := plotutil.AddLinePoints(p, curves...); err != nil {
		return errors.Annotate(err, "plot")
	}
	name := filepath.Join(directory, "Waits"+l.Name+string(class)+".svg")
	return errors.Annotate(p.Save(plotWidth, plotHeight, name), "plot")
}

// PlotBars plots a measure of every load under each scheduler.
func PlotBars(directory, name, title string, groups [][]Row, value func(*virtual.Result) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	var names []string
	for _, rows := range groups {
		names = append(names, rows[0].Load.Name)
	}
	for i, first := range groups[0] {
		values := make(plotter.Values, len(groups))
		for g, rows := range groups {
			values[g] = value(rows[i].Result)
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return errors.Annotate(err, "plot")
		}
		bars.Color = plotutil.Color(i)
		bars.Offset = barWidth * vg.Length(2*i-len(groups[0])+1) / 2
		p.Add(bars)
		p.Legend.Add(first.Scheduler, bars)
	}
	p.NominalX(names...)
	p.X.Tick.Label.Rotation = 0.6
	p.X.Tick.Label.XAlign = -1
	return errors.Annotate(p.Save(plotWidth, plotHeight, filepath.Join(directory, name+".svg")), "plot")
}
