package decision_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// waitTime returns how long an answered caller's work waited to start.
func waitTime(t *testing.T, c *cell, n uint64) time.Duration {
	a, ok := c.replies[n]
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a.State, qt.Equals, task.Ran, qt.Commentf("%+v", a))
	return a.Waited
}

// TestAllAtOnceIsNeverStarved submits a gang that needs the whole cell while
// short batch work keeps it full. Its wait is bounded by the delay of the
// reservation plus the longest run time.
func TestAllAtOnceIsNeverStarved(t *testing.T) {
	const runTime = 10 * time.Second
	const bound = 2*time.Second + runTime + 2*time.Second
	c := newCell(16)
	small := smallWork(task.Batch, 0)
	small.RunTime = runTime
	small.Size.Processors = 16_000
	for range 200 {
		c.submit(small)
	}
	c.run(5*time.Second, func() {})
	wide := smallWork(task.AllAtOnce, 1)
	wide.Tasks, wide.Size.Processors, wide.RunTime = 16, 60_000, time.Second
	first, second := c.submit(wide), c.submit(wide)
	c.run(60*time.Second, func() {
		for c.core.Waiting() < 100 {
			c.submit(small)
		}
	})
	t.Logf("the older job waited %v, the younger %v", waitTime(t, c, first), waitTime(t, c, second))
	qt.Assert(t, waitTime(t, c, first) <= bound, qt.IsTrue)
	qt.Assert(t, waitTime(t, c, second) <= 2*bound, qt.IsTrue)
	qt.Assert(t, waitTime(t, c, first) < waitTime(t, c, second), qt.IsTrue)
}

// TestShortWorkBackfillsReservedWorkers checks that batch work that ends before
// a blocked gang can start uses the gang's reserved workers meanwhile, and that
// longer work does not.
func TestShortWorkBackfillsReservedWorkers(t *testing.T) {
	c := newCell(8)
	long := smallWork(task.Batch, 0)
	long.Size.Processors, long.RunTime = 64_000, time.Minute
	c.submit(long)
	wide := smallWork(task.AllAtOnce, 1)
	wide.Tasks, wide.Size.Processors, wide.RunTime = 8, 64_000, time.Second
	blocked := c.submit(wide)
	c.run(4*time.Second, func() {})
	tooLong := smallWork(task.Batch, 2)
	tooLong.RunTime = 10 * time.Minute
	late := c.submit(tooLong)
	short := smallWork(task.Batch, 3)
	short.RunTime = 8 * time.Second
	first := c.submit(short)
	c.run(80*time.Second, func() {})
	qt.Assert(t, waitTime(t, c, first) < time.Second, qt.IsTrue)
	qt.Assert(t, waitTime(t, c, blocked) < 62*time.Second, qt.IsTrue, qt.Commentf("%v", waitTime(t, c, blocked)))
	_, done := c.replies[late]
	qt.Assert(t, done, qt.IsFalse)
}

// TestUrgentWorkGoesFirst frees capacity for one task at a time and records the
// kind of work that starts on it.
func TestUrgentWorkGoesFirst(t *testing.T) {
	c := newCell(1)
	full := smallWork(task.Batch, 0)
	full.Size.Processors = 64_000
	c.submit(full)
	var order []task.Kind
	for _, kind := range []task.Kind{task.Batch, task.AllAtOnce, task.Service, task.Request} {
		w := full
		w.Kind = kind
		c.submit(w)
	}
	urgent := full
	urgent.Urgent = true
	c.submit(urgent)
	for range 5 {
		if c.running[0].Kind == task.Service {
			c.apply(decision.Cancelled{Caller: 1 << 40, Key: c.running[0].Attempt.Work})
		} else {
			c.endOldest()
		}
		c.advance(200 * time.Millisecond)
		order = append(order, c.running[0].Kind)
	}
	qt.Assert(t, order, qt.DeepEquals, []task.Kind{task.Batch, task.Request, task.Service, task.AllAtOnce, task.Batch})
}

