package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/forecast"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// maxValueBytes is what a row of the store holds if its limit of 64 KiB is for the
	// encoded value.
	maxValueBytes = 48 << 10
	// maxNameBytes is the store's limit for a key, and so for the ID of a worker.
	maxNameBytes = 200
	// maxOccurringTasks is the most tasks that an accepted job has over all occurrences.
	maxOccurringTasks = 5000
)

// longProgress returns the progress of a job whose tasks all have as much to record as a task
// can have: two runs on workers with the longest IDs, and the longest checkpoint. The job has been moved to
// the service with the longest name.
func longProgress(j workload.Job) cell.Progress {
	p := cell.Progress{State: workload.Running, Policy: &workload.Policy{
		Version: 1 << 60, Service: strings.Repeat("s", cell.MaxServiceBytes), Priority: 1 << 30, MaxAttempts: 1 << 30, Stretch: 1.1, Allowance: 1 << 60,
		Advice: &workload.Advice{BaseDuration: 1 << 60, PerWorkerDuration: 1 << 60, TicketLifetime: 1 << 60},
	}}
	for k := range j.Occurrences() {
		for i, s := range j.Steps {
			step := cell.StepProgress{Occurrence: k, Step: i}
			for n := range s.TaskCount {
				t := cell.TaskProgress{Run: 1 << 30, Failures: 1 << 30, Checkpoint: strings.Repeat("c", cell.MaxCheckpointBytes)}
				for r := range 2 {
					worker := fmt.Sprintf("%0*d", maxNameBytes, n)
					t.Runs = append(t.Runs, cell.RunProgress{Run: 1<<30 - r, Worker: worker, Life: 1 << 60})
				}
				step.Tasks = append(step.Tasks, t)
			}
			p.Steps = append(p.Steps, step)
		}
	}
	return p
}

// largeJob returns a job with the given numbers of steps and occurrences, which together have
// as many tasks as an accepted job may have.
func largeJob(id string, steps, occurrences int) workload.Job {
	return jobOf(id, steps, occurrences, min(workload.MaxTasks, maxOccurringTasks/occurrences))
}

// jobOf returns a job whose steps have the given number of tasks in all.
func jobOf(id string, steps, occurrences, tasks int) workload.Job {
	j := workload.Job{ID: id, Queue: "q", Schedule: workload.Schedule{Count: occurrences, Interval: 1}}
	for i := range steps {
		j.Steps = append(j.Steps, workload.Step{TaskCount: tasks*(i+1)/steps - tasks*i/steps, Checkpoints: true})
	}
	return j
}

// checkRowSizes checks that the store accepts all rows.
func checkRowSizes(t testing.TB, store storedRows) {
	for key, row := range store {
		qt.Assert(t, len(row.Value) <= maxValueBytes, qt.IsTrue, qt.Commentf("row %s has %d bytes", key, len(row.Value)))
	}
}

// An accepted job has more to record than a row of the store holds: many tasks, occurrences and
// checkpoints, and workers with long IDs. The store must accept its record, or the owner and
// all after it can record nothing for any job (LOST, review/1).
func TestRecordsOfLargestJobsFitRows(t *testing.T) {
	for _, size := range []struct{ steps, occurrences int }{{1, 1}, {1, 5}, {1, 70}, {1, 5000}, {200, 1}, {200, 5}, {200, 25}, {7, 70}} {
		t.Run(fmt.Sprintf("%dSteps%dOccurrences", size.steps, size.occurrences), func(t *testing.T) {
			c := qt.New(t)
			j := largeJob(fmt.Sprintf("%016x", 1), size.steps, size.occurrences)
			r, store := scheduler.NewRecords("p"), storedRows{}
			p := longProgress(j)
			r.Add(0, cell.Change{Job: j, New: true, Progress: p})
			store.commit(c, r)
			checkRowSizes(t, store)
			loaded, ok := store.loadRecords(c).Progress(j.ID)
			c.Assert(ok, qt.IsTrue)
			c.Assert(loaded, qt.DeepEquals, p)
		})
	}
}

// Jobs of any size change at random, and owners follow one another. Each row fits the store, and
// the next owner loads what was recorded.
func TestRecordsOfChangingLargeJobsFitRows(t *testing.T) {
	rapid.Check(t, func(draws *rapid.T) {
		c := qt.New(t)
		r, store, recorded := scheduler.NewRecords("p"), storedRows{}, map[string]cell.Progress{}
		for range rapid.IntRange(1, 5).Draw(draws, "transactions") {
			id := fmt.Sprintf("%016x", rapid.IntRange(0, 2).Draw(draws, "job"))
			j := jobOf(id, rapid.IntRange(1, 5).Draw(draws, "steps"), rapid.IntRange(1, 5).Draw(draws, "occurrences"), rapid.IntRange(5, 80).Draw(draws, "tasks"))
			p := longProgress(j)
			p.Steps = p.Steps[:rapid.IntRange(0, len(p.Steps)).Draw(draws, "begun")]
			done := rapid.IntRange(1, 10).Draw(draws, "one in so many tasks is not done")
			for _, s := range p.Steps {
				for n := range s.Tasks {
					if n%done > 0 {
						s.Tasks[n] = cell.TaskProgress{Done: true, Run: 1}
					}
				}
			}
			if len(p.Steps) == 0 {
				p.Steps = nil
			}
			r.Add(0, cell.Change{Job: j, Progress: p})
			recorded[id] = p
			store.commit(c, r)
			checkRowSizes(t, store)
			next := store.loadRecords(c)
			for id, want := range recorded {
				loaded, ok := next.Progress(id)
				c.Assert(ok, qt.IsTrue)
				c.Assert(loaded, qt.DeepEquals, want)
			}
			if rapid.Bool().Draw(draws, "next owner") {
				r = next
			}
		}
	})
}

