package cell_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

func all(string) bool { return true }

// A new owner hears its workers one after the other. A step that was asked about
// while few of them were known must come to the others too.
func TestAdviceWidensWhenFewWorkersWereKnown(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 8, func(s *workload.Step) { s.Gang = true }))
	qt.Assert(t, w.questions, qt.HasLen, 1)
	w.advise(all)
	qt.Assert(t, w.runningAll(), qt.Equals, 0)
	w.addWorker("w1", "r0")
	w.addWorker("w2", "r0")
	w.reportAll()
	w.advise(all)
	qt.Assert(t, w.runningAll(), qt.Equals, 8)
}

// Tasks that are left over come to workers that were never named.
func TestAdviceWidensForTasksThatAreLeft(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 8, nil))
	w.advise(all)
	qt.Assert(t, w.runningAll(), qt.Equals, 5)
	w.addWorker("w1", "r0")
	w.reportAll()
	w.advise(all)
	qt.Assert(t, w.runningAll(), qt.Equals, 8)
}

// A ticket that lapsed while the gang waited for room is renewed once there is
// room, for good workers only.
func TestAdviceIsRenewedOnceThereIsRoom(t *testing.T) {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 10, nil))
	w.submit(job(id(2), "Advised", 5, func(s *workload.Step) { s.Gang = true }))
	w.advise(func(id string) bool { return id == "w0" })
	w.pass(3 * second)
	qt.Assert(t, w.questions, qt.HasLen, 0)
	w.workers["w0"].endAll("Done")
	w.reportAll()
	qt.Assert(t, w.questions, qt.HasLen, 1)
	qt.Assert(t, w.questions[0].Workers, qt.DeepEquals, []string{"w0"})
	w.advise(all)
	qt.Assert(t, w.workers["w0"].running, qt.HasLen, 5)
}

// A store that is slow delays starts; a ticket that would lapse meanwhile is not
// used.
func TestTicketsOutlastTheRecord(t *testing.T) {
	w := newWorld(1)
	w.SetRecordDelay(1900 * ms)
	w.submit(job(id(1), "Advised", 1, nil))
	w.advise(all)
	qt.Assert(t, w.starts, qt.HasLen, 0)
	w.SetRecordDelay(30 * ms)
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 1)
}

// A burst of small urgent tasks comes while the tickets of a gang are on their way:
// the room that the question was asked for stays the gang's.
func TestRoomIsKeptWhileTicketsAreOnTheirWay(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 5, nil))
	w.submit(job(id(2), "Advised", 5, func(s *workload.Step) { s.Gang = true }))
	w.advise(all)
	w.pass(3 * second)
	w.workers["w0"].endAll("Done")
	w.reportAll()
	qt.Assert(t, w.questions, qt.HasLen, 1)
	w.submit(job(id(3), "Plain", 5, func(s *workload.Step) { s.Estimate = 10 * ms }))
	qt.Assert(t, w.runningAll(), qt.Equals, 0)
	w.advise(all)
	qt.Assert(t, w.workers["w0"].running, qt.HasLen, 5)
	qt.Assert(t, w.workers["w0"].running[0].Task.Job, qt.Equals, id(2))
}

// An idle cell of hundreds of workers: a question names as many as a small step needs, as
// each more takes the service longer.
func TestQuestionsNameWhatAStepNeeds(t *testing.T) {
	c := qt.New(t)
	w := newWorld(300)
	w.Submit(w.now, job(id(1), "Advised", 2, nil))
	w.decide()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(len(w.questions[0].Workers) <= 36, qt.IsTrue, qt.Commentf("%d workers for 2 tasks", len(w.questions[0].Workers)))
	w.questions = nil
	w.Submit(w.now, job(id(2), "Advised", 100, nil))
	w.decide()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(w.questions[0].Workers, qt.HasLen, 100)
}

// Few of the workers may run a step of a queue: later questions name more.
func TestQuestionsLearnHowManyWorkersAreGood(t *testing.T) {
	c := qt.New(t)
	w := newWorld(300)
	named := func(n int) int {
		w.questions = nil
		w.Submit(w.now, job(id(n), "Advised", 10, nil))
		w.decide()
		c.Assert(w.questions, qt.HasLen, 1)
		return len(w.questions[0].Workers)
	}
	first := named(0)
	for n := 1; n < 40; n++ {
		w.HandleAdvice(w.now, w.now, w.questions[0], map[string]string{})
		w.Cancel(w.now, id(n-1))
		w.decide()
		named(n)
	}
	c.Assert(len(w.questions[0].Workers) >= 2*first, qt.IsTrue, qt.Commentf("%d and then %d workers", first, len(w.questions[0].Workers)))
}

// A gang renews its tickets: the question names its plan and some spare workers, not all
// that are good.
func TestRenewedTicketsAreForThePlan(t *testing.T) {
	c := qt.New(t)
	w := newWorld(100)
	w.submit(job(id(1), "Plain", 500, nil))
	w.submit(job(id(2), "Advised", 10, func(s *workload.Step) { s.Gang = true }))
	for len(w.questions) > 0 {
		w.advise(all)
	}
	w.pass(3 * second)
	for _, f := range w.workers {
		f.endAll("Done")
	}
	w.reportAll()
	c.Assert(w.questions, qt.HasLen, 1)
	c.Assert(len(w.questions[0].Workers) <= 20, qt.IsTrue, qt.Commentf("%d workers for a gang of 10", len(w.questions[0].Workers)))
}

// An answer comes while a worker that it names is off the list, as after an outage of the
// store. Once the worker is back, the step may run there: what the answer said of it is not
// lost.
func TestAnswerAboutAWorkerThatIsBackLater(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Advised", 1, nil))
	c.Assert(w.questions, qt.HasLen, 1)
	w.RemoveWorker(w.now, "w0")
	w.advise(func(string) bool { return true })
	w.HandleAnnouncement(w.now, w.workers["w0"].Worker)
	w.reportAll()
	w.advise(func(string) bool { return true })
	c.Assert(w.runningAll(), qt.Equals, 1)
}

// Small tasks end one after the other in a full cell. One question keeps tickets for all
// workers that may run a step, not only for the one that has room at the moment.
func TestTicketsCoverWorkersThatAreBusy(t *testing.T) {
	c := qt.New(t)
	w := newWorld(10)
	w.submit(job(id(1), "Plain", 50, func(s *workload.Step) { s.Estimate = 0 }))
	w.submit(job(id(2), "Advised", 10, nil))
	w.advise(all)
	w.pass(3 * second)
	questions := 0
	for n := range 10 {
		f := w.workers[fmt.Sprintf("w%d", n)]
		f.end(f.running[0].Task, f.running[0].Run, cell.EndedDone)
		w.now += 100 * ms
		w.reportAll()
		questions += len(w.questions)
		w.advise(all)
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
