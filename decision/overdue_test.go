package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestRequestSentToALostRackIsAnsweredByItsDeadline sends a request that is not
// idempotent to a rack which then can't be reached, and whose owner nobody can replace.
// Whether it started is not known, so that its caller is told so, and when to come back,
// no later than at the deadline; and what became of it, once the rack's owner is back.
func TestRequestSentToALostRackIsAnsweredByItsDeadline(t *testing.T) {
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
		var told []task.Answer
		for ; !now.After(work.Deadline); now = now.Add(100 * time.Millisecond) {
			c.Assert(told, qt.HasLen, 0)
			for _, a := range core.Apply(now, decision.Tick{}) {
				if reply, ok := a.(decision.Reply); ok {
					told = append(told, reply.Answer)
				}
			}
		}
		c.Assert(told, qt.HasLen, 1)
		c.Check(told[0].State, qt.Equals, task.Unknown)
		c.Check(told[0].RetryAfter > 0, qt.IsTrue)

		final := core.Apply(now, decision.Report{Status: last, Attempt: place.Attempt, Rack: "r1", Worker: "w1", Outcome: task.Succeeded})
		for _, a := range final {
			if r, ok := a.(decision.Record); ok {
				core.Apply(now, decision.Recorded{Token: r.Token})
			}
		}
		c.Check(replyTo(c, core, now, decision.Queried{Caller: 2, Key: work.Key()}).State, qt.Equals, want)
	}
}
