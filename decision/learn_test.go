package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestSizesAreLearnedWithAMargin runs families that declare too much, the right
// size and too little.
func TestSizesAreLearnedWithAMargin(t *testing.T) {
	for _, test := range []struct {
		name                 string
		declared, used, want int64
	}{
		{"TooMuch", 8000, 2000, 2200},
		{"AsDeclared", 8000, 8000, 8000},
		{"TooLittle", 2000, 8000, 8800},
		{"MoreThanAWorkerHas", 2000, 64_000, 2000},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(16)
			w := smallWork(task.Batch, 0)
			w.Family, w.Size.Processors = "f", test.declared
			for range 10 {
				c.submit(w)
				c.endAttempt(0, task.Succeeded, task.Size{Processors: test.used, Memory: w.Size.Memory})
			}
			c.submit(w)
			qt.Assert(t, c.running[0].Size.Processors, qt.Equals, test.want)
		})
	}
}

// TestOutgrowingTasksAreThrottledThenCheckpointed reports usage beyond the size
// of a task three times, for a task that may run again and one that may not.
func TestOutgrowingTasksAreThrottledThenCheckpointed(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		c := newCell(8)
		w := smallWork(task.Batch, 0)
		w.Idempotent = idempotent
		c.submit(w)
		a := c.running[0]
		c.verbs, c.ignoresCheckpoint = nil, true
		for range 3 {
			c.apply(decision.Usage{Attempt: a.Attempt, Rack: a.Rack, Worker: a.Worker, Used: task.Size{Processors: 1000, Memory: 2 * task.Gibibyte}})
			c.now = c.now.Add(6 * time.Second)
		}
		want := []decision.Verb{decision.Throttle, decision.Checkpoint, decision.Withdraw}
		if !idempotent {
			want = []decision.Verb{decision.Throttle, decision.Throttle, decision.Throttle}
		}
		qt.Assert(t, c.verbs[:3], qt.DeepEquals, want)
	}
}

// runWithFailingWorkers runs batch work for a minute in which the given workers
// fail every attempt at once. It returns the ratio of attempts that failed to
// jobs submitted, both after the first 10 s.
func runWithFailingWorkers(c *cell, bad map[string]bool) float64 {
	lost, all := 0, 0
	begin := c.now
	c.run(60*time.Second, func() {
		for i := 0; i < len(c.running); i++ {
			if a := c.running[i]; bad[a.Worker] {
				c.endAttempt(i, task.Broke, task.Size{})
				i--
				if c.now.Sub(begin) > 10*time.Second {
					lost++
				}
			}
		}
		for i := 0; c.core.Waiting() < 20 && i < 40; i++ {
			w := smallWork(task.Batch, i)
			w.RunTime = 2 * time.Second
			w.Size.Processors = 16_000
			c.submit(w)
			if c.now.Sub(begin) > 10*time.Second {
				all++
			}
		}
	})
	return float64(lost) / float64(all)
}

// TestWorkersThatFailEverythingAreQuarantined bounds the attempts lost to
// workers that fail everything.
func TestWorkersThatFailEverythingAreQuarantined(t *testing.T) {
	c := newCell(48)
	lost := runWithFailingWorkers(c, map[string]bool{"r0001-3": true, "r0004-0": true})
	t.Logf("%.2f%% of attempts were lost to failing workers after 10 s", 100*lost)
	qt.Assert(t, lost < 0.01, qt.IsTrue)
}

// TestQuarantineIsBounded guards against quarantining most of the cell: half of
// the workers fail, and at most a tenth may be quarantined.
func TestQuarantineIsBounded(t *testing.T) {
	c := newCell(48)
	bad := map[string]bool{}
	for _, r := range c.racks {
		for _, w := range r.Digest().Workers[:4] {
			bad[w.ID] = true
		}
	}
	runWithFailingWorkers(c, bad)
	t.Logf("%d of 48 workers are in quarantine", c.core.Quarantined())
	qt.Assert(t, c.core.Quarantined() > 0 && c.core.Quarantined() <= 4, qt.IsTrue)
}

// TestFailingFamilyQuarantinesNoWorker guards against blaming workers for a
// family that fails on every worker.
func TestFailingFamilyQuarantinesNoWorker(t *testing.T) {
	c := newCell(16)
	for i := range 300 {
		bad := smallWork(task.Batch, 1)
		bad.Family = "bad"
		c.submit(bad)
		c.submit(smallWork(task.Batch, 2))
		for len(c.running) > 0 {
			outcome := task.Succeeded
			if c.running[0].Attempt.Work.Team == "t1" {
				outcome = task.Broke
			}
			c.endAttempt(0, outcome, task.Size{})
		}
		c.advance(time.Duration(i%3) * time.Second)
	}
	qt.Assert(t, c.core.Quarantined(), qt.Equals, 0)
}

// TestRepairedWorkerLeavesQuarantine lets a worker fail for a while and then
// succeed.
func TestRepairedWorkerLeavesQuarantine(t *testing.T) {
	c := newCell(16)
	runWithFailingWorkers(c, map[string]bool{"r0000-0": true})
	qt.Assert(t, c.core.Quarantined(), qt.Equals, 1)
	for range 6 {
		runWithFailingWorkers(c, nil)
	}
	qt.Assert(t, c.core.Quarantined(), qt.Equals, 0)
}

// TestPreemptionKeepsToItsBudget submits urgent work to a cell full of batch
// work. Rare urgent work must start soon; frequent urgent work must not waste
// more than the budget.
func TestPreemptionKeepsToItsBudget(t *testing.T) {
	for _, test := range []struct {
		name string
		// every is the number of steps between two urgent tasks.
		every   int
		longest time.Duration
	}{{"Seldom", 100, 3 * time.Second}, {"Often", 5, time.Hour}} {
		t.Run(test.name, func(t *testing.T) {
			c := newCell(16)
			longest := longestUrgentWait(c, test.every)
			wasted, done := c.core.Wasted()
			t.Logf("the longest wait was %v; %.2f%% of the work was wasted", longest, 100*wasted/done)
			qt.Assert(t, wasted > 0, qt.IsTrue)
			qt.Assert(t, wasted/done < 0.02, qt.IsTrue)
			qt.Assert(t, longest < test.longest, qt.IsTrue)
		})
	}
}

// longestUrgentWait runs ten minutes of batch and urgent work and returns the
// longest wait of the urgent tasks that have ended.
func longestUrgentWait(c *cell, every int) time.Duration {
	long := smallWork(task.Batch, 0)
	long.Size.Processors, long.RunTime = 16_000, time.Minute
	urgent := smallWork(task.Batch, 1)
	urgent.Urgent, urgent.Size.Processors, urgent.RunTime = true, 16_000, 20*time.Second
	var callers []uint64
	steps := 0
	c.run(10*time.Minute, func() {
		for c.core.Waiting() < 20 {
			c.submit(long)
		}
		if steps++; steps > 1300 && steps%every == 0 {
			callers = append(callers, c.submit(urgent))
		}
	})
	longest := time.Duration(0)
	for _, n := range callers {
		longest = max(longest, c.replies[n].Waited)
	}
	return longest
}
