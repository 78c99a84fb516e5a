package breakdown_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

func TestMalformedLinesAreCountedAndQuoted(t *testing.T) {
	report := read(t,
		"a report of something else\n",
		row(0, "front: owner of the cell", `"fence":1`),
		`  1.5 e1 {"msg":"cell: run en{"msg":"cell: run ended"`,
		`{"time":"2026-12-04T03:00:00Z"}`,
		`{"msg":"front: stopped"}`,
		`{"msg":"`+strings.Repeat("x", 200_000)+`"}`,
		`{"level":"warning","msg":"lines: dropped","count":7}`,
		row(100, "front: stopped", `"x":1`),
	)
	qt.Assert(t, report.Lines.Read, qt.Equals, 2)
	qt.Assert(t, report.Lines.Foreign, qt.Equals, 1)
	qt.Assert(t, report.Lines.Malformed, qt.Equals, 4)
	qt.Assert(t, report.Lines.Dropped, qt.Equals, 7)
	qt.Assert(t, report.Lines.MalformedSamples, qt.HasLen, 4)
	qt.Assert(t, report.Lines.MalformedSamples[0], qt.Equals, `4: 1.5 e1 {"msg":"cell: run en{"msg":"cell: run ended"`)
	qt.Assert(t, strings.HasPrefix(report.Lines.MalformedSamples[3], `7: {"msg":"xxx`), qt.IsTrue)
}

func TestQuotedMalformedLinesAreBounded(t *testing.T) {
	report := read(t, strings.Repeat("{\n", 1000))
	qt.Assert(t, report.Lines.Malformed, qt.Equals, 1000)
	qt.Assert(t, report.Lines.MalformedSamples, qt.HasLen, 10)
}

func TestReadReturnsErrors(t *testing.T) {
	_, err := breakdown.Read(iotest.ErrReader(errors.New("disk gone")))
	qt.Assert(t, err, qt.ErrorMatches, "log: disk gone")
}

func TestGaps(t *testing.T) {
	rows := append(jobRows("uncalled", "")[:1], jobRows("unsubmitted", "")[1:]...)
	rows = append(rows, jobRows("unrun", "")[:3]...)
	rows = append(rows, jobRows("unrun", "")[4], jobRows("unqueued", "")[2])
	rows = append(rows, row(9000, "front: stopped", `"x":1`))
	gaps := read(t, rows...).Gaps
	qt.Assert(t, gaps, qt.DeepEquals, breakdown.Gaps{
		WithoutQueue: 1, WithoutCall: 1, WithoutSubmission: 1, WithoutRun: 1, WithoutObjective: 3, WithoutEstimate: 3, WithoutZone: 2,
		Silences: []breakdown.Silence{{From: 4 * time.Second, To: 9 * time.Second}},
	})
}

// Guards against reading whose time and memory, measured by its allocations, grow faster than
// the number of lines.
func TestReadIsLinear(t *testing.T) {
	allocations := func(jobs int) float64 {
		var rows []string
		for i := range jobs {
			rows = append(rows, jobRows(fmt.Sprint("j", i), "")...)
		}
		text := strings.Join(rows, "\n")
		return testing.AllocsPerRun(3, func() {
			_, err := breakdown.Read(strings.NewReader(text))
			qt.Check(t, err, qt.IsNil)
		})
	}
	few, many := allocations(500), allocations(4000)
	qt.Assert(t, many/few < 9, qt.IsTrue, qt.Commentf("%v allocations for 500 jobs, %v for 4000", few, many))
}
