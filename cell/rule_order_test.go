package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// chain returns a job of two steps with some tasks each; the second depends on the first.
func chain(id string, first, last int) workload.Job {
	size := task.Size{Processors: task.Processor}
	return workload.Job{ID: id, Queue: "Plain", Steps: []workload.Step{
		{TaskCount: first, Size: size, Estimate: second},
		{TaskCount: last, Size: size, Estimate: second, After: []int{0}},
	}}
}

// startCount returns the number of starts of a step.
func (w *world) startCount(id workload.StepID) int {
	n := 0
	for _, s := range w.starts {
		if s.Task.StepID == id {
			n++
		}
	}
	return n
}

// endTask ends the run of a task on whichever worker it is, and reports all workers.
func (w *world) endTask(id workload.TaskID, outcome cell.Outcome) {
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.Task == id {
				f.end(id, r.Run, outcome)
				break
			}
		}
	}
	w.reportAll()
}

// ORDER: one task of the previous step isn't done, since it runs, has failed or was stopped.
func TestStepWaitsForAllTasksOfPreviousStep(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(chain(id(1), 3, 2))
	before, after := workload.StepID{Job: id(1)}, workload.StepID{Job: id(1), Step: 1}
	last := workload.TaskID{StepID: before, Index: 2}
	w.endTask(workload.TaskID{StepID: before, Index: 0}, cell.EndedDone)
	w.endTask(workload.TaskID{StepID: before, Index: 1}, cell.EndedDone)
	for _, outcome := range []cell.Outcome{cell.EndedFailed, cell.EndedStopped, cell.EndedLapsed} {
		c.Assert(w.startCount(after), qt.Equals, 0)
		w.endTask(last, outcome)
		w.advance(second)
	}
	c.Assert(w.startCount(after), qt.Equals, 0)
	w.endTask(last, cell.EndedDone)
	c.Assert(w.startCount(after), qt.Equals, 2)
}

// ORDER: the previous step is done only in an earlier occurrence.
func TestStepWaitsForItsOwnOccurrence(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	j := chain(id(1), 1, 1)
	j.Schedule = workload.Schedule{Count: 2, First: w.now.Milliseconds(), Interval: 1000}
	w.submit(j)
	w.advance(second)
	w.endTask(workload.TaskID{StepID: workload.StepID{Job: j.ID}}, cell.EndedDone)
	c.Assert(w.startCount(workload.StepID{Job: j.ID, Step: 1}), qt.Equals, 1)
	c.Assert(w.startCount(workload.StepID{Job: j.ID, Occurrence: 1}), qt.Equals, 1)
	c.Assert(w.startCount(workload.StepID{Job: j.ID, Occurrence: 1, Step: 1}), qt.Equals, 0)
}

// ORDER: the next owner counts exactly the tasks that are done.
func TestNextOwnerKeepsTheOrderOfSteps(t *testing.T) {
	c := qt.New(t)
	earlier := newWorld(2)
	earlier.submit(chain(id(1), 2, 1))
	before, after := workload.StepID{Job: id(1)}, workload.StepID{Job: id(1), Step: 1}
	earlier.endTask(workload.TaskID{StepID: before}, cell.EndedDone)
	w := newWorld(2)
	w.now = earlier.now
	w.workers = earlier.workers
	w.Restore(w.now, w.now+second, earlier.jobs[id(1)], earlier.progress[id(1)])
	w.reportAll()
	w.advance(second)
	c.Assert(w.startCount(after), qt.Equals, 0)
	w.endTask(workload.TaskID{StepID: before, Index: 1}, cell.EndedDone)
	c.Assert(w.startCount(before), qt.Equals, 0)
	c.Assert(w.startCount(after), qt.Equals, 1)
}
