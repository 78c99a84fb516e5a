package scheduler_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A job is cancelled before the transaction that would accept it. If that transaction
// both wrote and removed the row, the store might keep it, and the job would run again
// once its final state is pruned.
func TestJobFinishedBeforeItsRecordHasNoRow(t *testing.T) {
	c := qt.New(t)
	r := scheduler.NewRecords("p")
	r.Add(0, change("a", workload.Queued, 0, true))
	r.Add(0, change("a", workload.Cancelled, 0, false))
	changes, err := r.DrainChanges()
	c.Assert(err, qt.IsNil)
	for _, change := range changes {
		for _, row := range append(change.Writes, change.Removes...) {
			c.Assert(row.Table, qt.Not(qt.Equals), ledger.JobTable)
		}
	}
	c.Assert(r.Finished("a"), qt.IsTrue)
	c.Assert(r.HasRow("a"), qt.IsFalse)
}

// The same for one of several jobs that are accepted together: the others keep their row.
func TestJobFinishedBeforeItsRecordKeepsOtherRows(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	r.Add(0, change("a", workload.Queued, 0, true))
	r.Add(0, change("b", workload.Queued, 0, true))
	r.Add(0, change("a", workload.Cancelled, 0, false))
	store.commit(c, r)
	c.Assert(store.jobIDs(c), qt.DeepEquals, map[string]bool{"b": true})
	r.Add(0, change("b", workload.Done, 0, false))
	store.commit(c, r)
	c.Assert(store.rows(ledger.JobTable), qt.HasLen, 0)
}
