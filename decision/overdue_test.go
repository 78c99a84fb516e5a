package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestRequestInUnreachableRackIsAnsweredAtDeadline guards against a caller that
// waits for ever: its request, which is not idempotent, was sent to a rack that
// became unreachable and can't be taken over. The caller must get Unknown with
// a RetryAfter at the deadline, and the true result once the rack's owner is
// back.
func TestRequestInUnreachableRackIsAnsweredAtDeadline(t *testing.T) {
	for last, want := range map[decision.Status]task.State{decision.Ended: task.Ran, decision.Refused: task.NotRun} {
		c := qt.New(t)
		now := time.Unix(1_000_000, 0)
		core := decision.New(decision.Options{})
		r := rack.New("r1", "centro", "z1", 1)
		r.SetWorker("w1", rack.Up, task.Size{Processors: 64_000, Memory: 256 * task.Gibibyte, Connections: 64})
		core.Apply(now, decision.DigestChanged{Digest: r.Digest()})
		core.Apply(now, decision.PartitionRecovered{Partition: "p"})
		work := smallWork(task.Request, 1)
		work.ID, work.Idempotent, work.Deadline = "seat", false, now.Add(15*time.Second)
		s := decision.Submitted{Caller: 1, Wait: true, Partition: "p", Work: work}
		record := core.Apply(now, s)[0].(decision.Record)
		place := core.Apply(now, decision.Recorded{Token: record.Token})[0].(decision.Command)
		core.Apply(now, decision.RackUnreachable{Rack: "r1"})
		var answers []task.Answer
		for ; !now.After(work.Deadline); now = now.Add(100 * time.Millisecond) {
			c.Assert(answers, qt.HasLen, 0)
			for _, a := range core.Apply(now, decision.Tick{}) {
				if reply, ok := a.(decision.Reply); ok {
					answers = append(answers, reply.Answer)
				}
			}
		}
		c.Assert(answers, qt.HasLen, 1)
		c.Check(answers[0].State, qt.Equals, task.Unknown)
		c.Check(answers[0].RetryAfter > 0, qt.IsTrue)

		final := core.Apply(now, decision.Report{Status: last, Attempt: place.Attempt, Rack: "r1", Worker: "w1", Outcome: task.Succeeded})
		for _, a := range final {
			if r, ok := a.(decision.Record); ok {
				core.Apply(now, decision.Recorded{Token: r.Token})
			}
		}
		c.Check(replyTo(c, core, now, decision.Queried{Caller: 2, Key: work.Key()}).State, qt.Equals, want)
	}
}
