package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// gangOfTwo returns a world in which a gang of two tasks, a worker each, is at work.
func gangOfTwo(c *qt.C) *world {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) {
		s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 20*second
	}))
	c.Assert(w.runningAll(), qt.Equals, 2)
	return w
}

// progressTo lets time pass while the members of a gang show what they have done.
func (w *world) progressTo(first, second float64) {
	w.now += 500 * ms
	w.workers["w0"].running[0].Percent = first
	w.workers["w1"].running[0].Percent = second
	w.reportAll()
}

// Members of a gang are of different size and end together: one that is done shows no
// progress while it waits for a larger one, for a quarter of the largest job's time.
func TestMemberOfAGangThatIsDoneIsNotStuck(t *testing.T) {
	c := qt.New(t)
	w := gangOfTwo(c)
	for at := 5.0; at <= 100; at += 5 {
		w.progressTo(min(100, 2*at), at)
	}
	c.Assert(w.stops, qt.HasLen, 0)
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
}

// The member that hangs is found while the other waits for it.
func TestMemberOfAGangThatHangsIsStopped(t *testing.T) {
	c := qt.New(t)
	w := gangOfTwo(c)
	for at := 5.0; at <= 100 && len(w.stops) == 0; at += 5 {
		w.progressTo(min(100, 2*at), min(40, at))
	}
	c.Assert(w.stops, qt.HasLen, 1)
	c.Assert(w.stops[0].Worker.ID, qt.Equals, "w1")
}

// A gang of which all members are done and none ends is stuck.
func TestGangThatDoesNotEndIsStopped(t *testing.T) {
	c := qt.New(t)
	w := gangOfTwo(c)
	for n := 0; n < 10 && len(w.stops) == 0; n++ {
		w.progressTo(100, 100)
	}
	c.Assert(len(w.stops) > 0, qt.IsTrue)
}

// Several gangs wait. One that fits asks for its tickets; tasks that come after it must
// not take its room before the answer, though two gangs before it find none.
func TestRoomOfAGangIsKeptWhileItAsks(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.addWorker("w2", "rare")
	w.reportAll()
	for n := range 2 {
		w.submit(job(id(n), "Plain", 2, func(s *workload.Step) {
			s.Gang, s.Requires, s.Size.Processors, s.Estimate = true, "rare", 8*task.Processor, 4*second
		}))
	}
	w.submit(job(id(3), "Plain", 2, func(s *workload.Step) { s.Size.Processors, s.MaxPerWorker = 4*task.Processor, 1 }))
	w.submit(job(id(2), "Advised", 2, func(s *workload.Step) {
		s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 5*second
	}))
	common := func(id string) bool { return id != "w2" }
	w.advise(common)
	// The tickets of the first answer have lapsed by the time that there is room.
	w.now += 3 * second
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.reportAll()
	c.Assert(w.questions, qt.HasLen, 1)
	for n := range 4 {
		w.submit(job(id(10+n), "Plain", 1, func(s *workload.Step) { s.Size.Processors, s.Estimate = 4*task.Processor, 20*second }))
	}
	w.advise(common)
	c.Assert(w.states[id(2)], qt.Equals, workload.Running)
}
