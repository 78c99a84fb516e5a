package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// testGangAmongLongTasks fills a cell with tasks that take ten seconds and submits a gang that
// needs all workers and has no advice yet. It returns the world once the gang has its answer.
func testGangAmongLongTasks(change func(s *workload.Step)) *world {
	w := newWorld(4)
	w.submit(job(id(1), "Plain", 20, func(s *workload.Step) {
		s.Estimate = 10 * second
		change(s)
	}))
	w.advance(second)
	w.submit(job(id(2), "Advised", 4, func(s *workload.Step) { s.Gang, s.Estimate = true, second }))
	for range 4 {
		w.advise(func(string) bool { return true })
		w.advance(200 * ms)
	}
	return w
}

// A cell is full of long tasks whose job has time, and a wide job with little time arrives. The
// tasks save their progress: some must make room at once, and resume from their checkpoints.
func TestGangPreemptsTasksWithCheckpoints(t *testing.T) {
	c := qt.New(t)
	w := testGangAmongLongTasks(func(s *workload.Step) { s.Checkpoints = true })
	c.Assert(w.states[id(2)], qt.Equals, workload.Running)
	c.Assert(len(w.stops) > 0 && len(w.stops) <= 4, qt.IsTrue, qt.Commentf("%d runs stopped", len(w.stops)))
	for _, f := range w.workers {
		f.endAll(cell.EndedDone)
	}
	w.reportAll()
	w.advance(second)
	for _, s := range w.starts[len(w.starts)-len(w.stops):] {
		c.Assert(s.Task.Job, qt.Equals, id(1))
		c.Assert(s.Run, qt.Equals, 2)
	}
}

// Tasks without checkpoints would lose their work.
func TestGangDoesNotPreemptTasksWithoutCheckpoints(t *testing.T) {
	w := testGangAmongLongTasks(func(s *workload.Step) {})
	qt.Assert(t, w.stops, qt.HasLen, 0)
	qt.Assert(t, w.states[id(2)], qt.Equals, workload.Queued)
}

// A job that would miss its objective keeps its runs: the gang's gain would be its loss.
func TestGangDoesNotPreemptTasksWithoutSlack(t *testing.T) {
	w := testGangAmongLongTasks(func(s *workload.Step) { s.Checkpoints, s.Estimate = true, second })
	qt.Assert(t, w.stops, qt.HasLen, 0)
}

// Stopping takes longer than the answer of the advice service. The gang must keep what it has
// preempted: other steps would take it as it becomes free, and the gang would preempt again.
func TestGangKeepsPreemptedCapacityUntilRunsHaveStopped(t *testing.T) {
	c := qt.New(t)
	w := newWorld(4)
	w.submit(job(id(1), "Plain", 20, func(s *workload.Step) { s.Estimate, s.Checkpoints = 10*second, true }))
	w.advance(second)
	w.submit(job(id(2), "Advised", 4, func(s *workload.Step) { s.Gang, s.Estimate = true, second }))
	for _, f := range w.workers {
		f.unresponsive = true
	}
	// The first answer names the workers; the second one has the tickets.
	for range 2 {
		w.advise(func(string) bool { return true })
		w.advance(300 * ms)
	}
	preempted := len(w.stops)
	c.Assert(preempted, qt.Equals, 4)
	for _, f := range w.workers {
		f.unresponsive = false
	}
	for _, s := range w.stops {
		w.workers[s.Worker.ID].end(s.Task, s.Run, cell.EndedStopped)
	}
	w.submit(job(id(3), "Plain", 4, func(s *workload.Step) { s.Estimate = 100 * ms }))
	w.reportAll()
	c.Assert(w.states[id(2)], qt.Equals, workload.Running)
	c.Assert(w.states[id(3)], qt.Equals, workload.Queued)
	c.Assert(w.stops, qt.HasLen, preempted)
}