// TestBatchWorkStartsInTimeForItsDeadline keeps the cell busy with work of a
// team that goes first by share. Batch work of another team must still start in
// time to meet its deadline.
func TestBatchWorkStartsInTimeForItsDeadline(t *testing.T) {
	c := newCell(8)
	other := smallWork(task.Batch, 1)
	other.Size.Processors, other.RunTime = 32_000, 10*time.Second
	dated := smallWork(task.Batch, 2)
	dated.Size.Processors, dated.RunTime = 32_000, 10*time.Second
	c.apply(decision.TeamsChanged{Teams: []decision.Team{{Name: "t1", Weight: 1000}}})
	c.submit(smallWork(task.Service, 2))
	dated.Deadline = c.now.Add(5 * time.Minute)
	var n uint64
	steps := 0
	c.run(5*time.Minute, func() {
		for c.core.Waiting() < 40 {
			c.submit(other)
		}
		if steps++; steps == 50 {
			n = c.submit(dated)
		}
	})
	qt.Assert(t, waitTime(t, c, n) < 4*time.Minute, qt.IsTrue)
	qt.Assert(t, waitTime(t, c, n) > 3*time.Minute, qt.IsTrue)
}

// TestRetryBudgetBoundsAttempts fails all work of a team and bounds the number
// of its attempts.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	c := newCellWith(8, decision.Options{Region: "centro", DiscoveryPeriod: -1, MaxAttempts: 1000})
	for range 50 {
		c.submit(smallWork(task.Batch, 0))
	}
	attempts := 0
	c.run(60*time.Second, func() {
		for len(c.running) > 0 {
			c.endAttempt(0, task.Broke, task.Size{})
			attempts++
		}
	})
	t.Logf("%d attempts of 50 tasks in a minute", attempts)
	qt.Assert(t, attempts <= 50+100+4*50, qt.IsTrue)
	qt.Assert(t, attempts > 150, qt.IsTrue)
}

// TestUrgentRequestsSpreadOverRacks bounds the urgent requests lost with one
// rack.
func TestUrgentRequestsSpreadOverRacks(t *testing.T) {
	c := newCell(80)
	racks := map[string]int{}
	w := smallWork(task.Request, 0)
	w.Urgent = true
	for range 1000 {
		c.submit(w)
		racks[c.running[0].Rack]++
		c.endOldest()
	}
	for name, n := range racks {
		qt.Check(t, n < 150, qt.IsTrue, qt.Commentf("%d of 1000 in %s", n, name))
	}
	qt.Assert(t, racks, qt.HasLen, 10)
}

// TestServiceRestartsDoNotStarveReservation guards against starving a gang by
// restarted replicas of a service, which may use its reserved workers. Other
// workers must be reserved instead.
func TestServiceRestartsDoNotStarveReservation(t *testing.T) {
	const runTime = 10 * time.Second
	c := newCell(8)
	portal := smallWork(task.Service, 2)
	portal.Tasks, portal.Size.Processors = 4, 16_000
	c.submit(portal)
	small := smallWork(task.Batch, 0)
	small.RunTime, small.Size.Processors = runTime, 16_000
	fill := func() {
		for c.core.Waiting() < 50 {
			c.submit(small)
		}
	}
	c.run(5*time.Second, fill)
	wide := smallWork(task.AllAtOnce, 1)
	wide.Tasks, wide.Size.Processors, wide.RunTime = 2, 64_000, time.Second
	blocked := c.submit(wide)
	c.run(3*time.Second, fill)
	for number := range portal.Tasks {
		i := slices.IndexFunc(c.running, func(a decision.Command) bool { return a.Kind == task.Service && a.Attempt.Task == number })
		c.endAttempt(i, task.Broke, task.Size{})
	}
	c.run(2*time.Minute, fill)
	t.Logf("the job waited %v", waitTime(t, c, blocked))
	qt.Assert(t, waitTime(t, c, blocked) <= 2*(2*time.Second+runTime+2*time.Second), qt.IsTrue)
}
