package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workload"
)

// play advances the clock with a report of each worker every half second. A run of the given
// length progresses in whole percents, slowed down by a factor of its worker; 0 is a hang.
func (w *world) play(length, total time.Duration, slowdown func(worker string) int) {
	begun := map[string]time.Duration{}
	for end := w.now + length; w.now < end; {
		w.now = min(end, w.now+500*ms)
		for name, f := range w.workers {
			for i, r := range f.running {
				key := fmt.Sprint(name, r.Task, r.Run)
				if _, ok := begun[key]; !ok {
					begun[key] = w.now
				}
				if x := slowdown(name); x > 0 {
					f.running[i].Percent = float64(min(100, (w.now-begun[key])*100/time.Duration(x)/total))
				}
			}
		}
		w.reportAll()
	}
}

// Tasks take so long that a percent of them takes more than the least time without progress: they
// must run to their end, also on a slow worker, and their workers must not be paused (LOST,
// review/2).
func TestLongTasksAreNotTakenForStuck(t *testing.T) {
	for _, test := range []struct {
		estimate, length time.Duration
		slowdown         int
	}{
		{420 * second, 420 * second, 1},
		{420 * second, 420 * second, 8},
		{time.Hour, time.Hour, 8},
		{30 * second, 30 * second, 8},
		{10 * second, 10 * second, 8},
	} {
		t.Run(fmt.Sprintf("%sSlowdown%d", test.length, test.slowdown), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(2)
			w.submit(job(id(1), "Plain", 2, func(s *workload.Step) { s.Estimate, s.MaxPerWorker = test.estimate, 1 }))
			w.play(min(20*time.Minute, time.Duration(test.slowdown)*test.length-2*second), test.length, func(string) int { return test.slowdown })
			c.Check(len(w.stops), qt.Equals, 0)
			c.Check(w.runningCount(), qt.Equals, 2)
			w.submit(job(id(2), "Plain", 2, func(s *workload.Step) { s.MaxPerWorker = 1 }))
			c.Check(w.runningCount(), qt.Equals, 4, qt.Commentf("a worker is paused"))
		})
	}
}

// The estimate of a task is much too low, and its worker slow: the time that its runs get must
// grow until one of them shows progress (LOST, review/2).
func TestRunsOfAnUnderestimatedTaskGetMoreTime(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Estimate = 16 * second }))
	w.play(4*time.Minute, 1800*second, func(string) int { return 1 })
	c.Check(len(w.starts) <= 5, qt.IsTrue, qt.Commentf("%d starts", len(w.starts)))
	stops := len(w.stops)
	w.play(4*time.Minute, 1800*second, func(string) int { return 1 })
	c.Check(len(w.stops), qt.Equals, stops)
	c.Check(w.runningCount(), qt.Equals, 1)
}

// A task that hangs is stopped after a time that grows with its length: as soon as ever for one
// of 30 s at most.
func TestHangingTaskIsStoppedInTime(t *testing.T) {
	for estimate, limit := range map[time.Duration]time.Duration{
		second: 3 * second, 6 * second: 3 * second, 30 * second: 3 * second, 100 * second: 10 * second, 420 * second: 42 * second, time.Hour: 6 * time.Minute,
	} {
		t.Run(estimate.String(), func(t *testing.T) {
			c := qt.New(t)
			w := newWorld(2)
			w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Estimate = estimate }))
			begun := w.now
			for len(w.stops) == 0 && w.now-begun < time.Hour {
				w.play(500*ms, estimate, func(string) int { return 0 })
			}
			took := w.now - begun
			t.Logf("estimate %s: stopped after %s", estimate, took)
			c.Check(took >= limit && took <= limit+second, qt.IsTrue, qt.Commentf("stopped after %s", took))
		})
	}
}

// Other runs on the worker make progress beside one that hangs, so that the worker is sound and
// keeps getting work.
func TestSoundWorkerOfAHangingTaskIsNotPaused(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 2, nil))
	hung := w.workers["w0"].running[0].Task
	for range 10 {
		if len(w.stops) > 0 {
			break
		}
		w.now += 500 * ms
		for i, r := range w.workers["w0"].running {
			if r.Task != hung {
				w.workers["w0"].running[i].Percent += 5
			}
		}
		w.reportAll()
	}
	c.Assert(len(w.stops) > 0, qt.IsTrue)
	w.submit(job(id(2), "Plain", 1, nil))
	running := 0
	for _, r := range w.workers["w0"].running {
		if r.Task.Job == id(2) {
			running++
		}
	}
	c.Check(running, qt.Equals, 1)
}

// The fillers of a worker are held back for the services beside them, down to nothing. They must
// not be taken for stuck (LOST, review/2).
func TestFillersThatAreHeldBackAreNotStuck(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon, s.LatencyTarget = true, 100*ms }))
	w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Filler = true }))
	for range 40 {
		w.now += 500 * ms
		for i, r := range w.workers["w0"].running {
			if r.Task.Job == id(1) {
				w.workers["w0"].running[i].Percent, w.workers["w0"].running[i].Measure = 100, 200
			}
		}
		w.reportAll()
	}
	c.Check(len(w.stops), qt.Equals, 0)
	c.Check(w.runningCount(), qt.Equals, 2)
}
