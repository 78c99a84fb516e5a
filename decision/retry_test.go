package decision_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// tickStep is the time between two ticks.
const tickStep = 100 * time.Millisecond

// attemptsOver lets every attempt of a batch task end with an outcome, and a new
// owner recover from a snapshot between the attempts. It returns how many
// attempts there were before the final answer, or limit.
func attemptsOver(outcome task.Outcome, running bool, limit int) int {
	r := newRecorder()
	w := smallWork(task.Batch, 0)
	w.ID = "w"
	r.apply(decision.Submitted{Caller: 1, Partition: snapshotPartition, Work: w})
	attempts := 0
	for attempts < limit {
		for step := 0; len(r.running) == 0 && step < 1000; step++ {
			r.acknowledge()
			r.pass(100)
		}
		if len(r.running) == 0 {
			return attempts
		}
		if running {
			r.takeOver()
		}
		r.report(0, decision.Ended, outcome)
		attempts++
		for len(r.waiting) > 0 {
			r.acknowledge()
		}
		if !running {
			r.takeOver()
		}
	}
	return attempts
}

// TestAttemptsAreBoundedOverTakeovers lets a task fail, or be lost, each time
// that a new owner has recovered it from a snapshot.
func TestAttemptsAreBoundedOverTakeovers(t *testing.T) {
	for _, running := range []bool{false, true} {
		broke := attemptsOver(task.Broke, running, 100)
		lost := attemptsOver(task.Lost, running, 100)
		t.Logf("taken over while running: %t; %d attempts that failed, %d that were lost", running, broke, lost)
		qt.Check(t, broke, qt.Equals, decision.DefaultMaxAttempts)
		qt.Check(t, lost, qt.Equals, 4*decision.DefaultMaxAttempts)
	}
}

// TestEachReplicaHasItsOwnPause lets one replica of a service crash again and
// again, so that its pause grows to the limit. Another one that crashes once,
// before or after the last of these crashes, is up again at once, and does not
// bring the first one up with it.
func TestEachReplicaHasItsOwnPause(t *testing.T) {
	for _, order := range [][]int{{1, 0}, {0, 1}} {
		c := newCell(16)
		w := smallWork(task.Service, 0)
		w.Tasks = 4
		c.submit(w)
		for crashes := 0; crashes < 10; c.tickOn(tickStep) {
			if i := c.replica(0); i >= 0 {
				c.end(i, task.Broke, task.Size{})
				crashes++
			}
		}
		for c.replica(0) < 0 {
			c.tickOn(tickStep)
		}
		for _, number := range order {
			c.end(c.replica(number), task.Broke, task.Size{})
		}
		ticks := 0
		for ; c.replica(1) < 0; ticks++ {
			c.tickOn(tickStep)
		}
		t.Logf("crashes in order %v: the sibling was up after %d ticks of %v", order, ticks, tickStep)
		qt.Check(t, ticks <= 4, qt.IsTrue)
		qt.Check(t, c.replica(0), qt.Equals, -1)
	}
}

// replica returns the index of a task among the running ones, or -1.
func (c *cell) replica(number int) int {
	return slices.IndexFunc(c.running, func(a decision.Command) bool { return a.Attempt.Task == number })
}
