package decision_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// waited returns how long an answered caller's work waited.
func waited(t *testing.T, c *cell, n uint64) time.Duration {
	a, ok := c.replies[n]
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, a.State, qt.Equals, task.Ran, qt.Commentf("%+v", a))
	return a.Waited
}

// TestAllAtOnceIsNeverStarved keeps a cell full of short batch work and submits
// a job that takes the whole of it. Its wait is bounded by the time before the
// reservation and the longest run time on the workers.
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
	t.Logf("the older job waited %v, the younger %v", waited(t, c, first), waited(t, c, second))
	qt.Assert(t, waited(t, c, first) <= bound, qt.IsTrue)
	qt.Assert(t, waited(t, c, second) <= 2*bound, qt.IsTrue)
	qt.Assert(t, waited(t, c, first) < waited(t, c, second), qt.IsTrue)
}

// TestShortWorkRunsBehindABlockedJob fills the room that a blocked job waits for
// with work that ends before the job can start.
func TestShortWorkRunsBehindABlockedJob(t *testing.T) {
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
	qt.Assert(t, waited(t, c, first) < time.Second, qt.IsTrue)
	qt.Assert(t, waited(t, c, blocked) < 62*time.Second, qt.IsTrue, qt.Commentf("%v", waited(t, c, blocked)))
	_, done := c.replies[late]
	qt.Assert(t, done, qt.IsFalse)
}

// TestUrgentWorkGoesFirst frees one place at a time and looks at what takes it.
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
		c.tickOn(200 * time.Millisecond)
		order = append(order, c.running[0].Kind)
	}
	qt.Assert(t, order, qt.DeepEquals, []task.Kind{task.Batch, task.Request, task.Service, task.AllAtOnce, task.Batch})
}

// TestBatchDeadlineGoesAheadInTime keeps the cell busy with work of a team that
// comes first by share; the run of the other starts in time all the same.
func TestBatchDeadlineGoesAheadInTime(t *testing.T) {
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
	qt.Assert(t, waited(t, c, n) < 4*time.Minute, qt.IsTrue)
	qt.Assert(t, waited(t, c, n) > 3*time.Minute, qt.IsTrue)
}

// TestRetriesHaveABudget lets all work of a team fail, and counts its attempts.
func TestRetriesHaveABudget(t *testing.T) {
	c := newCellWith(8, decision.Options{Region: "centro", DiscoveryPeriod: -1, MaxAttempts: 1000})
	for range 50 {
		c.submit(smallWork(task.Batch, 0))
	}
	attempts := 0
	c.run(60*time.Second, func() {
		for len(c.running) > 0 {
			c.end(0, task.Broke, task.Size{})
			attempts++
		}
	})
	t.Logf("%d attempts of 50 tasks in a minute", attempts)
	qt.Assert(t, attempts <= 50+100+4*50, qt.IsTrue)
	qt.Assert(t, attempts > 150, qt.IsTrue)
}

// TestUrgentRequestsSpreadOverRacks bounds what is lost with one rack.
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

// TestServicesTakeNoReservationForEver lets replicas that were up before come back
// on the workers that are reserved for a job. Other workers are reserved then.
func TestServicesTakeNoReservationForEver(t *testing.T) {
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
		c.end(i, task.Broke, task.Size{})
	}
	c.run(2*time.Minute, fill)
	t.Logf("the job waited %v", waited(t, c, blocked))
	qt.Assert(t, waited(t, c, blocked) <= 2*(2*time.Second+runTime+2*time.Second), qt.IsTrue)
}
