package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestIdempotentRequestIsRetriedIfOwnerIsUnreachable makes a rack unreachable
// while work may run there, and adds another rack. Only an idempotent request
// may get a second attempt, and the end of its first attempt is forgotten.
func TestIdempotentRequestIsRetriedIfOwnerIsUnreachable(t *testing.T) {
	for _, test := range []struct {
		kind       task.Kind
		idempotent bool
		started    bool
		attempts   int
	}{
		{task.Request, true, true, 2},
		{task.Request, true, false, 2},
		{task.Request, false, true, 1},
		{task.Batch, true, true, 1},
	} {
		c := qt.New(t)
		r := newSingleRack()
		work := smallWork(test.kind, 0)
		work.Idempotent = test.idempotent
		r.apply(decision.Submitted{Caller: 1, Partition: "p", Work: work})
		first := decision.Report{Status: decision.Placed, Attempt: r.placed[0].Attempt, Rack: "r1", Worker: "w1", Epoch: 1, Sequence: 2}
		if test.started {
			r.apply(first)
		}
		r.apply(decision.RackUnreachable{Rack: "r1"})
		r.apply(decision.DigestChanged{Digest: rack.Digest{Rack: "r2", Region: "centro", Epoch: 1, Sequence: 1, Workers: r.digest.Workers}})
		c.Assert(r.placed, qt.HasLen, test.attempts)
		c.Assert(r.placed[len(r.placed)-1].Attempt.Number, qt.Equals, test.attempts)
		first.Status, first.Outcome = decision.Ended, task.Succeeded
		before := r.forgetCount
		r.apply(first)
		c.Assert(r.forgetCount, qt.Equals, before+1)
	}
}

// TestUnsentAttemptIsNotLost guards against answering Unknown for a request
// whose start could not be sent. The attempt is reported as refused, so that
// the request is known not to have run.
func TestUnsentAttemptIsNotLost(t *testing.T) {
	c := qt.New(t)
	r := newSingleRack()
	work := smallWork(task.Request, 0)
	work.Deadline = r.now.Add(time.Second)
	r.apply(decision.Submitted{Caller: 1, Partition: "p", Work: work})
	r.apply(decision.RackUnreachable{Rack: "r1", UnsentAttempt: r.placed[0].Attempt})
	r.apply(decision.Report{Status: decision.Refused, Attempt: r.placed[0].Attempt, Rack: "r1"})
	r.now = work.Deadline
	r.apply(decision.Tick{})
	c.Assert(r.answer.State, qt.Equals, task.NotRun)
}
