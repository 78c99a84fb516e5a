package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// gangOfTwo returns a world that runs a gang of two tasks, each on its own worker.
func gangOfTwo(c *qt.C) *world {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) {
		s.Gang, s.Size.Processors, s.Estimate = true, 8*task.Processor, 20*second
	}))
	c.Assert(w.runningCount(), qt.Equals, 2)
	return w
}

// progressTo advances the clock and reports the progress of the two members of a gang.
func (w *world) progressTo(first, second float64) {
	w.now += 500 * ms
	w.workers["w0"].running[0].Percent = first
	w.workers["w1"].running[0].Percent = second
	w.reportAll()
}

// Members of a gang differ in size and end together. One that has finished its part shows no
// progress while it waits for a larger one, for up to a quarter of the duration of the
// largest job, and must not be stopped as stuck.
func TestCompleteGangMemberIsNotStuck(t *testing.T) {
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

// A member that hangs is detected while the other one waits for it.
func TestStuckGangMemberIsStopped(t *testing.T) {
	c := qt.New(t)
	w := gangOfTwo(c)
	for at := 5.0; at <= 100 && len(w.stops) == 0; at += 5 {
		w.progressTo(min(100, 2*at), min(40, at))
	}
	c.Assert(w.stops, qt.HasLen, 1)
	c.Assert(w.stops[0].Worker.ID, qt.Equals, "w1")
}

// A gang is stuck if all its members are complete and none ends.
func TestCompleteGangThatDoesNotEndIsStopped(t *testing.T) {
	c := qt.New(t)
	w := gangOfTwo(c)
	for n := 0; n < 10 && len(w.stops) == 0; n++ {
		w.progressTo(100, 100)
	}
	c.Assert(len(w.stops) > 0, qt.IsTrue)
}

// Several gangs wait. One that fits asks for its tickets; tasks ranked after it must not use
// its capacity before the answer arrives, even if two gangs ranked before it find none.
func TestCapacityIsHeldWhileAGangRenewsTickets(t *testing.T) {
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
	// The tickets of the first answer expire before there is capacity.
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
