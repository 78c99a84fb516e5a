package breakdown_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// callRow returns the line of a call with an outcome other than Accepted.
func callRow(id, outcome string) string {
	return row(1100, "intake: call answered", `"job":"`+id+`","queue":"q","verb":"Submit","outcome":"`+outcome+`","ms":300`)
}

func TestResults(t *testing.T) {
	// The queue's other jobs take 2.2 s, of which they wait 0.5 s for capacity.
	others := append(jobRows("x", ""), append(jobRows("y", ""), jobRows("z", "")...)...)
	slow := func(aim string) []string {
		return append(jobRows("a", "")[:3],
			row(2400, "cell: run ended", `"job":"a","task":"a.0.0.0","why":"Failed","age_ms":400`),
			row(6000, "cell: run ended", `"job":"a","task":"a.0.0.0","why":"Done","age_ms":1000`),
			row(6000, "cell: job Done", `"job":"a"`+aim))
	}
	for _, test := range []struct {
		name   string
		rows   []string
		result breakdown.Result
		lost   breakdown.Phase
	}{
		{"Done", jobRows("a", ""), breakdown.Done, ""},
		{"LateByTheQueue", slow(""), breakdown.Late, breakdown.Rerun},
		{"InTimeByItsAim", slow(`,"aim_ms":6000`), breakdown.Done, ""},
		{"LateByItsAim", append(jobRows("a", "")[:4], row(3000, "cell: job Done", `"job":"a","aim_ms":2100`)), breakdown.Late, breakdown.Running},
		{"Failed", append(jobRows("a", "")[:3], row(3500, "cell: job Failed", `"job":"a"`)), breakdown.Failed, breakdown.Rerun},
		{"Refused", []string{callRow("a", "Unavailable")}, breakdown.Refused, breakdown.Acceptance},
		{"Unanswered", []string{callRow("a", ""), callRow("a", "Unavailable")}, breakdown.Unanswered, breakdown.Acceptance},
		{"UnansweredThoughDone", append(jobRows("a", "")[2:], callRow("a", "")), breakdown.Unanswered, breakdown.Acceptance},
		{"AcceptedOnceMore", append([]string{callRow("a", "Unavailable")}, jobRows("a", "")...), breakdown.Done, ""},
		{"Cancelled", append(jobRows("a", "")[:3], row(3500, "cell: job Cancelled", `"job":"a"`)), breakdown.Cancelled, ""},
		{"OpenInAdvice", jobRows("a", "")[:2], breakdown.Open, breakdown.Advice},
		{"OpenInItsFirstRunOrBefore", jobRows("a", "")[:3], breakdown.Open, breakdown.Unaccounted},
		{"OpenAfterAFailure", slow("")[:4], breakdown.Open, breakdown.Rerun},
		{"UntracedWithoutASubmission", jobRows("a", "")[1:2], breakdown.Untraced, ""},
		{"UntracedBeforeAMalformedLine", append(jobRows("a", "")[:2], row(1700, "front: stopped", `"x":1`), `{"msg":"cell: jo`), breakdown.Untraced, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := read(t, append(test.rows, others...)...)
			for _, j := range report.Jobs {
				if j.ID == "a" {
					qt.Assert(t, j.Result, qt.Equals, test.result)
					qt.Assert(t, j.Lost, qt.Equals, test.lost)
				}
			}
		})
	}
}

func TestGroups(t *testing.T) {
	rows := []string{row(0, "front: started", `"zone":"z1"`)}
	for i := range 10 {
		id := fmt.Sprint("j", i)
		rows = append(rows, jobRows(id, fmt.Sprintf(`,"work_s":%d,"worth":2`, i+1))...)
	}
	rows = append(rows, callRow("r", "Overloaded"), strings.Replace(callRow("u", "Unavailable"), "e1", "e2", 1))
	report := read(t, rows...)

	sizes := report.Groups(breakdown.BySize)
	var names []string
	for _, g := range sizes {
		names = append(names, fmt.Sprint(g.Name, " ", g.Jobs))
	}
	qt.Assert(t, names, qt.DeepEquals, []string{"q Large 2", "q Largest 1", "q Unsized 2", "q Usual 7"})

	zones := report.Groups(breakdown.ByZone)
	qt.Assert(t, zones, qt.HasLen, 2)
	qt.Assert(t, zones[0].Name, qt.Equals, "unknown")
	qt.Assert(t, zones[0].Missed(), qt.Equals, 1)
	qt.Assert(t, zones[1].Name, qt.Equals, "z1")
	qt.Assert(t, zones[1].Jobs, qt.Equals, 11)
	qt.Assert(t, zones[1].Missed(), qt.Equals, 1)
	qt.Assert(t, zones[1].Lost, qt.DeepEquals, map[breakdown.Phase]int{breakdown.Acceptance: 1})
	qt.Assert(t, zones[1].Worth, qt.Equals, 20.0)
	qt.Assert(t, zones[1].Forgone, qt.Equals, 0.0)

	seconds := report.Groups(breakdown.BySecond)
	qt.Assert(t, seconds, qt.HasLen, 1)
	qt.Assert(t, strings.TrimSpace(seconds[0].Name), qt.Equals, "0")
}

// Guards against reports of the same log that differ: tasks that end at the same time were
// visited in the random order of a map.
func TestReadIsDeterministic(t *testing.T) {
	var rows []string
	for i := range 20 {
		id := fmt.Sprint("j", i)
		rows = append(rows, jobRows(id, "")[:3]...)
		for k := range 8 {
			rows = append(rows, row(3000, "cell: run ended", fmt.Sprintf(`"job":%q,"task":"%s.0.0.%d","why":"Done","age_ms":%d`, id, id, k, 100*(k+1))))
		}
		rows = append(rows, row(3000, "cell: job Done", fmt.Sprintf(`"job":%q`, id)))
	}
	want := read(t, rows...)
	for range 5 {
		qt.Assert(t, read(t, rows...), qt.DeepEquals, want)
	}
}
