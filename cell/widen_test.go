package cell_test

import (
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// isEligible reports whether a worker is among the third that may run a step.
func isEligible(id string) bool { return id[len(id)-1]%3 == 0 }

// gangInAFullCell returns a full cell of 200 workers in which a gang of eight tasks, each of
// which needs most of a worker, has asked about half of the workers.
func gangInAFullCell(c *qt.C) (w *world, asked []string) {
	w = newWorld(200)
	for n := range 10 {
		w.submit(job(id(n), "Plain", 100, func(s *workload.Step) { s.Estimate = 100 * second }))
	}
	c.Assert(w.runningCount(), qt.Equals, 1000)
	w.submit(job(id(50), "Advised", 8, func(s *workload.Step) { s.Gang, s.Size.Processors = true, 8*task.Processor }))
	c.Assert(w.questions, qt.HasLen, 1)
	asked = w.questions[0].Workers
	w.advise(isEligible)
	c.Assert(w.questions, qt.HasLen, 0)
	return w, asked
}

// endRunsOn ends all runs on a number of workers that were asked about, or were not.
func (w *world) endRunsOn(asked []string, wasAsked bool, workers int) {
	for n := 0; workers > 0; n++ {
		name := fmt.Sprintf("w%d", n)
		if slices.Contains(asked, name) != wasAsked || wasAsked && !isEligible(name) {
			continue
		}
		w.workers[name].endAll(cell.EndedDone)
		workers--
	}
	w.reportAll()
}

// Twelve workers that no question has named become free, of which probably four may run the
// gang of eight: a question about them would only delay the questions of others. After some
// time the gang asks all the same.
func TestGangDelaysQuestionThatIsUnlikelyToHelp(t *testing.T) {
	c := qt.New(t)
	w, asked := gangInAFullCell(c)
	w.endRunsOn(asked, false, 12)
	c.Assert(w.questions, qt.HasLen, 0)
	w.advance(2500 * ms)
	c.Assert(w.questions, qt.HasLen, 1)
}

// Enough workers that no question has named become free, and two that may run the gang: one
// question names both kinds, so that the gang starts on its answer.
func TestQuestionAboutNewWorkersRenewsKnownTickets(t *testing.T) {
	c := qt.New(t)
	w, asked := gangInAFullCell(c)
	w.endRunsOn(asked, true, 2)
	w.endRunsOn(asked, false, 60)
	c.Assert(w.questions, qt.HasLen, 1)
	w.now += 500 * ms
	w.advise(isEligible)
	c.Assert(w.states[id(50)], qt.Equals, workload.Running)
	c.Assert(w.questions, qt.HasLen, 0)
}

// A gang needs more workers than can be free at once among those that it knows: it asks about
// more immediately, whether these have free capacity or not.
func TestWideGangAsksAboutEnoughWorkers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(200)
	for n := range 10 {
		w.submit(job(id(n), "Plain", 100, func(s *workload.Step) { s.Estimate = 100 * second }))
	}
	w.submit(job(id(50), "Advised", 40, func(s *workload.Step) { s.Gang, s.Size.Processors = true, 8*task.Processor }))
	named := 0
	for len(w.questions) > 0 {
		named += len(w.questions[0].Workers)
		w.advise(isEligible)
	}
	c.Assert(named, qt.Equals, 200)
}
