package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestFailedRecordRefusesRequestAtOnce checks that a request whose record
// fails, as while the table is down, is answered with NotRun at once and
// without further actions.
func TestFailedRecordRefusesRequestAtOnce(t *testing.T) {
	core := decision.New(decision.Options{})
	now := time.Unix(1_000_000, 0)
	core.Apply(now, decision.PartitionRecovered{Partition: "p"})
	work := smallWork(task.Request, 1)
	work.Idempotent, work.FirstTry = false, true
	actions := core.Apply(now, decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work})
	qt.Assert(t, actions, qt.HasLen, 1)
	r := actions[0].(decision.Record)
	actions = core.Apply(now, decision.RecordFailed{Token: r.Token})
	qt.Assert(t, actions, qt.HasLen, 1)
	reply := actions[0].(decision.Reply)
	qt.Assert(t, reply.Caller, qt.Equals, uint64(1))
	qt.Assert(t, reply.Answer.State, qt.Equals, task.NotRun)
	qt.Assert(t, reply.Answer.Code, qt.Equals, decision.CodeNotDurable)
	qt.Assert(t, core.Apply(now.Add(time.Minute), decision.Tick{}), qt.HasLen, 0)
}
