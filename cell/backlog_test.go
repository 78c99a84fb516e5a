package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// backlog returns a full cell in which a number of jobs wait.
func backlog(jobs int) *world {
	w := newWorld(20)
	w.submit(job(id(0), "Plain", 100, nil))
	for n := 1; n <= jobs; n++ {
		w.Submit(w.now, job(id(n), "Plain", 2, nil))
	}
	w.schedule()
	return w
}

// An outage leaves a backlog of jobs. The cost of a scheduling pass must be bounded whatever
// its length, so that the owner can still process new events.
func TestSchedulingPassCostIsBoundedForABacklog(t *testing.T) {
	allocations := func(jobs int) float64 {
		w := backlog(jobs)
		return testing.AllocsPerRun(20, func() {
			w.now++
			w.Cancel(w.now, id(0))
			w.SetCatalogue(catalogue())
			w.Schedule(w.now)
		})
	}
	small, large := allocations(400), allocations(4000)
	qt.Assert(t, large <= 1.5*small, qt.IsTrue, qt.Commentf("%.0f allocations with 400 jobs, %.0f with 4,000", small, large))
}

// A backlog of jobs that can't be placed ranks before a job that could run: the job must be
// evaluated, and start, within a second.
func TestRunnableJobStartsBehindABacklog(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	for n := 1; n <= 1000; n++ {
		w.Submit(w.now, job(id(n), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 1000 * task.Processor }))
	}
	w.Submit(w.now, job(id(2000), "Plain", 1, func(s *workload.Step) { s.Estimate = 30 * second }))
	began := w.now
	for w.states[id(2000)] != workload.Running {
		w.now += 20 * ms
		w.SetCatalogue(catalogue())
		w.schedule()
		c.Assert(w.now-began <= second, qt.IsTrue)
	}
}

// A backlog of late jobs must not ask for advice faster than the service answers: a new job
// needs hosts that are free to ask for it.
func TestPendingQuestionsOfLateJobsAreLimited(t *testing.T) {
	c := qt.New(t)
	w := newWorld(100)
	for n := 1; n <= 1000; n++ {
		w.Submit(w.now, job(id(n), "Advised", 1, nil))
	}
	w.now += 6 * second
	w.reportAll()
	w.schedule()
	late := len(w.questions)
	c.Assert(late <= 64, qt.IsTrue, qt.Commentf("%d questions", late))
	w.Submit(w.now, job(id(2000), "Advised", 1, nil))
	w.schedule()
	c.Assert(w.questions, qt.HasLen, late+1)
	c.Assert(w.questions[late].Step.Job, qt.Equals, id(2000))
}

// A backlog ranks before a step that can earn nothing any more and whose question has been
// answered. The step must start in the next scheduling pass, as its tickets would expire
// before the rotation reaches it in a long backlog.
func TestAnsweredStepStartsImmediatelyBehindABacklog(t *testing.T) {
	c := qt.New(t)
	w := newWorld(20)
	for n := 1; n <= 4000; n++ {
		w.Submit(w.now, job(id(n), "Plain", 1, func(s *workload.Step) { s.Size.Processors = 1000 * task.Processor }))
	}
	w.Submit(w.now, job(id(5000), "Advised", 1, func(s *workload.Step) { s.Estimate = 30 * second }))
	for len(w.questions) == 0 {
		w.now += 20 * ms
		w.SetCatalogue(catalogue())
		w.schedule()
	}
	c.Assert(w.questions[0].Step.Job, qt.Equals, id(5000))
	tickets := map[string]string{}
	for _, worker := range w.questions[0].Workers {
		tickets[worker] = "T"
	}
	w.HandleAdvice(w.now, w.now, w.questions[0], tickets)
	w.schedule()
	c.Assert(w.states[id(5000)], qt.Equals, workload.Running)
}

// Jobs that are in time await many answers, as after a loss of hosts. A late job must still be
// able to ask: its question ranks after theirs, but must not wait until none of them is
// pending.
func TestLateJobAsksDespitePendingQuestionsOfJobsInTime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(100)
	w.Submit(w.now, job(id(1), "Advised", 1, nil))
	w.now += 6 * second
	for n := 2; n <= 150; n++ {
		w.Submit(w.now, job(id(n), "Advised", 1, nil))
	}
	w.schedule()
	asked := false
	for _, q := range w.questions {
		asked = asked || q.Step.Job == id(1)
	}
	c.Assert(asked, qt.IsTrue)
}
