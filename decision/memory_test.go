package decision_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// Guards against work that is accepted beyond the memory for it, against a limit that batch runs take
// from urgent work, and against memory that counts after the work has ended.
func TestWorkBeyondTheMemoryIsRefused(t *testing.T) {
	const payloadBytes, fitting = 1 << 20, 10
	c := qt.New(t)
	s := newCellWith(8, decision.Options{Region: "centro", DiscoveryPeriod: -1, MemoryLimit: fitting * (payloadBytes + 8<<10)})
	submit := func(kind task.Kind) (refused bool) {
		w := smallWork(kind, 0)
		w.Payload = make([]byte, payloadBytes)
		a, answered := s.replies[s.submit(w)]
		if answered {
			c.Assert(a.Code, qt.Equals, decision.CodeOverloaded)
			c.Assert(a.State, qt.Equals, task.NotRun)
			c.Assert(a.RetryAfter > 0, qt.IsTrue)
		}
		return answered
	}
	for range 6 {
		c.Assert(submit(task.Batch), qt.IsFalse)
	}
	c.Check(submit(task.Batch), qt.IsTrue)
	for range 3 {
		c.Assert(submit(task.Request), qt.IsFalse)
	}
	c.Check(submit(task.Request), qt.IsTrue)
	for len(s.running) > 0 {
		s.endOldest()
	}
	c.Check(submit(task.Batch), qt.IsFalse)
}
