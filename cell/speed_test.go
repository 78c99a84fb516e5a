package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Some workers become several times slower for a while, and answer all the same.
// Short tasks must not go there meanwhile.
func TestSlowWorkersGetNothingNew(t *testing.T) {
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

// A new owner does not know how long the runs that it finds have worked: they tell
// nothing of the usual speed.
func TestRestoredRunsTeachNoSpeed(t *testing.T) {
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
	next.pass(3 * second)
	for _, n := range next.notes {
		qt.Assert(t, n.Event, qt.Not(qt.Equals), "worker slow")
	}
}

// The store is away for some seconds, so that orders to start wait for their record. The
// runs have made no progress when they begin, which is no reason to move them.
func TestRunThatWaitedForItsRecordIsNotStuck(t *testing.T) {
	w := newWorld(2)
	w.Submit(w.now, job(id(1), "Plain", 2, nil))
	w.Tick(w.now, w.now.Milliseconds())
	actions, _, _ := w.TakeOutput()
	w.pass(5 * second)
	for _, s := range actions.Starts {
		w.start(s)
	}
	w.step()
	w.pass(second)
	qt.Assert(t, w.stops, qt.HasLen, 0)
	qt.Assert(t, w.runningAll(), qt.Equals, 2)
}

// Workers of several kinds: a job that can lose little time goes to the fast ones, one
// that has time goes where it leaves least room.
func TestJobsInAHurryGoToFastWorkers(t *testing.T) {
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
