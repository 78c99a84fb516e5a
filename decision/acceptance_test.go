package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestServiceAcceptanceRecordsItsAttempts checks that one entry records the
// acceptance of a service and its first attempt. The cell has capacity for one
// of two replicas; the record is either certain or in doubt for a while.
func TestServiceAcceptanceRecordsItsAttempts(t *testing.T) {
	for _, inDoubt := range []bool{false, true} {
		c := newCell(1)
		w := smallWork(task.Service, 0)
		w.ID, w.Tasks, w.Size.Processors = "service", 2, 40_000
		accept := c.core.Apply(c.now, decision.Submitted{Caller: 1, Partition: "p", Work: w})[0].(decision.Record)
		qt.Assert(t, accept.Entry.Verb, qt.Equals, record.Accept)
		qt.Assert(t, accept.Entry.Begun, qt.HasLen, 1)
		if inDoubt {
			c.apply(decision.RecordFailed{Token: accept.Token, InDoubt: true})
		}
		c.apply(decision.Recorded{Token: accept.Token})
		qt.Assert(t, c.running, qt.HasLen, 1, qt.Commentf("in doubt: %v", inDoubt))
		number := map[bool]int{false: 1, true: 2}[inDoubt]
		qt.Check(t, c.running[0].Attempt.Number, qt.Equals, number)
		r := c.racks["r0000"]
		r.SetWorker("r0000-1", rack.Up, task.Size{Processors: 64_000, Memory: 64 * task.Gibibyte, Slots: 8})
		c.apply(decision.DigestChanged{Digest: r.Digest()})
		c.run(time.Second, func() {})
		qt.Check(t, c.running, qt.HasLen, 2)
	}
}
