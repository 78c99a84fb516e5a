package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A worker lists a run that this owner doesn't know, and goes on to list it whatever it is
// ordered. Each report makes the owner order a stop and ask for another report, which arrives
// within a millisecond. That must not become a busy loop, nor may the log be flooded. The worker
// gets no new work meanwhile, and does once the run is gone.
func TestUnknownRunThatStaysIsNotStoppedInALoop(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	odd := cell.ActiveRun{Task: workload.TaskID{StepID: workload.StepID{Job: "X"}}, Run: 7}
	stops, polls, lines := 0, 0, 0
	for end := w.now + 3*second; w.now < end; w.now += ms {
		w.HandleReport(w.now, w.now, "w0", cell.Report{Life: 1, Running: []cell.ActiveRun{odd}, Complete: true})
		actions, _, entries := w.TakeOutput()
		stops, polls, lines = stops+len(actions.Stops), polls+len(actions.Polls), lines+len(entries)
	}
	c.Assert(stops >= 3 && stops <= 12, qt.IsTrue, qt.Commentf("%d stops in 3 s", stops))
	c.Assert(polls >= 3 && polls <= 12, qt.IsTrue, qt.Commentf("%d polls in 3 s", polls))
	c.Assert(lines <= 12, qt.IsTrue, qt.Commentf("%d log lines in 3 s", lines))
	w.submit(job(id(1), "Plain", 1, nil))
	c.Assert(w.runningCount(), qt.Equals, 0)
	w.advance(3 * second)
	c.Assert(w.runningCount(), qt.Equals, 1)
	// A later run that isn't known is stopped at once.
	other := cell.ActiveRun{Task: odd.Task, Run: 8}
	w.HandleReport(w.now, w.now, "w0", cell.Report{Life: 1, Running: append([]cell.ActiveRun{other}, w.workers["w0"].running...), Complete: true})
	actions, _, _ := w.TakeOutput()
	c.Assert(actions.Stops, qt.HasLen, 1)
}

// A worker lists the end of a run that has no name of a task. It must be acknowledged, so that it
// leaves the list, and must change nothing else.
func TestEndWithoutTaskIsAcknowledged(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, nil))
	running := w.workers["w0"].running
	c.Assert(w.HandleReport(w.now, w.now, "w0", cell.Report{Life: 1, Running: running, Ended: []cell.EndedRun{{Number: 8}}, Complete: true}), qt.Equals, int64(8))
	w.step()
	c.Assert(w.starts, qt.HasLen, 1)
	c.Assert(w.stops, qt.HasLen, 0)
	w.workers["w0"].number = 8
	w.workers["w0"].endAll(cell.EndedDone)
	w.reportAll()
	c.Assert(w.states[id(1)], qt.Equals, workload.Done)
	c.Assert(w.starts, qt.HasLen, 1)
}
