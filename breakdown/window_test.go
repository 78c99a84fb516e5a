package breakdown_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

// Each kind of incident is read from its log lines, in the window that begins at 10 s.
func TestIncidentKinds(t *testing.T) {
	for _, test := range []struct {
		rows []string
		want breakdown.IncidentGroup
	}{
		{
			[]string{row(11000, "front: tenure ended", `"why":"the store is away"`)},
			breakdown.IncidentGroup{Kind: breakdown.OwnerChanged, What: "tenure ended: the store is away", Count: 1, Subjects: []string{"e1"}},
		},
		{
			[]string{row(12500, "front: taking the cell", `"fence":7,"owner":"e2","age_ms":1000`), row(13000, "scheduler: recovered", `"fence":8`)},
			breakdown.IncidentGroup{Kind: breakdown.OwnerChanged, What: "no owner until it had recovered", Count: 1, Subjects: []string{"e1"}, Longest: 1500 * time.Millisecond},
		},
		{
			[]string{row(16000, "front: the store is back", `"away_ms":5000`)},
			breakdown.IncidentGroup{Kind: breakdown.StoreUnavailable, What: "did not answer", Count: 1, Subjects: []string{"e1"}, Longest: 5 * time.Second},
		},
		{
			[]string{row(10100, "front: members not read", `"why":"status 503"`), row(10200, "front: configuration not read", `"why":"status 429"`)},
			breakdown.IncidentGroup{Kind: breakdown.StoreUnavailable, What: "read failed", Count: 2, Subjects: []string{"e1"}},
		},
		{
			[]string{row(10100, "intake: call answered", `"job":"b","queue":"q","verb":"Submit","outcome":"Unavailable","why":"the store is slow or away"`)},
			breakdown.IncidentGroup{Kind: breakdown.StoreUnavailable, What: "calls refused", Count: 1, Subjects: []string{"e1"}},
		},
		{
			[]string{row(10100, "scheduler: load", `"commit_ms":1200`)},
			breakdown.IncidentGroup{Kind: breakdown.StoreUnavailable, What: "slow commits", Count: 1, Subjects: []string{"e1"}},
		},
		{
			[]string{row(9000, "front: owner of the cell", `"fence":1`), row(12400, "front: started", `"zone":"z"`)},
			breakdown.IncidentGroup{Kind: breakdown.HostCrashed, What: "started again without having stopped", Count: 1, Subjects: []string{"e1"}, Longest: 3400 * time.Millisecond},
		},
		{
			[]string{row(10500, "front: stopping", `"x":1`)},
			breakdown.IncidentGroup{Kind: breakdown.HostStopped, What: "stopping", Count: 1, Subjects: []string{"e1"}},
		},
		{
			[]string{row(12100, "cell: worker gone", `"worker":"w","age_ms":2500`)},
			breakdown.IncidentGroup{Kind: breakdown.WorkerLost, What: "gone", Count: 1, Subjects: []string{"w"}, Longest: 2500 * time.Millisecond},
		},
		{
			[]string{row(10100, "scheduler: worker silent", `"worker":"w"`)},
			breakdown.IncidentGroup{Kind: breakdown.WorkerLost, What: "silent", Count: 1, Subjects: []string{"w"}},
		},
		{
			[]string{row(10100, "cell: worker drains", `"worker":"w"`)},
			breakdown.IncidentGroup{Kind: breakdown.WorkerDraining, What: "drains", Count: 1, Subjects: []string{"w"}},
		},
		{
			[]string{row(10100, "carrier: passed over", `"carrier":"e7","why":"no answer"`)},
			breakdown.IncidentGroup{Kind: breakdown.CarrierSkipped, What: "no answer", Count: 1, Subjects: []string{"e7"}},
		},
		{
			[]string{row(10100, "front: configuration in force", `"version":6`), row(10200, "front: configuration in force", `"version":6`)},
			breakdown.IncidentGroup{Kind: breakdown.ConfigurationChanged, What: "in force", Count: 1, Subjects: []string{"version 6"}},
		},
		{
			[]string{row(10100, "front: advice not given", `"why":"context canceled"`)},
			breakdown.IncidentGroup{Kind: breakdown.AdviceMissing, What: "not given", Count: 1, Subjects: []string{"e1"}},
		},
		{
			[]string{row(10100, "front: wave of upkeep", `"wave":2`)},
			breakdown.IncidentGroup{Kind: breakdown.UpkeepWave, What: "begins", Count: 1, Subjects: []string{"e1"}},
		},
	} {
		t.Run(string(test.want.Kind)+" "+test.want.What, func(t *testing.T) {
			rows := append([]string{row(0, "front: owner of the cell", `"fence":1`)}, test.rows...)
			rows = append(rows, row(10900, "intake: call answered", `"job":"a","queue":"q","verb":"Submit","outcome":"Unavailable","ms":0`))
			windows := read(t, rows...).Worst(1)
			qt.Assert(t, windows, qt.HasLen, 1)
			qt.Assert(t, windows[0].From, qt.Equals, 10*time.Second)
			qt.Assert(t, windows[0].Incidents, qt.DeepEquals, []breakdown.IncidentGroup{test.want})
		})
	}
}

