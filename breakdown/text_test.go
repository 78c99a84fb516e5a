package breakdown_test

import (
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// spaces matches the spaces between the columns of a table.
var spaces = regexp.MustCompile(` {2,}`)

func TestWriteText(t *testing.T) {
	rows := []string{row(0, "front: started", `"zone":"z1"`)}
	rows = append(rows, jobRows("a", `,"work_s":2,"worth":3,"aim_ms":9000`)...)
	rows = append(rows, callRow("b", "Unavailable"), row(1200, "cell: worker drains", `"worker":"w"`), "{", "foreign")
	report := read(t, rows...)
	var text strings.Builder
	qt.Assert(t, report.WriteText(&text, report.Worst(1), true), qt.IsNil)
	table := spaces.ReplaceAllString(text.String(), "|")
	for _, want := range []string{
		"Queue|Jobs|Done|Late|Failed|Refused|Unanswered|Open|Untraced|Cancelled|Forgone|Lost in\n" +
			"q|2|1|0|0|1|0|0|0|0|0.0 of 3.0|Acceptance 1\n",
		"q Largest|1|1|0|0|0|0|0|0|0|0.0 of 3.0|\nq Unsized|1|0|0|0|1|0|0|0|0|-|Acceptance 1\n",
		"\nz1|2|1|",
		"|0|2|1|",
		"\nq|Running|1|1s|1s|1s\n",
		"\nq|runs map[Done:1]\n",
		"\nStale|0|0s|0s|0s\n",
		"\nFrom second 0: 2 jobs (median 2), 1 missed; forgone 0.0 of 3.0; lost in Acceptance 1\n" +
			"|WorkerDrains: drains, 1 times (w)\n",
		"\nLines: 8 read, 1 not of a log, 1 malformed, 0 dropped by their hosts\n|malformed: 9: {\n",
		"|1 jobs without aim_ms: late at twice the median of their queue\n",
	} {
		qt.Check(t, strings.Contains(table, want), qt.IsTrue, qt.Commentf("%q in\n%s", want, table))
	}
	qt.Check(t, strings.Contains(table, "zone unknown"), qt.IsFalse)
}

func TestWriteTextReturnsErrors(t *testing.T) {
	qt.Assert(t, read(t).WriteText(failingWriter{}, nil, false), qt.ErrorMatches, "report: disk full")
}
