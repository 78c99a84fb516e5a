package breakdown_test

import (
	"bytes"
	"encoding/xml"
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// element holds the decoded parts of an SVG element.
type element struct {
	Height int    `xml:"height,attr"`
	Style  string `xml:"style,attr"`
	Text   string `xml:",chardata"`
}

func draw(t *testing.T, report breakdown.Report) (rects, texts []element) {
	var drawn bytes.Buffer
	qt.Assert(t, report.Plot(&drawn, report.Worst(1)), qt.IsNil)
	var read struct {
		Rects []element `xml:"rect"`
		Texts []element `xml:"text"`
	}
	qt.Assert(t, xml.Unmarshal(drawn.Bytes(), &read), qt.IsNil)
	return read.Rects, read.Texts
}

func TestPlot(t *testing.T) {
	rows := append(jobRows("a", ""), jobRows("b", "")...)
	rows = append(rows, callRow("c", "Unavailable"), row(1200, "cell: worker drains", `"worker":"w"`))
	rects, texts := draw(t, read(t, rows...))
	// The rectangles are the window and, in its only second, two jobs served and one lost.
	qt.Assert(t, rects, qt.HasLen, 3)
	qt.Assert(t, rects[1].Height, qt.Equals, 200)
	qt.Assert(t, rects[2].Height, qt.Equals, 100)
	qt.Assert(t, texts[0].Text, qt.Equals, "0: WorkerDrains")
	qt.Assert(t, strings.Contains(texts[len(texts)-1].Text, "jobs served"), qt.IsTrue)

	rows = append(rows, row(1100, "cell: job submitted", `"job":"a","why":"q","worth":1`))
	rows = append(rows, row(1100, "cell: job submitted", `"job":"c","why":"q","worth":3`))
	rects, texts = draw(t, read(t, rows...))
	qt.Assert(t, rects[1].Height, qt.Equals, 75)
	qt.Assert(t, rects[2].Height, qt.Equals, 225)
	qt.Assert(t, strings.Contains(texts[len(texts)-1].Text, "worth served"), qt.IsTrue)
}

func TestPlotOfEmptyReport(t *testing.T) {
	rects, _ := draw(t, read(t))
	qt.Assert(t, rects, qt.HasLen, 0)
}

// failingWriter is an output on which each write fails.
type failingWriter struct{ io.Writer }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("disk full") }

func TestPlotReturnsErrors(t *testing.T) {
	qt.Assert(t, read(t).Plot(failingWriter{}, nil), qt.ErrorMatches, "plot: disk full")
}
