package decision_test

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// tickInterval is the time between two ticks.
const tickInterval = 100 * time.Millisecond

// countAttempts ends every attempt of a batch task with an outcome and lets a
// new owner recover from a snapshot between the attempts, or while each runs.
// It returns the number of attempts until no other followed, or limit.
func countAttempts(outcome task.Outcome, running bool, limit int) int {
	r := newRecorder()
	w := smallWork(task.Batch, 0)
	w.ID = "w"
	r.apply(decision.Submitted{Caller: 1, Partition: snapshotPartition, Work: w})
	attempts := 0
	for attempts < limit {
		for step := 0; len(r.running) == 0 && step < 1000; step++ {
			r.acknowledge()
			r.advance(100)
		}
		if len(r.running) == 0 {
			return attempts
		}
		if running {
			r.takeOver()
		}
		r.report(0, decision.Ended, outcome)
		attempts++
		for len(r.unacknowledged) > 0 {
			r.acknowledge()
		}
		if !running {
			r.takeOver()
		}
	}
	return attempts
}

// TestAttemptsAreBoundedOverTakeovers guards against unlimited retries because
// a takeover resets the count: a task fails or is lost after each recovery from
// a snapshot.
func TestAttemptsAreBoundedOverTakeovers(t *testing.T) {
	for _, running := range []bool{false, true} {
		broke := countAttempts(task.Broke, running, 100)
		lost := countAttempts(task.Lost, running, 100)
		t.Logf("taken over while running: %t; %d attempts that failed, %d that were lost", running, broke, lost)
		qt.Check(t, broke, qt.Equals, decision.DefaultMaxAttempts)
		qt.Check(t, lost, qt.Equals, 4*decision.DefaultMaxAttempts)
	}
}

// TestEachReplicaHasItsOwnPause guards against a backoff shared by the replicas
// of a service. One replica crashes until its backoff is at the limit. Another
// that crashes once, before or after the last of these crashes, must restart at
// once and must not restart the first one with it.
func TestEachReplicaHasItsOwnPause(t *testing.T) {
	for _, order := range [][]int{{1, 0}, {0, 1}} {
		c := newCell(16)
		w := smallWork(task.Service, 0)
		w.Tasks = 4
		c.submit(w)
		for crashes := 0; crashes < 10; c.advance(tickInterval) {
			if i := c.replicaIndex(0); i >= 0 {
				c.endAttempt(i, task.Broke, task.Size{})
				crashes++
			}
		}
		for c.replicaIndex(0) < 0 {
			c.advance(tickInterval)
		}
		for _, number := range order {
			c.endAttempt(c.replicaIndex(number), task.Broke, task.Size{})
		}
		ticks := 0
		for ; c.replicaIndex(1) < 0; ticks++ {
			c.advance(tickInterval)
		}
		t.Logf("crashes in order %v: the other replica was up after %d ticks of %v", order, ticks, tickInterval)
		qt.Check(t, ticks <= 4, qt.IsTrue)
		qt.Check(t, c.replicaIndex(0), qt.Equals, -1)
	}
}

// replicaIndex returns the index of a task in running, or -1.
func (c *cell) replicaIndex(number int) int {
	return slices.IndexFunc(c.running, func(a decision.Command) bool { return a.Attempt.Task == number })
}