func TestIncidentGroupsNameTheirFirstSubjects(t *testing.T) {
	rows := []string{row(0, "front: owner of the cell", `"fence":1`)}
	for i := range 5 {
		rows = append(rows, row(500, "cell: worker drains", fmt.Sprintf(`"worker":"w%d"`, i)))
	}
	rows = append(rows, row(3000, "cell: worker drains", `"worker":"later"`), callRow("a", "Unavailable"))
	events := read(t, rows...).Worst(1)[0].Incidents
	qt.Assert(t, events, qt.DeepEquals, []breakdown.IncidentGroup{{Kind: breakdown.WorkerDraining, What: "drains", Count: 5, Subjects: []string{"w0", "w1", "w2"}}})
}

func TestWorstWindows(t *testing.T) {
	refused := func(id string, ms int, worth string) string {
		return row(ms, "intake: call answered", `"job":"`+id+`","queue":"q","verb":"Submit","outcome":"Unavailable","ms":0`+worth)
	}
	begins := func(windows []breakdown.Window) []time.Duration {
		var all []time.Duration
		for _, w := range windows {
			all = append(all, w.From)
		}
		return all
	}
	start := row(0, "front: owner of the cell", `"fence":1`)
	report := read(t, start, refused("a", 500, ""), refused("b", 4500, ""), refused("c", 5500, ""))
	qt.Assert(t, begins(report.Worst(5)), qt.DeepEquals, []time.Duration{4 * time.Second, 0})
	qt.Assert(t, report.Worst(-1), qt.HasLen, 0)
	qt.Assert(t, begins(report.Worst(1)), qt.DeepEquals, []time.Duration{4 * time.Second})

	// If the logs have the worth, it takes precedence over the number of jobs.
	report = read(t, start, refused("a", 500, `,"worth":9`), refused("b", 4500, `,"worth":1`), refused("c", 5500, `,"worth":1`))
	qt.Assert(t, begins(report.Worst(5)), qt.DeepEquals, []time.Duration{0, 4 * time.Second})
}

func TestOriginFollowsCollectorSeconds(t *testing.T) {
	lines := make([]string, 0, 2)
	for _, at := range []int{1000, 3000} {
		lines = append(lines, fmt.Sprintf("%8.4f e1 %s", float64(at)/1000-5, row(at, "intake: call answered", fmt.Sprintf(`"job":"j%d","queue":"q","verb":"Submit","outcome":"Unavailable","ms":0`, at))))
	}
	report := read(t, lines...)
	qt.Assert(t, report.Jobs[0].Called, qt.Equals, -4*time.Second)
	qt.Assert(t, strings.TrimSpace(report.Groups(breakdown.BySecond)[0].Name), qt.Equals, "-2")
	qt.Assert(t, report.Worst(2)[0].From, qt.Equals, -4*time.Second)
}
