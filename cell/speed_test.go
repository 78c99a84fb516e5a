package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Some workers become several times slower for a while and still respond. Short tasks must
// not be placed there meanwhile.
func TestSlowWorkersGetNoNewWork(t *testing.T) {
	w := newWorld(2)
	// The usual speed is learned from tasks that take as long as estimated.
	for n := range 5 {
		w.submit(job(id(n), "Plain", 4, nil))
		w.now += second
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.reportAll()
	}
	w.submit(job(id(10), "Plain", 10, nil))
	for range 4 {
		w.now += 500 * ms
		for _, f := range w.workers {
			for i := range f.running {
				f.running[i].Percent += map[string]float64{"w0": 8, "w1": 50}[f.ID]
			}
		}
		w.reportAll()
	}
	w.workers["w1"].endAll(cell.EndedDone)
	w.workers["w0"].end(w.workers["w0"].running[0].Task, 1, cell.EndedDone)
	w.reportAll()
	before := len(w.workers["w0"].running)
	w.submit(job(id(11), "Plain", 5, nil))
	qt.Assert(t, w.workers["w0"].running, qt.HasLen, before)
	qt.Assert(t, w.workers["w1"].running, qt.HasLen, 5)
}

// Estimates are wrong by up to a factor of ten, in the same direction for all tasks of a step.
// Tasks that take ten times their estimate on every worker must not make the workers look slow:
// a tenth of a healthy fleet was paused at any time.
func TestWrongEstimatesDoNotMakeWorkersLookSlow(t *testing.T) {
	w := newWorld(4)
	// The estimates of the queue are wrong in both directions.
	for n := range 20 {
		w.submit(job(id(n), "Plain", 16, func(s *workload.Step) { s.Estimate = time.Duration(1+n%2*9) * 200 * ms }))
		w.now += second
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.reportAll()
	}
	w.submit(job(id(30), "Plain", 12, nil))
	for range 8 {
		w.now += 500 * ms
		for _, f := range w.workers {
			for i := range f.running {
				f.running[i].Percent += 5
			}
		}
		w.reportAll()
	}
	w.submit(job(id(31), "Plain", 8, nil))
	qt.Assert(t, w.runningCount(), qt.Equals, 20)
	for _, n := range w.logEntries {
		qt.Assert(t, n.Event, qt.Not(qt.Equals), "worker slow")
	}
}

// A new owner does not know how long the restored runs have worked, so it must not learn the
// usual speed from them.
func TestRestoredRunsDoNotAffectUsualSpeed(t *testing.T) {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 10, nil))
	next := newWorld(0)
	next.workers = w.workers
	for _, f := range w.workers {
		next.HandleAnnouncement(next.now, f.Worker)
	}
	next.Restore(next.now, next.now, w.jobs[id(1)], w.progress[id(1)])
	next.reportAll()
	next.now += 10 * ms
	for _, f := range next.workers {
		f.endAll(cell.EndedDone)
	}
	next.reportAll()
	next.submit(job(id(2), "Plain", 6, nil))
	next.advance(3 * second)
	for _, n := range next.logEntries {
		qt.Assert(t, n.Event, qt.Not(qt.Equals), "worker slow")
	}
}

// The store is unavailable for some seconds, so that orders to start wait for their record.
// The runs have made no progress when they begin, and must not be withdrawn for that.
func TestRunThatWaitedForItsRecordIsNotStuck(t *testing.T) {
	w := newWorld(2)
	w.Submit(w.now, job(id(1), "Plain", 2, nil))
	w.Tick(w.now, w.now.Milliseconds())
	actions, _, _ := w.TakeOutput()
	w.advance(5 * second)
	for _, s := range actions.Starts {
		w.start(s)
	}
	w.step()
	w.advance(second)
	qt.Assert(t, w.stops, qt.HasLen, 0)
	qt.Assert(t, w.runningCount(), qt.Equals, 2)
}

// Workers differ in speed: a job with little slack goes to the fast ones, one with enough
// slack goes where it leaves the least capacity free.
func TestJobsWithLittleSlackGoToFastWorkers(t *testing.T) {
	c := qt.New(t)
	w := newWorld(3)
	took := map[string]int{"w0": 625, "w1": 400, "w2": 500}
	hurry := func(s *workload.Step) { s.Estimate = 500 * ms }
	for n := range 30 {
		w.submit(job(id(n), "Plain", 15, hurry))
		began := w.now
		for _, name := range []string{"w1", "w2", "w0"} {
			w.now = began + time.Duration(took[name])*ms
			w.workers[name].endAll(cell.EndedDone)
			w.reportAll()
		}
	}
	w.submit(job(id(100), "Plain", 5, hurry))
	c.Assert(w.workers["w1"].running, qt.HasLen, 5)
	w.submit(job(id(101), "Plain", 5, hurry))
	c.Assert(w.workers["w2"].running, qt.HasLen, 5)
}

// Workers differ in speed, and then all tasks become twice as long. If speed and length explained
// the same deviation, predictions would be off by it twice on some workers, or all workers would
// count as slow.
func TestWorkerSpeedIsKeptApartFromTaskLength(t *testing.T) {
	w := newWorld(3)
	for _, took := range []time.Duration{10 * second, 20 * second} {
		w.learnTimes(10*second, []time.Duration{took}, []string{"w1", "w2", "w0"}, 1.25, 1, 0.8)
		w.submit(job(id(1), "Plain", 3, func(s *workload.Step) { s.Estimate, s.MaxPerWorker = 10*second, 1 }))
		for name, speed := range map[string]float64{"w0": 0.8, "w1": 1.25, "w2": 1} {
			got := w.Remaining(w.now, w.workers[name].running[0].Task, 0.5).Seconds() * speed / took.Seconds()
			qt.Check(t, got > 0.93 && got < 1.07, qt.IsTrue, qt.Commentf("%.3f of the time on %s", got, name))
		}
		w.Cancel(w.now, id(1))
		w.step()
	}
}
