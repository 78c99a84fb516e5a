package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

func change(id string, state workload.State, runs int, isNew bool) cell.Change {
	p := cell.Progress{State: state}
	if runs > 0 {
		s := cell.StepProgress{}
		for i := range runs {
			s.Tasks = append(s.Tasks, cell.TaskProgress{Run: 1, Runs: []cell.RunProgress{{Run: 1, Worker: fmt.Sprintf("worker-%d", i), Life: 1775216949216}}})
		}
		p.Steps = append(p.Steps, s)
	}
	return cell.Change{Job: workload.Job{ID: id, Queue: "q"}, New: isNew, Progress: p}
}

// storedRows is the content of a store.
type storedRows map[string]ledger.Row

func (t storedRows) commit(c *qt.C, r *scheduler.Records) (rows int) {
	changes, err := r.DrainChanges()
	c.Assert(err, qt.IsNil)
	rows, _ = sizeOf(changes)
	t.write(changes)
	return rows
}

// write applies changes.
func (t storedRows) write(changes []ledger.Change) {
	for _, change := range changes {
		for _, row := range change.Writes {
			t[row.Table+"/"+row.Key] = row
		}
		for _, row := range change.Removes {
			delete(t, row.Table+"/"+row.Key)
		}
	}
}

// bytes returns the total size of all values.
func (t storedRows) bytes() int {
	n := 0
	for _, row := range t {
		n += len(row.Value)
	}
	return n
}

// loadRecords returns records that a new owner loads from the store.
func (t storedRows) loadRecords(c *qt.C) *scheduler.Records {
	r := scheduler.NewRecords("p")
	c.Assert(r.Load(slices.Collect(maps.Values(t))...), qt.IsNil)
	return r
}

// rows returns the rows of one table.
func (t storedRows) rows(name string) []ledger.Row {
	var rows []ledger.Row
	for key, row := range t {
		if strings.HasPrefix(key, name+"/") {
			rows = append(rows, row)
		}
	}
	return rows
}

// checkTasks checks that the first jobs are loaded, each with the given number of tasks.
func checkTasks(c *qt.C, r *scheduler.Records, jobs, tasks int) {
	for i := range jobs {
		p, ok := r.Progress(fmt.Sprintf("%016x", i))
		c.Assert(ok, qt.IsTrue)
		c.Assert(p.Steps[0].Tasks, qt.HasLen, tasks)
	}
}

// The backlog behind a slow store must fit one transaction of 100 rows.
func TestManyChangesTakeFewRows(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	for i := range 300 {
		r.Add(0, change(fmt.Sprintf("%016x", i), workload.Running, 6, false))
	}
	c.Assert(store.commit(c, r) <= 40, qt.IsTrue)
	checkTasks(c, store.loadRecords(c), 300, 6)
}

// A row holds at most 64 KiB. Large values take more pages, which are removed when the
// values shrink.
func TestRowsOfLargeProgressAreBounded(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	for i := range 64 {
		r.Add(0, change(fmt.Sprintf("%016x", i), workload.Running, workload.MaxTasks, false))
	}
	store.commit(c, r)
	for key, row := range store {
		c.Assert(len(row.Value) <= 64<<10, qt.IsTrue, qt.Commentf("row %s has %d bytes", key, len(row.Value)))
	}
	pages := len(store)
	next := store.loadRecords(c)
	for i := range 64 {
		next.Add(0, change(fmt.Sprintf("%016x", i), workload.Running, 1, false))
	}
	store.commit(c, next)
	c.Assert(len(store) < pages, qt.IsTrue)
	checkTasks(c, store.loadRecords(c), 64, 1)
}

// A final job must keep its progress until its runs have ended, so that the next owner
// knows which capacity they use.
func TestFinalJobWithRunsKeepsItsProgress(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	r.Add(0, change("a", workload.Running, 2, true))
	store.commit(c, r)
	r.Add(0, change("a", workload.Cancelled, 2, false))
	store.commit(c, r)
	next := store.loadRecords(c)
	_, ok := next.Progress("a")
	c.Assert(ok, qt.IsTrue)
	c.Assert(next.Finished("a"), qt.IsTrue)
	next.Add(0, change("a", workload.Cancelled, 0, false))
	store.commit(c, next)
	_, ok = store.loadRecords(c).Progress("a")
	c.Assert(ok, qt.IsFalse)
	c.Assert(store.rows(ledger.JobTable), qt.HasLen, 0)
}

func TestAbandonedJobLeavesNoRows(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	r.Add(0, change("a", workload.Queued, 0, true))
	r.Abandon("a")
	store.commit(c, r)
	c.Assert(store.rows(ledger.JobTable), qt.HasLen, 0)
	_, ok := store.loadRecords(c).Progress("a")
	c.Assert(ok, qt.IsFalse)
}

func TestCorruptRowsAreErrors(t *testing.T) {
	r := scheduler.NewRecords("p")
	for _, row := range []ledger.Row{
		{Table: ledger.ProgressTable, Key: "100.0", Value: []byte("no")},
		{Table: ledger.FinishedTable, Key: "7"},
		{Table: ledger.ProgressTable, Key: "999.0", Value: []byte{0xa0}},
		{Table: ledger.JobTable, Key: "pa", Value: []byte{0xa0}},
		{Table: ledger.JobTable, Key: "a", Value: []byte{0x80}},
		{Table: ledger.JobTable},
		{Table: ledger.ProgressTable, Key: "p00000000000000AB", Value: []byte{0xa0}},
		{Table: ledger.ProgressTable, Key: "p1", Value: []byte{0xa0}},
		{Table: ledger.ProgressTable, Key: "p0000000000000001", Value: []byte{0xf6}},
	} {
		qt.Check(t, r.Load(row), qt.IsNotNil, qt.Commentf("%v", row))
	}
}
