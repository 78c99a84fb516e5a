package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// largeTasks returns a change that makes each task of a step use most of a worker, and makes
// the step a gang if gang is set.
func largeTasks(gang bool) func(s *workload.Step) {
	return func(s *workload.Step) { s.Gang, s.Size.Processors = gang, 8*task.Processor }
}

// drainExpired empties a full cell once all waiting jobs have expired, so that they are
// served in order of submission.
func (w *world) drainExpired() {
	w.advance(15 * second)
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.advance(5 * second)
}

// Workers have left, and a gang needs more than there are. It held the capacity of all
// remaining ones, so that a later job never started in an empty cell.
func TestGangTooLargeForAllWorkersHoldsNoCapacity(t *testing.T) {
	w := newWorld(4)
	w.submit(job(id(0), "Plain", 4, largeTasks(false)))
	w.submit(job(id(1), "Plain", 5, largeTasks(true)))
	w.now += ms
	w.submit(job(id(2), "Plain", 4, largeTasks(false)))
	w.drainExpired()
	qt.Assert(t, w.runningCount(), qt.Equals, 4)
}

// The same for a gang for which too few workers are eligible, all of which it knows.
func TestGangWithTooFewEligibleWorkersHoldsNoCapacity(t *testing.T) {
	w := newWorld(8)
	w.submit(job(id(0), "Plain", 8, largeTasks(false)))
	w.submit(job(id(1), "Advised", 5, largeTasks(true)))
	w.advise(func(id string) bool { return id < "w3" })
	w.now += 2 * second
	w.submit(job(id(2), "Plain", 8, largeTasks(false)))
	w.drainExpired()
	qt.Assert(t, w.runningCount(), qt.Equals, 8)
}

// A gang that fits once other runs have ended keeps its capacity held, even while a worker
// that it needs is paused after a failure.
func TestGangThatFitsLaterHoldsCapacity(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.submit(job(id(1), "Plain", 4, largeTasks(false)))
	w.now += ms
	w.submit(job(id(2), "Plain", 4, largeTasks(true)))
	w.workers["w0"].endAll(cell.EndedDone)
	w.workers["w1"].endAll(cell.EndedFailed)
	w.reportAll()
	w.now += ms
	w.submit(job(id(3), "Plain", 1, largeTasks(false)))
	w.reportAll()
	for _, s := range w.starts {
		c.Assert(s.Task.Job, qt.Not(qt.Equals), id(3))
	}
}