// A transaction writes the tasks of a large job that have changed, not all of them.
func TestTransactionWritesChangedTasksOnly(t *testing.T) {
	c := qt.New(t)
	j := largeJob(fmt.Sprintf("%016x", 1), 1, 5)
	r, store := scheduler.NewRecords("p"), storedRows{}
	p := longProgress(j)
	r.Add(0, cell.Change{Job: j, New: true, Progress: p})
	store.commit(c, r)
	p = longProgress(j)
	p.Steps[3].Tasks[500] = cell.TaskProgress{Done: true, Run: 2}
	r.Add(0, cell.Change{Job: j, Progress: p})
	changes, err := r.DrainChanges()
	c.Assert(err, qt.IsNil)
	_, written := sizeOf(changes)
	c.Assert(written <= maxValueBytes, qt.IsTrue, qt.Commentf("%d bytes", written))
	r.Add(0, cell.Change{Job: j, Progress: p})
	changes, err = r.DrainChanges()
	c.Assert(err, qt.IsNil)
	c.Assert(changes, qt.HasLen, 0, qt.Commentf("nothing has changed"))
}

// An earlier version recorded all tasks of a job in one value. The next owner loads it, and
// divides it at its first change.
func TestUndividedRecordIsDivided(t *testing.T) {
	c := qt.New(t)
	j := largeJob(fmt.Sprintf("%016x", 1), 1, 1)
	p := cell.Progress{State: workload.Running, Steps: []cell.StepProgress{{}}}
	for n := range j.Steps[0].TaskCount {
		p.Steps[0].Tasks = append(p.Steps[0].Tasks, cell.TaskProgress{Done: true, Run: 1 + n%5})
	}
	store := rowsOfBuckets(c, map[string]cell.Progress{j.ID: p})
	r := store.loadRecords(c)
	p.Steps[0].Tasks[999].Run = 9
	r.Add(0, cell.Change{Job: j, Progress: p})
	changes, err := r.DrainChanges()
	c.Assert(err, qt.IsNil)
	// The ledger may write the changes in several transactions; the owner may fail between any.
	for _, change := range changes {
		store.write([]ledger.Change{change})
		loaded, ok := store.loadRecords(c).Progress(j.ID)
		c.Assert(ok, qt.IsTrue)
		c.Assert(loaded.Steps[0].Tasks, qt.HasLen, 1000)
		c.Assert(loaded.Steps[0].Tasks[:999], qt.DeepEquals, p.Steps[0].Tasks[:999])
	}
	loaded, _ := store.loadRecords(c).Progress(j.ID)
	c.Assert(loaded, qt.DeepEquals, p)
}

// What an owner has learned about thousands of queues with long names fits rows of the store,
// and reaches the next owner; without most of the queues it takes fewer rows (LOST, review/1).
func TestLearnedValuesOfManyQueuesFitRows(t *testing.T) {
	c := qt.New(t)
	const queues = 3000
	learned := cell.Learned{Durations: map[string]forecast.Model{}, Speeds: map[string]cell.QueueSpeed{}, EligibleRatios: map[string]float64{}}
	catalogue := workload.Catalogue{Version: 2}
	for n := range queues {
		name := fmt.Sprintf("%0*d", 20+n%100, n)
		learned.Durations[name] = forecast.Model{Weight: 0.1 + float64(n), X: 1.7, Y: 2.3, XX: 3.1, XY: 4.9}
		learned.Speeds[name], learned.EligibleRatios[name] = cell.QueueSpeed{Mean: 0.7, Deviation: 0.3}, 0.3
		catalogue.Queues = append(catalogue.Queues, workload.Queue{Name: name})
	}
	first := ownerWithStore()
	first.ApplyCatalogue(catalogue)
	first.Cell().RestoreLearned(learned)
	rows, err := first.LearnedRows(time.Minute)
	c.Assert(err, qt.IsNil)
	for _, row := range rows {
		c.Assert(len(row.Value) <= maxValueBytes, qt.IsTrue, qt.Commentf("row %s has %d bytes", row.Key, len(row.Value)))
	}
	next := ownerWithStore(rows...)
	next.ApplyCatalogue(catalogue)
	c.Assert(next.RecoverLearned(context.Background()), qt.IsNil)
	c.Assert(next.Cell().Learned(), qt.DeepEquals, learned)
	unchanged, err := next.LearnedRows(2 * time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(unchanged, qt.HasLen, 0)
	next.ApplyCatalogue(workload.Catalogue{Version: 3, Queues: catalogue.Queues[:1]})
	fewer, removed, err := next.LearnedChanges(3 * time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(fewer, qt.HasLen, 1)
	c.Assert(removed, qt.HasLen, len(rows)-1)
}
