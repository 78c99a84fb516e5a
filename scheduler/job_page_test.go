package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// jobIDs returns the IDs of the jobs in the job table.
func (t storedRows) jobIDs(c *qt.C) map[string]bool {
	r, ids := scheduler.NewRecords("p"), map[string]bool{}
	for _, row := range t.rows(ledger.JobTable) {
		jobs, err := r.LoadJobs(row)
		c.Assert(err, qt.IsNil)
		for _, j := range jobs {
			c.Assert(ids[j.ID], qt.IsFalse, qt.Commentf("%s is in two rows", j.ID))
			ids[j.ID] = true
		}
	}
	return ids
}

// A burst arrives while the store takes a second per transaction. All jobs of the burst
// must fit the next transaction, or their callers get no reply within their deadlines.
func TestBurstOfNewJobsFitsOneTransaction(t *testing.T) {
	const jobs, rows = 300, 96
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	for i := range jobs {
		r.Add(0, change(fmt.Sprintf("%016x", i), workload.Running, 3, true))
	}
	written := store.commit(c, r)
	c.Assert(written <= rows, qt.IsTrue, qt.Commentf("%d rows", written))
	c.Assert(store.jobIDs(c), qt.HasLen, jobs)
}

// A row holds at most 64 KiB, even if large jobs are submitted together.
func TestRowsOfLargeJobsAreBounded(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	for i := range 100 {
		large := change(fmt.Sprintf("%016x", i), workload.Queued, 0, true)
		large.Job.Spec = strings.Repeat("x", workload.MaxSpecBytes)
		large.Job.Steps = make([]workload.Step, workload.MaxSteps)
		for n := range large.Job.Steps {
			large.Job.Steps[n] = workload.Step{TaskCount: 1, After: []int{0}, Requires: strings.Repeat("l", 64)}
		}
		r.Add(0, large)
	}
	store.commit(c, r)
	for _, row := range store.rows(ledger.JobTable) {
		c.Assert(len(row.Value) <= 64<<10, qt.IsTrue, qt.Commentf("row %s has %d bytes", row.Key, len(row.Value)))
	}
	c.Assert(store.jobIDs(c), qt.HasLen, 100)
}

// A long-lived service is submitted together with short jobs. Its row must not retain
// theirs.
func TestLongLivedJobHasItsOwnRow(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	longLived := change("b", workload.Queued, 0, true)
	longLived.Job.Steps = []workload.Step{{TaskCount: 1, Daemon: true}}
	r.Add(0, change("a", workload.Queued, 0, true))
	r.Add(0, longLived)
	r.Add(0, change("c", workload.Queued, 0, true))
	store.commit(c, r)
	c.Assert(store.rows(ledger.JobTable), qt.HasLen, 2)
	r.Add(0, change("a", workload.Done, 0, false))
	r.Add(0, change("c", workload.Done, 0, false))
	store.commit(c, r)
	c.Assert(store.jobIDs(c), qt.DeepEquals, map[string]bool{"b": true})
}

// A row of an earlier version holds one job under its ID.
func TestSingleJobRowOfEarlierVersionIsLoaded(t *testing.T) {
	c := qt.New(t)
	value, err := codec.Marshal(workload.Job{ID: "0000000000000001", Queue: "q"})
	c.Assert(err, qt.IsNil)
	r := scheduler.NewRecords("p")
	jobs, err := r.LoadJobs(ledger.Row{Table: ledger.JobTable, Key: "0000000000000001", Value: value})
	c.Assert(err, qt.IsNil)
	c.Assert(jobs, qt.HasLen, 1)
	c.Assert(jobs[0].Queue, qt.Equals, "q")
	store := storedRows{ledger.JobTable + "/0000000000000001": {Table: ledger.JobTable, Key: "0000000000000001", Value: value}}
	r.Add(0, change("0000000000000001", workload.Done, 0, false))
	store.commit(c, r)
	c.Assert(store, qt.HasLen, 1, qt.Commentf("only the final state remains"))
	c.Assert(store.rows(ledger.JobTable), qt.HasLen, 0)
}

// Jobs are submitted and finish in any order while owners succeed one another. An
// unfinished job must have a row, and a finished one must keep its final state as long as
// its row exists, or the next owner would run it again.
func TestJobRowsAcrossTakeovers(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 1))
		r, store := scheduler.NewRecords("p"), storedRows{}
		open := map[string]bool{}
		for next := 0; next < 400; {
			for range random.IntN(20) {
				id := fmt.Sprintf("%016x", next)
				next++
				r.Add(0, change(id, workload.Queued, 0, true))
				open[id] = true
			}
			for id := range open {
				if random.IntN(4) == 0 {
					r.Add(0, cell.Change{Job: workload.Job{ID: id}, Progress: cell.Progress{State: workload.Done}})
					delete(open, id)
				}
			}
			store.commit(c, r)
			rows := store.jobIDs(c)
			for id := range open {
				c.Assert(rows[id], qt.IsTrue)
			}
			if random.IntN(5) == 0 {
				r = store.loadRecords(c)
			}
			for id := range rows {
				c.Assert(r.HasRow(id), qt.IsTrue)
				c.Assert(open[id] || r.Finished(id), qt.IsTrue)
			}
		}
	}
}
