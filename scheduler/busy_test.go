package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// busyChanges is the number of jobs that change between two transactions of a busy
	// large cell, of which busyTurnover end and as many are new: 680 starts and 40
	// transactions per second.
	busyChanges  = 20
	busyTurnover = 2
	// busyFinished is the number of final states that such a cell retains: 40 jobs end
	// per second of a simulated day of about 100 s, and a state is kept for three
	// minutes, that is, to the end of the day.
	busyFinished = 4000
	busyWorkers  = 370
)

// busyCell generates the changes of a large cell: jobs of 3 to 60 tasks, some of them
// done, some running and the rest waiting.
type busyCell struct {
	random  *rand.Rand
	records *scheduler.Records
	jobs    []cell.Change
	// finished holds the final jobs, oldest first.
	finished []string
	// created counts all jobs created so far.
	created int
}

func newBusyCell(jobs int) *busyCell {
	b := &busyCell{random: rand.New(rand.NewPCG(1, 2)), records: scheduler.NewRecords("p")}
	for range busyFinished {
		b.records.Add(0, b.end(b.job()))
	}
	for range jobs {
		j := b.job()
		b.records.Add(0, j)
		b.jobs = append(b.jobs, j)
	}
	return b
}

// job returns a new job without runs.
func (b *busyCell) job() cell.Change {
	b.created++
	tasks := make([]cell.TaskProgress, 3+b.random.IntN(58))
	step := workload.Step{TaskCount: len(tasks), Size: task.Size{Processors: 1000, Memory: 1 << 30}}
	return cell.Change{
		Job:      workload.Job{ID: fmt.Sprintf("%016x", b.random.Uint64()), Queue: "nightly", Spec: "image-7 --part 3", Steps: []workload.Step{step}},
		New:      true,
		Progress: cell.Progress{State: workload.Running, Steps: []cell.StepProgress{{Tasks: tasks}}},
	}
}

// advance starts, ends or skips each task of a job at random.
func (b *busyCell) advance(c *cell.Change) {
	c.New = false
	tasks := make([]cell.TaskProgress, len(c.Progress.Steps[0].Tasks))
	for i, t := range c.Progress.Steps[0].Tasks {
		switch {
		case b.random.IntN(4) > 0 || t.Done:
		case len(t.Runs) > 0:
			t.Done, t.Runs = true, nil
		default:
			t.Run++
			t.Runs = []cell.RunProgress{{Run: t.Run, Worker: fmt.Sprintf("batch-%03d", b.random.IntN(busyWorkers)), Life: 1775216949216}}
		}
		tasks[i] = t
	}
	c.Progress.Steps = []cell.StepProgress{{Tasks: tasks}}
}

// end returns the change that makes a job final.
func (b *busyCell) end(c cell.Change) cell.Change {
	c.New, c.Progress = false, cell.Progress{State: workload.Done}
	b.finished = append(b.finished, c.Job.ID)
	return c
}

// changes returns the changes of one transaction.
func (b *busyCell) changes() []cell.Change {
	var changes []cell.Change
	for range busyChanges - 2*busyTurnover {
		c := &b.jobs[b.random.IntN(len(b.jobs))]
		b.advance(c)
		changes = append(changes, *c)
	}
	for range busyTurnover {
		i := b.random.IntN(len(b.jobs))
		ended := b.end(b.jobs[i])
		b.jobs[i] = b.job()
		changes = append(changes, ended, b.jobs[i])
	}
	return changes
}

// record makes a transaction of changes and returns its rows.
func (b *busyCell) record(tb testing.TB, changes []cell.Change) []ledger.Change {
	for _, c := range changes {
		b.records.Add(int64(b.created), c)
	}
	for len(b.finished) > busyFinished {
		b.records.RemoveFinished(b.finished[0])
		b.finished = b.finished[1:]
	}
	rows, err := b.records.DrainChanges()
	if err != nil {
		tb.Fatal(err)
	}
	return rows
}

// warmUp runs transactions until their cost is steady, by which time the rows of the
// first final jobs have been removed.
func (b *busyCell) warmUp(tb testing.TB) {
	for range 400 {
		b.record(tb, b.changes())
	}
}

// sizeOf returns the number of rows of a transaction and the total size of their values.
func sizeOf(changes []ledger.Change) (rows, size int) {
	for _, c := range changes {
		rows += len(c.Writes) + len(c.Removes)
		for _, r := range c.Writes {
			size += len(r.Value)
		}
	}
	return rows, size
}

// BenchmarkBusyTransaction measures the cost of a transaction of a busy large cell to its
// owner, without the call to the store.
func BenchmarkBusyTransaction(b *testing.B) {
	for _, jobs := range []int{600, 1500} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			busy := newBusyCell(jobs)
			busy.warmUp(b)
			rows, size, n := 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for b.Loop() {
				b.StopTimer()
				changes := busy.changes()
				b.StartTimer()
				r, s := sizeOf(busy.record(b, changes))
				rows, size, n = rows+r, size+s, n+1
			}
			b.ReportMetric(float64(rows)/float64(n), "rows/op")
			b.ReportMetric(float64(size)/float64(n), "written-B/op")
		})
	}
}

// BenchmarkBusyRecovery measures the cost of loading the tables of such a cell, without
// the calls to the store.
func BenchmarkBusyRecovery(b *testing.B) {
	for _, jobs := range []int{600, 1500} {
		b.Run(fmt.Sprint(jobs), func(b *testing.B) {
			busy, store := newBusyCell(jobs), storedRows{}
			for range 800 {
				store.write(busy.record(b, busy.changes()))
			}
			rows := append(store.rows(ledger.FinishedTable), store.rows(ledger.ProgressTable)...)
			size := 0
			for _, r := range rows {
				size += len(r.Value)
			}
			b.ReportAllocs()
			for b.Loop() {
				if err := scheduler.NewRecords("p").Load(rows...); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(rows)), "rows/op")
			b.ReportMetric(float64(size), "read-B/op")
		})
	}
}
