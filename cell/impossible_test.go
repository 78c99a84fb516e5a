package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// large makes a step of tasks that take most of a worker each, as a gang or not.
func large(gang bool) func(s *workload.Step) {
	return func(s *workload.Step) { s.Gang, s.Size.Processors = gang, 8*task.Processor }
}

// emptied lets a full cell become empty once all that waits is too late to earn anything, so
// that the first that came is served first.
func (w *world) emptied() {
	w.pass(15 * second)
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.pass(5 * second)
}

// Workers have left, and a gang needs more than there are. It kept the room of the others,
// and a later job never started in an empty cell.
func TestGangThatCanNotFitKeepsNoRoom(t *testing.T) {
	w := newWorld(4)
	w.submit(job(id(0), "Plain", 4, large(false)))
	w.submit(job(id(1), "Plain", 5, large(true)))
	w.now += ms
	w.submit(job(id(2), "Plain", 4, large(false)))
	w.emptied()
	qt.Assert(t, w.runningAll(), qt.Equals, 4)
}

// The same for a gang that too few workers may run, all of which it knows.
func TestGangWithTooFewGoodWorkersKeepsNoRoom(t *testing.T) {
	w := newWorld(8)
	w.submit(job(id(0), "Plain", 8, large(false)))
	w.submit(job(id(1), "Advised", 5, large(true)))
	w.advise(func(id string) bool { return id < "w3" })
	w.now += 2 * second
	w.submit(job(id(2), "Plain", 8, large(false)))
	w.emptied()
	qt.Assert(t, w.runningAll(), qt.Equals, 8)
}

// A gang that fits once others have ended keeps its room, also while a worker that it needs
// rests after a failure.
func TestGangThatFitsLaterKeepsItsRoom(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.submit(job(id(1), "Plain", 4, large(false)))
	w.now += ms
	w.submit(job(id(2), "Plain", 4, large(true)))
	w.workers["w0"].endAll(cell.EndedDone)
	w.workers["w1"].endAll(cell.EndedFailed)
	w.reportAll()
	w.now += ms
	w.submit(job(id(3), "Plain", 1, large(false)))
	w.reportAll()
	for _, s := range w.starts {
		c.Assert(s.Task.Job, qt.Not(qt.Equals), id(3))
	}
}
