package cell_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

func anyWorker(string) bool { return true }

// The workers report to a new owner one after the other. A step whose first question was
// asked while few of them were known must also ask about the others.
func TestGangAsksAboutWorkersThatReportLater(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 8, func(s *workload.Step) { s.Gang = true }))
	qt.Assert(t, w.questions, qt.HasLen, 1)
	w.advise(anyWorker)
	qt.Assert(t, w.runningCount(), qt.Equals, 0)
	w.addWorker("w1", "r0")
	w.addWorker("w2", "r0")
	w.reportAll()
	w.advise(anyWorker)
	qt.Assert(t, w.runningCount(), qt.Equals, 8)
}

// Tasks that do not fit the eligible workers lead to a question about workers not named
// before.
func TestRemainingTasksAskAboutNewWorkers(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 8, nil))
	w.advise(anyWorker)
	qt.Assert(t, w.runningCount(), qt.Equals, 5)
	w.addWorker("w1", "r0")
	w.reportAll()
	w.advise(anyWorker)
	qt.Assert(t, w.runningCount(), qt.Equals, 8)
}

// A ticket that expired while the gang waited for capacity is renewed once there is capacity,
// for eligible workers only.
func TestExpiredTicketIsRenewedOnceThereIsCapacity(t *testing.T) {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 10, nil))
	w.submit(job(id(2), "Advised", 5, func(s *workload.Step) { s.Gang = true }))
	w.advise(func(id string) bool { return id == "w0" })
	w.advance(3 * second)
	qt.Assert(t, w.questions, qt.HasLen, 0)
	w.workers["w0"].endAll("Done")
	w.reportAll()
	qt.Assert(t, w.questions, qt.HasLen, 1)
	qt.Assert(t, w.questions[0].Workers, qt.DeepEquals, []string{"w0"})
	w.advise(anyWorker)
	qt.Assert(t, w.workers["w0"].running, qt.HasLen, 5)
}

// A slow store delays orders to start; a ticket that would expire meanwhile is not used.
func TestTicketExpiringBeforeTheRecordIsNotUsed(t *testing.T) {
	w := newWorld(1)
	w.SetRecordDelay(1900 * ms)
	w.submit(job(id(1), "Advised", 1, nil))
	w.advise(anyWorker)
	qt.Assert(t, w.starts, qt.HasLen, 0)
	w.SetRecordDelay(30 * ms)
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 1)
}

// A burst of small urgent tasks arrives while the tickets of a gang are pending: the capacity
// booked for the gang must stay held.
func TestCapacityIsHeldWhileTicketsArePending(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 5, nil))
	w.submit(job(id(2), "Advised", 5, func(s *workload.Step) { s.Gang = true }))
	w.advise(anyWorker)
	w.advance(3 * second)
	w.workers["w0"].endAll("Done")
	w.reportAll()
	qt.Assert(t, w.questions, qt.HasLen, 1)
	w.submit(job(id(3), "Plain", 5, func(s *workload.Step) { s.Estimate = 10 * ms }))
	qt.Assert(t, w.runningCount(), qt.Equals, 0)
	w.advise(anyWorker)
	qt.Assert(t, w.workers["w0"].running, qt.HasLen, 5)
	qt.Assert(t, w.workers["w0"].running[0].Task.Job, qt.Equals, id(2))
}

// In an idle cell of hundreds of workers, a question names only as many as a small step
// needs, because each further worker adds to its duration.
func TestQuestionNamesOnlyAsManyWorkersAsNeeded(t *testing.T) {
	c := qt.New(t)
	w := newWorld(300)
	w.Submit(w.now, job(id(1), "Advised", 2, nil))
	w.schedule()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(len(w.questions[0].Workers) <= 36, qt.IsTrue, qt.Commentf("%d workers for 2 tasks", len(w.questions[0].Workers)))
	w.questions = nil
	w.Submit(w.now, job(id(2), "Advised", 100, nil))
	w.schedule()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(w.questions[0].Workers, qt.HasLen, 100)
}

// Few workers may run the steps of a queue: later questions name more.
func TestQuestionsAdaptToEligibleRatio(t *testing.T) {
	c := qt.New(t)
	w := newWorld(300)
	named := func(n int) int {
		w.questions = nil
		w.Submit(w.now, job(id(n), "Advised", 10, nil))
		w.schedule()
		c.Assert(w.questions, qt.HasLen, 1)
		return len(w.questions[0].Workers)
	}
	first := named(0)
	for n := 1; n < 40; n++ {
		w.HandleAdvice(w.now, w.now, w.questions[0], map[string]string{})
		w.Cancel(w.now, id(n-1))
		w.schedule()
		named(n)
	}
	c.Assert(len(w.questions[0].Workers) >= 2*first, qt.IsTrue, qt.Commentf("%d and then %d workers", first, len(w.questions[0].Workers)))
}

// A gang that renews its tickets names its plan and some spare workers, not all that are
// eligible.
func TestTicketRenewalNamesOnlyPlanAndSpares(t *testing.T) {
	c := qt.New(t)
	w := newWorld(100)
	w.submit(job(id(1), "Plain", 500, nil))
	w.submit(job(id(2), "Advised", 10, func(s *workload.Step) { s.Gang = true }))
	for len(w.questions) > 0 {
		w.advise(anyWorker)
	}
	w.advance(3 * second)
	for _, f := range w.workers {
		f.endAll("Done")
	}
	w.reportAll()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(len(w.questions[0].Workers) <= 20, qt.IsTrue, qt.Commentf("%d workers for a gang of 10", len(w.questions[0].Workers)))
}

// An answer arrives while a worker that it names is not announced, as after an outage of the
// store. Once the worker is announced again the step must be able to run there, although the
// answer could not be applied to it.
func TestAnswerAboutAnUnlistedWorkerIsNotLost(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	w.RemoveWorker(w.now, "w0")
	w.advise(func(string) bool { return true })
	w.HandleAnnouncement(w.now, w.workers["w0"].Worker)
	w.reportAll()
	w.advise(func(string) bool { return true })
	c.Assert(w.runningCount(), qt.Equals, 1)
}

// Small tasks end one after the other in a full cell. One question must renew the tickets of
// all eligible workers, not only of the one that has capacity at the moment.
func TestQuestionNamesBusyWorkersToo(t *testing.T) {
	c := qt.New(t)
	w := newWorld(10)
	w.submit(job(id(1), "Plain", 50, func(s *workload.Step) { s.Estimate = 0 }))
	w.submit(job(id(2), "Advised", 10, nil))
	w.advise(anyWorker)
	w.advance(3 * second)
	questions := 0
	for n := range 10 {
		f := w.workers[fmt.Sprintf("w%d", n)]
		f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
		w.now += 100 * ms
		w.reportAll()
		questions += len(w.questions)
		w.advise(anyWorker)
	}
	started := 0
	for _, f := range w.workers {
		for _, r := range f.running {
			if r.Task.Job == id(2) {
				started++
			}
		}
	}
	c.Assert(started, qt.Equals, 10, qt.Commentf("%d questions", questions))
	c.Assert(questions <= 2, qt.IsTrue, qt.Commentf("%d questions", questions))
}
