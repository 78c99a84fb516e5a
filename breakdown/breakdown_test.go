package breakdown_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/breakdown"
)

const log = `{"msg":"cell: job submitted","job":"a","why":"q","time":"2026-12-04T03:00:00Z"}
{"msg":"intake: call answered","job":"a","verb":"Submit","outcome":"Accepted","ms":40,"time":"2026-12-04T03:00:00Z"}
{"msg":"cell: advice","job":"a","why":"3 of 9","age_ms":900,"time":"2026-12-04T03:00:01Z"}
{"msg":"cell: advice","job":"a","why":"3 of 3","age_ms":900,"time":"2026-12-04T03:00:04Z"}
not a line of a log
{"msg":"cell: run ended","job":"a","why":"Failed","age_ms":1000,"time":"2026-12-04T03:00:06Z"}
{"msg":"cell: run ended","job":"a","why":"Done","age_ms":1000,"time":"2026-12-04T03:00:09Z"}
{"msg":"cell: job Done","job":"a","time":"2026-12-04T03:00:09Z"}
{"msg":"cell: job submitted","job":"b","why":"q","time":"2026-12-04T03:00:02Z"}
`

func TestRead(t *testing.T) {
	report, err := breakdown.Read(strings.NewReader(log))
	qt.Assert(t, err, qt.IsNil)
	queues := report.Queues
	qt.Assert(t, queues, qt.HasLen, 1)
	q := queues[0]
	qt.Assert(t, q.Jobs, qt.Equals, 2)
	qt.Assert(t, q.Ended, qt.DeepEquals, map[breakdown.Result]int{breakdown.Done: 1, breakdown.Open: 1})
	qt.Assert(t, q.Runs, qt.DeepEquals, map[string]int{"Done": 1, "Failed": 1})
	qt.Assert(t, q.Percentile(breakdown.Advice, 0.5), qt.Equals, time.Second)
	qt.Assert(t, q.Percentile(breakdown.CapacityWait, 0.5), qt.Equals, 4*time.Second)
	qt.Assert(t, q.Percentile(breakdown.Rerun, 0.5), qt.Equals, 3*time.Second)
	qt.Assert(t, q.Percentile(breakdown.Running, 0.5), qt.Equals, time.Second)
	qt.Assert(t, q.Percentile(breakdown.Acceptance, 0.9), qt.Equals, 40*time.Millisecond)
}

const takeovers = `{"msg":"front: taking the cell","fence":0,"host":"e2","owner":"","age_ms":90000,"time":"2026-12-04T03:00:01Z"}
{"msg":"scheduler: recovered","host":"e2","time":"2026-12-04T03:00:01.1Z"}
   3.8829 e1 {"msg":"front: taking the cell","fence":7,"host":"e1","owner":"e2","linked":false,"age_ms":1200,"time":"2026-12-04T03:00:02Z"}
{"msg":"front: taking the cell","fence":7,"host":"e3","owner":"e2","linked":false,"age_ms":1200,"time":"2026-12-04T03:00:02Z"}
{"msg":"front: cell not taken","host":"e3","time":"2026-12-04T03:00:02.1Z"}
{"msg":"scheduler: recovered","host":"e1","time":"2026-12-04T03:00:02.1Z"}
{"msg":"front: taking the cell","fence":7,"host":"e1","owner":"e1","linked":true,"age_ms":90,"time":"2026-12-04T03:00:05Z"}
{"msg":"scheduler: recovered","host":"e1","time":"2026-12-04T03:00:05.03Z"}
{"msg":"front: taking the cell","fence":7,"host":"e3","owner":"","linked":false,"age_ms":100,"time":"2026-12-04T03:00:07Z"}
{"msg":"scheduler: recovered","host":"e3","time":"2026-12-04T03:00:07.02Z"}
{"msg":"scheduler: recovered","host":"e2","time":"2026-12-04T03:00:09Z"}
`

func TestTakeovers(t *testing.T) {
	report, err := breakdown.Read(strings.NewReader(takeovers))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, report.Takeovers, qt.DeepEquals, breakdown.Takeovers{
		breakdown.Unlinked:  {1300 * time.Millisecond},
		breakdown.Restarted: {30 * time.Millisecond},
		breakdown.Resigned:  {120 * time.Millisecond},
	})
	qt.Assert(t, report.Takeovers.Percentile(breakdown.Unlinked, 0.5), qt.Equals, 1300*time.Millisecond)
	qt.Assert(t, report.Takeovers.Percentile(breakdown.Stale, 0.5), qt.Equals, time.Duration(0))
}
