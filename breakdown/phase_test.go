package breakdown_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// origin is the beginning of the logs of these tests.
var origin = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// row returns a log line written ms milliseconds after the origin; fields are JSON.
func row(ms int, message, fields string) string {
	at := origin.Add(time.Duration(ms) * time.Millisecond).Format("2006-01-02T15:04:05.000Z")
	return fmt.Sprintf(`{"msg":%q,"time":%q,"host":"e1",%s}`, message, at, fields)
}

func read(t *testing.T, rows ...string) breakdown.Report {
	report, err := breakdown.Read(strings.NewReader(strings.Join(rows, "\n")))
	qt.Assert(t, err, qt.IsNil)
	return report
}

// jobRows returns the lines of a job whose only task is placed at 2 s and done at 3 s. The
// fields are added to the line about the end of its run.
func jobRows(id, fields string) []string {
	return []string{
		row(1000, "cell: job submitted", `"job":"`+id+`","why":"q"`),
		row(1100, "intake: call answered", `"job":"`+id+`","queue":"q","verb":"Submit","outcome":"Accepted","ms":300`),
		row(1500, "cell: advice", `"job":"`+id+`","task":"`+id+`.0.0","why":"3 of 9"`),
		row(3000, "cell: run ended", `"job":"`+id+`","task":"`+id+`.0.0.0","worker":"w","why":"Done","age_ms":1000`+fields),
		row(3000, "cell: job Done", `"job":"`+id+`","why":"all tasks are done"`),
	}
}

func TestPhases(t *testing.T) {
	const ms = time.Millisecond
	type times = map[breakdown.Phase]time.Duration
	base := times{breakdown.Acceptance: 200 * ms, breakdown.Advice: 500 * ms, breakdown.CapacityWait: 500 * ms, breakdown.Running: 1000 * ms}
	// withChanges returns base with other times of phases; a negative time removes the phase.
	withChanges := func(changes times) times {
		all := times{}
		for p, d := range base {
			all[p] = d
		}
		for p, d := range changes {
			all[p] = d
			if d < 0 {
				delete(all, p)
			}
		}
		return all
	}
	for _, test := range []struct {
		name string
		rows []string
		want times
	}{
		{"Sound", jobRows("a", ""), base},
		{"Record", jobRows("a", `,"sent_ms":400`), withChanges(times{breakdown.Record: 400 * ms, breakdown.Running: 600 * ms})},
		{"Unheard", jobRows("a", `,"unheard_ms":300`), withChanges(times{breakdown.ReportDelay: 300 * ms, breakdown.Running: 700 * ms})},
		{
			"UnheardOfASilentWorker",
			append([]string{
				row(2600, "scheduler: worker silent", `"worker":"w"`),
				row(2900, "scheduler: worker heard", `"worker":"w"`),
			}, jobRows("a", "")...),
			withChanges(times{breakdown.ReportDelay: 400 * ms, breakdown.Running: 600 * ms}),
		},
		{
			"RecordOfAnAnswerAfterThePlacement",
			append([]string{row(2300, "intake: call answered", `"job":"a","queue":"q","verb":"Submit","outcome":"Accepted","ms":1500`)},
				append(jobRows("a", "")[:1], jobRows("a", "")[2:]...)...),
			withChanges(times{breakdown.Record: 300 * ms, breakdown.Running: 700 * ms}),
		},
		{
			"RunAgain",
			append([]string{row(1900, "cell: run ended", `"job":"a","task":"a.0.0.0","why":"Broken","age_ms":300`)}, jobRows("a", "")...),
			withChanges(times{breakdown.CapacityWait: 100 * ms, breakdown.Rerun: 400 * ms}),
		},
		{
			"Takeover",
			append([]string{row(2001, "scheduler: recovered", `"fence":9`)}, jobRows("a", `,"fence":9`)...),
			withChanges(times{breakdown.Takeover: 500 * ms, breakdown.CapacityWait: -1}),
		},
		{
			"SecondStep",
			append(jobRows("a", "")[:4],
				row(3200, "cell: advice", `"job":"a","task":"a.0.1","why":"3 of 9"`),
				row(4000, "cell: run ended", `"job":"a","task":"a.0.1.0","why":"Done","age_ms":500`),
				row(4000, "cell: job Done", `"job":"a"`)),
			withChanges(times{breakdown.Advice: 700 * ms, breakdown.CapacityWait: 800 * ms, breakdown.Running: 1500 * ms}),
		},
		{
			"UntoldWithoutARun",
			append(jobRows("a", "")[:3], jobRows("a", "")[4]),
			times{breakdown.Acceptance: 200 * ms, breakdown.Advice: 500 * ms, breakdown.Unaccounted: 1500 * ms},
		},
		{
			"UntoldBeforeASecondRun",
			jobRows("a", `,"run":2`),
			withChanges(times{breakdown.Unaccounted: 500 * ms, breakdown.CapacityWait: -1}),
		},
		{
			"UntoldWithoutASubmission",
			jobRows("a", "")[1:],
			times{breakdown.Running: 1000 * ms, breakdown.Unaccounted: 1200 * ms},
		},
		{
			"Failed",
			append(jobRows("a", "")[:3],
				row(3000, "cell: run ended", `"job":"a","task":"a.0.0.0","why":"Failed","age_ms":1000`),
				row(3500, "cell: job Failed", `"job":"a"`)),
			times{breakdown.Acceptance: 200 * ms, breakdown.Advice: 500 * ms, breakdown.CapacityWait: 500 * ms, breakdown.Rerun: 1500 * ms},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			report := read(t, test.rows...)
			qt.Assert(t, report.Jobs, qt.HasLen, 1)
			qt.Assert(t, report.Jobs[0].Times, qt.DeepEquals, test.want)
		})
	}
}
