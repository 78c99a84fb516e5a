package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A stream of small tasks fills all workers; on each, one ends and a new one arrives every
// 200 ms. The tasks of a gang need most of a worker each, so that no worker ever has the
// capacity for one unless it is kept from filling up again. Once the gang ranks first, it
// starts as soon as enough small tasks have ended.
func TestGangIsNotStarvedByAStreamOfSmallTasks(t *testing.T) { testGangsAmongSmallTasks(t, 4, 1) }

// The same in a cell of a hundred workers, with as many waiting gangs as in a burst: capacity
// must be held for each, not only for the first two.
func TestGangsAreNotStarvedByAStreamOfSmallTasks(t *testing.T) { testGangsAmongSmallTasks(t, 96, 4) }

// testGangsAmongSmallTasks submits gangs that together need a large part of each worker, into
// a cell with a stream of small tasks.
func testGangsAmongSmallTasks(t *testing.T, workers, gangs int) {
	const (
		// due is the latest start at which the gang is in time. drained is the time in which
		// the four small tasks in its way on a worker end.
		due, drained = 6 * second, second
	)
	w := newWorld(workers)
	next := 0
	submitSmall := func() {
		next++
		w.submit(job(id(next), "Plain", 1, nil))
	}
	for range 5 * workers {
		submitSmall()
	}
	began := w.now
	const gang = 1_000_000
	for n := range gangs {
		w.submit(job(id(gang+n), "Plain", workers/gangs, func(s *workload.Step) {
			s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 5*second
		}))
	}
	anyWaiting := func() bool {
		for n := range gangs {
			if w.states[id(gang+n)] != workload.Running {
				return true
			}
		}
		return false
	}
	for anyWaiting() {
		w.now += 200 * ms
		for _, f := range w.workers {
			submitSmall()
			if len(f.running) > 0 {
				f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
			}
		}
		w.reportAll()
		qt.Assert(t, w.now-began <= due+drained, qt.IsTrue, qt.Commentf("a gang still waits after %v", w.now-began))
	}
	t.Logf("the gangs started after %v", w.now-began)
}

// A gang needs whole workers, on each of which a service uses a part. It can't start before the
// service ends, and must hold no capacity until then: a job behind it would have nothing running
// though most of the room is free (LOST).
func TestGangThatCannotFitBesideServicesHoldsNothing(t *testing.T) {
	c := qt.New(t)
	const workers = 4
	w := newWorld(workers)
	w.submit(job(id(1), "Plain", workers, func(s *workload.Step) {
		s.Daemon, s.MaxPerWorker, s.Size.Processors = true, 1, task.Processor
	}))
	w.submit(job(id(2), "Plain", workers, func(s *workload.Step) {
		s.Gang, s.Size.Processors, s.Estimate = true, 10*task.Processor, 60*second
	}))
	w.advance(second)
	w.submit(job(id(3), "Plain", 2, func(s *workload.Step) { s.Estimate = 90 * second }))
	w.advance(second)
	c.Check(w.startedOn(id(2)), qt.HasLen, 0)
	c.Check(w.startedOn(id(3)), qt.HasLen, 2)
	// Once the service is gone the gang gets the room.
	w.Cancel(w.now, id(1))
	w.step()
	w.advance(2 * second)
	w.Cancel(w.now, id(3))
	w.step()
	w.advance(2 * second)
	c.Check(w.startedOn(id(2)), qt.HasLen, workers)
}
