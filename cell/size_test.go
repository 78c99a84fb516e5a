package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// BenchmarkJob runs jobs of tasks that need advice through an otherwise idle cell, for
// different numbers of workers.
func BenchmarkJob(b *testing.B) {
	for _, workers := range []int{48, 300, 3000} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) {
			w := newWorld(workers)
			for n := 0; b.Loop(); n++ {
				w.runToEnd(id(n))
			}
		})
	}
}

// runToEnd submits a job of four tasks that need advice and lets it end.
func (w *world) runToEnd(id string) {
	w.now += 5 * ms
	w.Submit(w.now, job(id, "Advised", 4, nil))
	w.schedule()
	for _, q := range w.questions {
		tickets := map[string]string{}
		for _, named := range q.Workers[:len(q.Workers)/3] {
			tickets[named] = "T-" + named
		}
		w.HandleAdvice(w.now, w.now, q, tickets)
	}
	w.questions = nil
	w.schedule()
	for _, s := range w.starts {
		f := w.workers[s.Worker.ID]
		f.end(s.Task, s.Run, cell.EndedDone)
		w.report(f.ID)
		w.schedule()
	}
	w.starts = nil
}

// schedule runs a scheduling pass and carries out its orders to start.
func (w *world) schedule() {
	w.Schedule(w.now)
	actions, changes, _ := w.TakeOutput()
	for _, c := range changes {
		w.states[c.Job.ID] = c.Progress.State
	}
	w.questions = append(w.questions, actions.Questions...)
	for _, s := range actions.Starts {
		w.start(s)
	}
}

// The scheduling decisions for a cell with ten times the workers must not allocate much more
// memory. Allocation is compared because it is reproducible, unlike time.
func TestDecisionCostDoesNotGrowWithTheCell(t *testing.T) {
	bytes := func(workers int) float64 {
		w := newWorld(workers)
		n := 0
		r := testing.Benchmark(func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				n++
				w.runToEnd(id(n))
			}
		})
		return float64(r.AllocedBytesPerOp())
	}
	small, large := bytes(300), bytes(3000)
	qt.Assert(t, large <= 2*small, qt.IsTrue, qt.Commentf("%.0f bytes a job with 300 workers, %.0f with 3,000", small, large))
}

// Steps that arrive one after another in a large idle cell must ask about different workers,
// so that these share the work.
func TestQuestionsSpreadOverALargeCell(t *testing.T) {
	const workers, jobs = 3000, 30
	w := newWorld(workers)
	named, names := map[string]bool{}, 0
	for n := range jobs {
		w.Submit(w.now, job(id(n), "Advised", 1, nil))
		w.schedule()
		for _, q := range w.questions {
			names += len(q.Workers)
			for _, name := range q.Workers {
				named[name] = true
			}
		}
		w.questions = nil
	}
	qt.Assert(t, names >= jobs, qt.IsTrue)
	qt.Assert(t, len(named), qt.Equals, names)
}

// Idle workers of a large cell are polled less often, and must get work all the same.
func TestIdleWorkersOfALargeCellArePolledLessOften(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3000)
	c.Assert(w.IdlePollDelay("w0"), qt.Equals, 8*second)
	w.now += 8 * second
	w.submit(job(id(1), "Plain", 1, nil))
	c.Assert(w.states[id(1)], qt.Equals, workload.Running)
	busy := w.starts[0].Worker.ID
	c.Assert(w.IdlePollDelay(busy), qt.Equals, time.Duration(0))
	w.now += 8 * second
	w.submit(job(id(2), "Plain", 1, nil))
	c.Assert(w.states[id(2)], qt.Not(qt.Equals), workload.Running)
}

// In a cell of the size that the users have, an idle worker is polled as often as a busy one.
func TestIdleWorkersOfASmallCellArePolledAsUsual(t *testing.T) {
	qt.Assert(t, newWorld(350).IdlePollDelay("w0"), qt.Equals, time.Duration(0))
}

// A task is placed on an idle worker whose lease has expired since it needed none. While the
// run waits for its record it must not count as lapsed: its order is about to be sent.
func TestPlacedRunOnIdleWorkerWithExpiredLeaseDoesNotLapse(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3000)
	w.now += 8 * second
	w.Submit(w.now, job(id(1), "Plain", 1, nil))
	w.Schedule(w.now)
	actions, _, _ := w.TakeOutput()
	c.Assert(actions.Starts, qt.HasLen, 1)
	w.now += 100 * ms
	w.Tick(w.now, w.now.Milliseconds())
	c.Assert(w.ShouldSend(actions.Starts[0]), qt.IsTrue)
}
