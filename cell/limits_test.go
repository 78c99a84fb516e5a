package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// setLimit puts a catalogue in force in which organisation "a" has a limit of processors.
func (w *world) setLimit(version, processors int64) {
	c := catalogue().WithOrganisations([]workload.Organisation{{Name: "a", Limit: task.Size{Processors: processors * task.Processor}}, {Name: "b"}})
	c.Version = version
	w.SetCatalogue(c)
	w.step()
}

func newLimitedWorld(workers int, processors int64) *world {
	w := newWorld(workers)
	w.setLimit(2, processors)
	return w
}

// of returns a job of an organisation.
func of(organisation string, j workload.Job) workload.Job {
	j.Organisation = organisation
	return j
}

func asGang(s *workload.Step) { s.Gang = true }

// A burst of 60 jobs, some of them fillers, arrives for one organisation in a cell that has room
// for all. It must run as much as its limit allows and no more; others are not restricted.
func TestLimitIsExactUnderBurst(t *testing.T) {
	w := newLimitedWorld(30, 11)
	for n := range 60 {
		w.Submit(w.now, of("a", job(id(n), "Plain", 3, func(s *workload.Step) { s.Filler = n%5 == 0 })))
	}
	w.submit(of("b", job(id(100), "Plain", 20, nil)))
	qt.Assert(t, w.runningCount(), qt.Equals, 5+20)
	for range 20 {
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.advance(500 * ms)
		qt.Assert(t, w.runningCount(), qt.Equals, 5)
	}
}

// An owner takes over while the workers of an organisation's runs are cut off, one of them no
// longer listed. Their runs may continue, so nothing may start until their leases have expired.
func TestRunsOnCutOffWorkersCountAfterTakeover(t *testing.T) {
	w := newLimitedWorld(2, 4)
	w.submit(of("a", job(id(1), "Plain", 2, func(s *workload.Step) { s.MaxPerWorker = 1 })))
	next := newLimitedWorld(0, 4)
	for _, id := range []string{"w0", "w9"} {
		next.addWorker(id, "r0").unresponsive = id == "w0"
	}
	next.Restore(next.now, next.now, w.jobs[id(1)], w.progress[id(1)])
	next.submit(of("a", job(id(2), "Plain", 1, nil)))
	next.advance(3 * second)
	qt.Assert(t, next.starts, qt.HasLen, 0)
	next.advance(3 * second)
	qt.Assert(t, next.starts, qt.HasLen, 2)
}

// The operator lowers a limit below what runs. Running work must not be stopped, and nothing may
// start until enough of it has ended.
func TestLoweredLimitStopsNothingAndStartsNothing(t *testing.T) {
	w := newLimitedWorld(3, 12)
	w.submit(of("a", job(id(1), "Plain", 6, func(s *workload.Step) { s.MaxPerWorker = 2 })))
	w.setLimit(3, 6)
	w.submit(of("a", job(id(2), "Plain", 2, nil)))
	for _, worker := range []string{"w0", "w1"} {
		w.advance(2 * second)
		qt.Assert(t, w.starts, qt.HasLen, 6)
		w.workers[worker].endAll(cell.EndedDone)
		w.advance(500 * ms)
	}
	qt.Assert(t, w.starts, qt.HasLen, 7)
	qt.Assert(t, w.stops, qt.HasLen, 0)
}

// An organisation at its limit has a steady load of small tasks that would use every part of the
// headroom that becomes free. A gang, and a single large task, must still start, but a gang larger
// than the whole limit must not keep the small tasks waiting.
func TestSmallTasksAndLargeStepsAtLimit(t *testing.T) {
	largeTask := func(s *workload.Step) { s.Size.Processors = 8 * task.Processor }
	for name, test := range map[string]struct {
		large  workload.Job
		starts bool
	}{
		"Gang":        {job(id(1), "Plain", 4, asGang), true},
		"Task":        {job(id(1), "Plain", 1, largeTask), true},
		"AdvisedTask": {job(id(1), "Advised", 1, largeTask), true},
		"TooLarge":    {job(id(1), "Plain", 5, asGang), false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLimitedWorld(8, 8)
			w.submit(of("a", job(id(0), "Plain", 4, nil)))
			w.submit(of("a", test.large))
			for n := range 10 {
				w.submit(of("a", job(id(10+n), "Plain", 1, func(s *workload.Step) { s.Estimate = 6 * second })))
				if n < len(w.starts) {
					w.workers[w.starts[n].Worker.ID].end(w.starts[n].Task, w.starts[n].Run, cell.EndedDone)
				}
				w.advance(500 * ms)
				w.advise(func(string) bool { return true })
			}
			qt.Assert(t, w.states[id(1)] != workload.Queued, qt.Equals, test.starts)
			qt.Assert(t, test.starts || w.states[id(19)] != workload.Queued, qt.IsTrue)
		})
	}
}

