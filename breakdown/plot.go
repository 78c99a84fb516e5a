package breakdown

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"time"

	svg "github.com/ajstarks/svgo"
	"github.com/juju/errors"
)

// Dimensions of a plot, in pixels except labelLines.
const (
	plotWidth  = 1100
	plotHeight = 420
	plotMargin = 60
	// labelHeight is the height of a line of text; labelLines is the number of lines above
	// the bars.
	labelHeight = 13
	labelLines  = 4
)

// Styles of a plot.
const (
	servedStyle = "fill:#4c956c"
	lostStyle   = "fill:#c8553d"
	windowStyle = "fill:#f4d58d;fill-opacity:0.6"
	textStyle   = "font-family:sans-serif;font-size:11px"
	axisStyle   = "stroke:#333333"
)

// bar aggregates the jobs of one second.
type bar struct {
	second       int
	served, lost float64
}

// plot is a plot being drawn.
type plot struct {
	*svg.SVG
	// firstSecond and seconds are the range of the x axis, maxValue is the height of the
	// highest bar in the unit of the y axis.
	firstSecond, seconds int
	maxValue             float64
}

// Plot draws an SVG of what was served and lost, by the second of the first call, with
// windows and the kinds of their incidents. It counts worth if the logs have it, or else jobs.
// Untraced and cancelled jobs are left out.
func (r Report) Plot(output io.Writer, windows []Window) error {
	var drawn bytes.Buffer
	bars, unit := r.bars()
	p := &plot{SVG: svg.New(&drawn)}
	p.scale(bars)
	p.Start(plotWidth, plotHeight)
	for i, w := range windows {
		p.window(w, i)
	}
	for _, b := range bars {
		p.bar(b)
	}
	p.axes(unit)
	p.End()
	_, err := output.Write(drawn.Bytes())
	return errors.Annotate(err, "plot")
}

// bars aggregates the jobs by second, in order of time, and returns the bars and their
// unit.
func (r Report) bars() ([]bar, string) {
	unit, worth := "jobs", func(Job) float64 { return 1 }
	for _, j := range r.Jobs {
		if j.Worth > 0 {
			unit, worth = "worth", func(j Job) float64 { return j.Worth }
		}
	}
	var bars []bar
	for _, j := range r.Jobs {
		if len(bars) == 0 || bars[len(bars)-1].second != j.second() {
			bars = append(bars, bar{second: j.second()})
		}
		b := &bars[len(bars)-1]
		switch {
		case j.Result == Done:
			b.served += worth(j)
		case j.Result.Missed():
			b.lost += worth(j)
		}
	}
	return bars, unit
}

func (p *plot) scale(bars []bar) {
	p.maxValue = 1
	for _, b := range bars {
		p.maxValue = max(p.maxValue, b.served+b.lost)
	}
	if len(bars) > 0 {
		p.firstSecond = bars[0].second
		p.seconds = bars[len(bars)-1].second + 1 - p.firstSecond
	}
	p.seconds = max(1, p.seconds)
}

// x returns the x coordinate at which a second begins.
func (p *plot) x(second int) int {
	return plotMargin + (second-p.firstSecond)*(plotWidth-2*plotMargin)/p.seconds
}

// y returns the height of an amount above the axis, in pixels.
func (p *plot) y(amount float64) int {
	return int(amount / p.maxValue * (plotHeight - 2*plotMargin))
}

func (p *plot) bar(b bar) {
	x, width, axis := p.x(b.second), max(1, p.x(b.second+1)-p.x(b.second)-1), plotHeight-plotMargin
	served, lost := p.y(b.served), p.y(b.lost)
	p.Rect(x, axis-served, width, served, servedStyle)
	p.Rect(x, axis-served-lost, width, lost, lostStyle)
}

// window draws a window and lists its kinds. The position of the window selects the line of
// the label, so that labels of adjacent windows don't overlap.
func (p *plot) window(w Window, index int) {
	from := int(w.From / time.Second)
	x := p.x(from)
	p.Rect(x, plotMargin, p.x(from+int(WindowLength/time.Second))-x, plotHeight-2*plotMargin, windowStyle)
	p.Text(x, labelHeight*(index%labelLines+1), fmt.Sprintf("%d: %s", from, strings.Join(w.kinds(), ", ")), textStyle)
}

// kinds lists the kinds of incidents of a window.
func (w Window) kinds() []string {
	var kinds []string
	for _, e := range w.Incidents {
		if len(kinds) == 0 || kinds[len(kinds)-1] != string(e.Kind) {
			kinds = append(kinds, string(e.Kind))
		}
	}
	return kinds
}

func (p *plot) axes(unit string) {
	axis := plotHeight - plotMargin
	p.Line(plotMargin, axis, plotWidth-plotMargin, axis, axisStyle)
	p.Line(plotMargin, plotMargin, plotMargin, axis, axisStyle)
	p.Text(2, plotMargin, fmt.Sprintf("%.0f", p.maxValue), textStyle)
	step := max(1, p.seconds/10)
	for s := p.firstSecond; s <= p.firstSecond+p.seconds; s += step {
		p.Text(p.x(s), axis+labelHeight, fmt.Sprint(s), textStyle)
	}
	p.Text(plotMargin, axis+3*labelHeight, "second of the first call; "+unit+" served (below) and lost (above); windows in which most was lost", textStyle)
}
