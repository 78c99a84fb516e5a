package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// chain returns a job of two steps of some tasks, of which the second comes after the first.
func chain(id string, first, last int) workload.Job {
	size := task.Size{Processors: task.Processor}
	return workload.Job{ID: id, Queue: "Plain", Steps: []workload.Step{
		{TaskCount: first, Size: size, Estimate: second},
		{TaskCount: last, Size: size, Estimate: second, After: []int{0}},
	}}
}

// startsOf counts the starts of a step.
func (w *world) startsOf(id workload.StepID) int {
	n := 0
	for _, s := range w.starts {
		if s.Task.StepID == id {
			n++
		}
	}
	return n
}

// endOne ends the run of a task, wherever it is, and reports it.
func (w *world) endOne(id workload.TaskID, how cell.Outcome) {
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.Task == id {
				f.end(id, r.Run, how)
				break
			}
		}
	}
	w.reportAll()
}

// ORDER: one task of the step before isn't done, as it runs, has failed or was stopped.
func TestStepWaitsForEachTaskBefore(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(chain(id(1), 3, 2))
	before, after := workload.StepID{Job: id(1)}, workload.StepID{Job: id(1), Step: 1}
	last := workload.TaskID{StepID: before, Index: 2}
	w.endOne(workload.TaskID{StepID: before, Index: 0}, cell.EndedDone)
	w.endOne(workload.TaskID{StepID: before, Index: 1}, cell.EndedDone)
	for _, how := range []cell.Outcome{cell.EndedFailed, cell.EndedStopped, cell.EndedLapsed} {
		c.Assert(w.startsOf(after), qt.Equals, 0)
		w.endOne(last, how)
		w.pass(second)
	}
	c.Assert(w.startsOf(after), qt.Equals, 0)
	w.endOne(last, cell.EndedDone)
	c.Assert(w.startsOf(after), qt.Equals, 2)
}

// ORDER: the step before is done in an earlier occurrence only.
func TestStepWaitsForItsOwnOccurrence(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := chain(id(1), 1, 1)
	j.Schedule = workload.Schedule{Count: 2, First: w.now.Milliseconds(), Interval: 1000}
	w.submit(j)
	w.pass(second)
	w.endOne(workload.TaskID{StepID: workload.StepID{Job: j.ID}}, cell.EndedDone)
	c.Assert(w.startsOf(workload.StepID{Job: j.ID, Step: 1}), qt.Equals, 1)
	c.Assert(w.startsOf(workload.StepID{Job: j.ID, Occurrence: 1}), qt.Equals, 1)
	c.Assert(w.startsOf(workload.StepID{Job: j.ID, Occurrence: 1, Step: 1}), qt.Equals, 0)
}

// ORDER: the next owner counts what is done, and no more.
func TestNextOwnerKeepsTheOrderOfSteps(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(2)
	earlier.submit(chain(id(1), 2, 1))
	before, after := workload.StepID{Job: id(1)}, workload.StepID{Job: id(1), Step: 1}
	earlier.endOne(workload.TaskID{StepID: before}, cell.EndedDone)
	w := newWorld(2)
	w.now = earlier.now
	w.workers = earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.pass(second)
	c.Assert(w.startsOf(after), qt.Equals, 0)
	w.endOne(workload.TaskID{StepID: before, Index: 1}, cell.EndedDone)
	c.Assert(w.startsOf(before), qt.Equals, 0)
	c.Assert(w.startsOf(after), qt.Equals, 1)
}
