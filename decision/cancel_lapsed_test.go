package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestLapsedLeaseMakesCancelledRefusalUnknown guards against answering the
// cancellation of work that was refused with NotRun after the owner's lease has
// lapsed: the next owner may have accepted a repeat, which goes on.
func TestLapsedLeaseMakesCancelledRefusalUnknown(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, leased := range []bool{true, false} {
		c := qt.New(t)
		work := smallWork(task.Request, 1)
		work.ID, work.Idempotent, work.Deadline = "seat", false, now.Add(time.Second)
		core := decision.New(decision.Options{})
		record := core.Apply(now, decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work})[0].(decision.Record)
		core.Apply(now, decision.Recorded{Token: record.Token})
		// The deadline passes, and the refusal is recorded.
		for _, a := range core.Apply(now.Add(2*time.Second), decision.Tick{}) {
			if r, ok := a.(decision.Record); ok {
				core.Apply(now.Add(2*time.Second), decision.Recorded{Token: r.Token})
			}
		}
		core.Apply(now.Add(2*time.Second), decision.LeaseChanged{Valid: leased})
		want := task.NotRun
		if !leased {
			want = task.Unknown
		}
		c.Check(replyTo(c, core, now.Add(3*time.Second), decision.Cancelled{Caller: 2, Key: work.Key()}).State, qt.Equals, want)
	}
}
