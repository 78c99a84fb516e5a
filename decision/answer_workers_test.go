package decision_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestAnswerNamesWorkersAfterTakeover guards against an answer without the
// worker of a task that ended before a takeover. One of two tasks ends, a new
// owner recovers from the rows or a snapshot, and the other task ends.
func TestAnswerNamesWorkersAfterTakeover(t *testing.T) {
	for name, recover := range map[string]func(*recorder){
		"Rows":     func(r *recorder) { r.recoverFrom(r.rows) },
		"Snapshot": (*recorder).takeOver,
	} {
		t.Run(name, func(t *testing.T) {
			r := newRecorder()
			w := smallWork(task.Batch, 0)
			w.ID, w.Tasks = "w", 2
			r.apply(decision.Submitted{Caller: 1, Partition: snapshotPartition, Work: w})
			r.acknowledgeAll()
			qt.Assert(t, r.running, qt.HasLen, 2)
			r.report(0, decision.Ended, task.Succeeded)
			r.acknowledgeAll()
			recover(r)
			r.report(0, decision.Ended, task.Succeeded)
			r.acknowledgeAll()
			last := r.rows[len(r.rows)-1]
			qt.Assert(t, last.Verb, qt.Equals, record.Final)
			qt.Assert(t, last.Answer.State, qt.Equals, task.Ran)
			qt.Assert(t, last.Answer.Workers, qt.DeepEquals, []string{"w1", "w1"})
		})
	}
}
