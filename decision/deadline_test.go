package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestLateWorkNeverStarts submits work after its deadline. A first try is
// refused as not run, and so is a repeat of work that needs a record; a repeat
// of work that needs none is answered with Unknown.
func TestLateWorkNeverStarts(t *testing.T) {
	core := decision.New(decision.Options{})
	now := time.Unix(1_000_000, 0)
	late := smallWork(task.Request, 1)
	late.Idempotent, late.FirstTry, late.Deadline = false, true, now.Add(-time.Second)
	actions := core.Apply(now, decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: late})
	qt.Assert(t, actions, qt.HasLen, 1)
	reply := actions[0].(decision.Reply)
	qt.Assert(t, reply.Answer.State, qt.Equals, task.NotRun)
	qt.Assert(t, reply.Answer.Code, qt.Equals, decision.CodeDeadlinePassed)

	late.FirstTry = false
	reply = core.Apply(now, decision.Submitted{Caller: 2, Wait: true, Partition: "p", Work: late})[0].(decision.Reply)
	qt.Assert(t, reply.Answer.State, qt.Equals, task.NotRun)

	// Without a record, an earlier owner may have run it.
	late.Idempotent = true
	reply = core.Apply(now, decision.Submitted{Caller: 3, Wait: true, Partition: "p", Work: late})[0].(decision.Reply)
	qt.Assert(t, reply.Answer.State, qt.Equals, task.Unknown)
}