// A gang holds capacity that becomes free. Were the headroom of its organisation used up elsewhere
// meanwhile, it could not start there, and would lose the capacity to others.
func TestGangThatHoldsCapacityKeepsHeadroom(t *testing.T) {
	w := newLimitedWorld(2, 8)
	large := func(s *workload.Step) { s.Size.Processors, s.Requires, s.Gang = 4*task.Processor, "a", true }
	w.submit(of("b", job(id(0), "Plain", 4, large)))
	w.submit(of("a", job(id(1), "Plain", 2, large)))
	other := w.addWorker("w2", "r0")
	other.Labels = []string{"z", "r0"}
	w.HandleAnnouncement(w.now, other.Worker)
	w.reportAll()
	w.now += ms
	w.submit(of("a", job(id(2), "Plain", 4, nil)))
	qt.Assert(t, w.runningCount(), qt.Equals, 4)
}

// Steps of an organisation at its limit can't start. They must ask, hold and preempt nothing, also
// 300 of them in a full cell, and must not delay the steps of others. When capacity for five tasks
// becomes free, only as many may ask.
func TestStepsAtLimitAskNothingAndDelayNobody(t *testing.T) {
	c := qt.New(t)
	w := newLimitedWorld(20, 10)
	w.submit(of("a", job(id(0), "Plain", 5, nil)))
	w.submit(of("b", job(id(400), "Plain", 94, func(s *workload.Step) { s.Checkpoints, s.Estimate = true, 60*second })))
	for n := range 300 {
		w.Submit(w.now, of("a", job(id(1+n), "Advised", 2, func(s *workload.Step) { s.Gang = n%2 == 0 })))
	}
	w.now += 100 * ms
	w.submit(of("b", job(id(500), "Plain", 1, nil)))
	c.Assert([]int{w.runningCount(), len(w.questions), len(w.stops), int(w.Load(w.now).Held), w.OrganisationLoads()[0].HeldBack}, qt.DeepEquals, []int{100, 0, 0, 0, 300})
	w.workers["w0"].endAll(cell.EndedDone)
	w.advance(500 * ms)
	c.Assert(len(w.questions) > 0 && len(w.questions) <= 5, qt.IsTrue)
}

// The orders to start a gang get no answer, and may be carried out late. They must count until the
// workers have confirmed that they won't be, also though the job is cancelled.
func TestUnansweredOrdersCountUntilTheyCannotBeCarriedOut(t *testing.T) {
	w := newLimitedWorld(4, 8)
	setResponsive := func(responsive bool) {
		for _, f := range w.workers {
			f.unresponsive = !responsive
		}
	}
	setResponsive(false)
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	w.submit(of("a", job(id(1), "Plain", 4, asGang)))
	w.Cancel(w.now, id(1))
	w.answer = nil
	w.submit(of("a", job(id(2), "Plain", 4, nil)))
	w.advance(2 * second)
	qt.Assert(t, w.starts, qt.HasLen, 4)
	setResponsive(true)
	w.advance(4 * second)
	qt.Assert(t, w.starts, qt.HasLen, 8)
}

// A member of a gang has ended under an earlier owner, and the new one has no answer about its
// workers yet. The others would keep the headroom that the gang needs to start again for ever.
func TestRestOfGangAtLimitStopsAfterTakeover(t *testing.T) {
	w := newLimitedWorld(4, 8)
	w.submit(of("a", job(id(1), "Advised", 4, asGang)))
	w.advise(func(string) bool { return true })
	next := newLimitedWorld(4, 8)
	p := w.progress[id(1)]
	p.Steps[0].Tasks[0].Runs = nil
	for _, s := range w.starts {
		if s.Task.Index > 0 {
			next.workers[s.Worker.ID].running = append(next.workers[s.Worker.ID].running, cell.ActiveRun{Task: s.Task, Run: s.Run})
		}
	}
	next.Restore(next.now, next.now, w.jobs[id(1)], p)
	for range 4 {
		next.advance(second)
		next.advise(func(string) bool { return true })
	}
	qt.Assert(t, next.starts, qt.HasLen, 4)
}
