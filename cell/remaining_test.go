package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// work advances the clock while each run of job 1 progresses as if it took the time that total
// returns for its task.
func (w *world) work(length time.Duration, total func(index int) time.Duration) {
	begun := w.now
	for end := w.now + length; w.now < end; {
		w.now = min(end, w.now+200*ms)
		for _, f := range w.workers {
			for i, r := range f.running {
				if r.Task.Job == id(1) {
					f.running[i].Percent = float64((w.now - begun) * 100 / total(r.Task.Index))
				}
			}
		}
		w.reportAll()
	}
}

// Run times vary widely, and a gang needs the room of some of twenty tasks. One of those that
// are about to end must not be stopped, as its room comes free anyway; the longest are. Where run
// times are alike the first ones are stopped, whatever their progress up to 70%, as before.
func TestGangPreemptsRunsThatWouldLastLongest(t *testing.T) {
	for name, test := range map[string]struct {
		took []time.Duration
		want map[int]bool
	}{
		"Varied": {[]time.Duration{4 * second, 10 * second, 25 * second}, map[int]bool{4: true, 9: true, 14: true, 19: true}},
		"Alike":  {[]time.Duration{10 * second}, map[int]bool{0: true, 5: true, 10: true, 15: true}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4)
			w.learnTimes(10*second, test.took, []string{"w0", "w1", "w2", "w3"}, 1, 1, 1, 1)
			w.submit(job(id(1), "Plain", 20, func(s *workload.Step) { s.Estimate, s.Checkpoints = 10*second, true }))
			w.work(1600*ms, func(index int) time.Duration {
				if index%5 == 4 {
					return 20 * second
				}
				return 2400 * ms
			})
			w.submit(job(id(2), "Advised", 4, func(s *workload.Step) { s.Gang, s.MaxPerWorker, s.Estimate = true, 1, second }))
			for range 2 {
				w.advise(func(string) bool { return true })
				w.now += 50 * ms
				w.step()
			}
			stopped := map[int]bool{}
			for _, s := range w.stops {
				stopped[s.Task.Index] = true
			}
			qt.Assert(t, stopped, qt.DeepEquals, test.want)
		})
	}
}

// What counts on the end of a run must neither wait for one that hangs nor count on the usual
// time for one that runs longer, also after a takeover.
func TestRemainingTimeFollowsProgress(t *testing.T) {
	c := qt.New(t)
	w, next := newWorld(2), newWorld(0)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) { s.Estimate = 5 * second }))
	w.submit(job(id(3), "Plain", 1, func(s *workload.Step) { s.Daemon, s.Estimate = true, 5*second }))
	task := func(n, index int) workload.TaskID {
		return workload.TaskID{StepID: workload.StepID{Job: id(n)}, Index: index}
	}
	near := func(what string, got, want time.Duration) {
		c.Check(got > want*9/10 && got < want*11/10, qt.IsTrue, qt.Commentf("%s: %s, want %s", what, got, want))
	}
	near("not begun", w.Remaining(w.now, task(1, 0), 0.5), 5*second)
	w.work(4*second, func(index int) time.Duration { return []time.Duration{20 * second, 6 * second}[index] })
	near("slow", w.Remaining(w.now, task(1, 0), 0.5), 16*second)
	near("usual", w.Remaining(w.now, task(1, 1), 0.5), 2*second)
	c.Check(w.Remaining(w.now, task(1, 0), 0.9) > w.Remaining(w.now, task(1, 0), 0.5), qt.IsTrue)
	c.Check(w.Remaining(w.now, task(3, 0), 0.9) > 1000*time.Hour, qt.IsTrue)
	w.now += 2400 * ms
	w.reportAll()
	near("hanging", w.Remaining(w.now, task(1, 1), 0.5), 3100*ms)
	next.now, next.workers = w.now, w.workers
	for _, f := range w.workers {
		next.HandleAnnouncement(next.now, f.Worker)
	}
	next.Restore(next.now, next.now, w.jobs[id(1)], w.progress[id(1)])
	next.reportAll()
	near("taken over", next.Remaining(next.now, task(1, 1), 0.5), 5*second/3)
	w.Cancel(w.now, id(1))
	c.Check(w.Remaining(w.now, task(1, 1), 0.9) <= second, qt.IsTrue)
}

// learnTimes lets 60 jobs end whose tasks take the given times in turn, on the named workers of
// the given speeds, the fastest first.
func (w *world) learnTimes(estimate time.Duration, took []time.Duration, workers []string, speeds ...float64) {
	for n := range 60 {
		w.submit(job(id(1000+n), "Plain", 5*len(workers), func(s *workload.Step) { s.Estimate = estimate }))
		begun := w.now
		for i, name := range workers {
			w.advance(begun + time.Duration(float64(took[n%len(took)])/speeds[i]) - w.now)
			w.workers[name].endAll(cell.EndedDone)
			w.reportAll()
		}
	}
}
