package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// startedOn returns the workers of a job's starts, in the order of the starts.
func (w *world) startedOn(job string) []string {
	var ids []string
	for _, s := range w.starts {
		if s.Task.Job == job {
			ids = append(ids, s.Worker.ID)
		}
	}
	return ids
}

// rackOf returns the rack of a worker; each rack has four.
func (w *world) rackOf(id string) string { return w.workers[id].Rack() }

// One rack has capacity for two members of the gang, the other for all. No member may go to
// the first, though small tasks there would make it the better fit.
func TestGangSharesARack(t *testing.T) {
	c := qt.New(t)
	w := newWorld(8)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) {
		s.Size.Processors, s.MaxPerWorker, s.Affinity = 4*task.Processor, 1, "r0"
	}))
	w.submit(job(id(2), "Plain", 3, func(s *workload.Step) {
		s.Gang, s.SameRack, s.Size.Processors = true, true, 8*task.Processor
	}))
	on := w.startedOn(id(2))
	c.Assert(on, qt.HasLen, 3)
	for _, worker := range on {
		c.Assert(w.rackOf(worker), qt.Equals, "r1")
	}
}

// A gang too large for any rack runs on two racks rather than never.
func TestGangLargerThanARackRuns(t *testing.T) {
	w := newWorld(8)
	w.submit(job(id(1), "Plain", 5, func(s *workload.Step) {
		s.Gang, s.SameRack, s.Size.Processors = true, true, 8*task.Processor
	}))
	qt.Assert(t, w.startedOn(id(1)), qt.HasLen, 5)
}

// A task goes to the rack of its data, though it would leave less capacity free on another
// worker. Without capacity there it goes elsewhere.
func TestTaskPrefersTheRackOfItsData(t *testing.T) {
	c := qt.New(t)
	w := newWorld(8)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 6 * task.Processor }))
	c.Assert(w.rackOf(w.startedOn(id(1))[0]), qt.Equals, "r0")
	near := func(s *workload.Step) { s.Size.Processors, s.Affinity = 4*task.Processor, "r1" }
	w.submit(job(id(2), "Plain", 8, near))
	for _, worker := range w.startedOn(id(2)) {
		c.Assert(w.rackOf(worker), qt.Equals, "r1")
	}
	w.submit(job(id(3), "Plain", 1, near))
	c.Assert(w.rackOf(w.startedOn(id(3))[0]), qt.Equals, "r0")
}

// A label is a requirement, not a preference: the task waits for a worker that has it.
func TestLabelIsRequired(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Requires = "rare" }))
	c.Assert(w.startedOn(id(1)), qt.HasLen, 0)
	w.addWorker("w9", "rare")
	w.reportAll()
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"w9"})
}

func TestMaxPerWorkerHoldsOverTime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 6, func(s *workload.Step) { s.Size.Processors, s.MaxPerWorker = task.Processor, 2 }))
	c.Assert(w.startedOn(id(1)), qt.HasLen, 4)
	f := w.workers["w0"]
	f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
	w.reportAll()
	c.Assert(w.startedOn(id(1))[4:], qt.DeepEquals, []string{"w0"})
}

// A gang with one member on each worker waits for a worker that is full of small tasks, with
// more of these waiting. Free capacity on the idle worker doesn't help its second member, so
// it must be held on the full one.
func TestCapacityIsHeldOnWorkersThatCanRunAMember(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	next := 0
	submitSmall := func() {
		next++
		w.submit(job(id(next), "Plain", 1, func(s *workload.Step) { s.Requires, s.Estimate = "full", 60*second }))
	}
	w.workers["w1"].Labels = append(w.workers["w1"].Labels, "full")
	w.HandleAnnouncement(w.now, w.workers["w1"].Worker)
	for range 10 {
		submitSmall()
	}
	const gang = 1_000_000
	w.submit(job(id(gang), "Plain", 2, func(s *workload.Step) {
		s.Gang, s.MaxPerWorker, s.Size.Processors = true, 1, 4*task.Processor
	}))
	for range 2 {
		w.now += 200 * ms
		f := w.workers["w1"]
		f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
		w.reportAll()
	}
	c.Assert(w.states[id(gang)], qt.Equals, workload.Running)
}

// Each occurrence starts once, when it is due.
func TestOccurrencesComeDue(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := job(id(1), "Plain", 1, nil)
	j.Schedule = workload.Schedule{Count: 3, First: (w.now + 2*second).Milliseconds(), Interval: 2000}
	w.submit(j)
	for begun := range 3 {
		w.advance(1900 * ms)
		c.Assert(w.startedOn(j.ID), qt.HasLen, begun)
		w.advance(100 * ms)
		c.Assert(w.startedOn(j.ID), qt.HasLen, begun+1)
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
	}
	w.reportAll()
	c.Assert(w.states[j.ID], qt.Equals, workload.Done)
}
