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

// third reports whether a worker is one of the third that may run a step.
func third(id string) bool { return id[len(id)-1]%3 == 0 }

// gangInAFullCell returns a full cell of 200 workers in which a gang of eight tasks, each as
// large as most of a worker, has asked about half of them.
func gangInAFullCell(c *qt.C) (w *world, asked []string) {
	w = newWorld(200)
	for n := range 10 {
		w.submit(job(id(n), "Plain", 100, func(s *workload.Step) { s.Estimate = 100 * second }))
	}
	c.Assert(w.runningAll(), qt.Equals, 1000)
	w.submit(job(id(50), "Advised", 8, func(s *workload.Step) { s.Gang, s.Size.Processors = true, 8*task.Processor }))
	c.Assert(w.questions, qt.HasLen, 1)
	asked = w.questions[0].Workers
	w.advise(third)
	c.Assert(w.questions, qt.HasLen, 0)
	return w, asked
}

// empty ends all runs of some workers that were asked about, or were not.
func (w *world) empty(asked []string, wasAsked bool, workers int) {
	for n := 0; workers > 0; n++ {
		name := fmt.Sprintf("w%d", n)
		if slices.Contains(asked, name) != wasAsked || wasAsked && !third(name) {
			continue
		}
		w.workers[name].endAll(cell.EndedDone)
		workers--
	}
	w.reportAll()
}

// Twelve workers that were never named become free, of which four may likely run the gang of
// eight: a question about them would keep the service from others for nothing. After some
// time the gang asks all the same.
func TestGangAsksNobodyThatIsUnlikelyToHelp(t *testing.T) {
	c := qt.New(t)
	w, asked := gangInAFullCell(c)
	w.empty(asked, false, 12)
	c.Assert(w.questions, qt.HasLen, 0)
	w.pass(2500 * ms)
	c.Assert(w.questions, qt.HasLen, 1)
}

// Enough workers that were never named become free, and two that may run the gang: one
// question is about both, so that the gang starts on its answer.
func TestGangStartsOnTheAnswerAboutFurtherWorkers(t *testing.T) {
	c := qt.New(t)
	w, asked := gangInAFullCell(c)
	w.empty(asked, true, 2)
	w.empty(asked, false, 60)
	c.Assert(w.questions, qt.HasLen, 1)
	w.now += 500 * ms
	w.advise(third)
	c.Assert(w.states[id(50)], qt.Equals, workload.Running)
	c.Assert(w.questions, qt.HasLen, 0)
}

// A gang needs as many workers as can't be free at once among those that it knows: it asks
// about more at once, with room or not.
func TestWideGangKnowsEnoughWorkers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(200)
	for n := range 10 {
		w.submit(job(id(n), "Plain", 100, func(s *workload.Step) { s.Estimate = 100 * second }))
	}
	w.submit(job(id(50), "Advised", 40, func(s *workload.Step) { s.Gang, s.Size.Processors = true, 8*task.Processor }))
	named := 0
	for len(w.questions) > 0 {
		named += len(w.questions[0].Workers)
		w.advise(third)
	}
	c.Assert(named, qt.Equals, 200)
}
