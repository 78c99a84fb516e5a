package rackowner_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// endOne places an attempt and ends it with a body.
func (f *fixture) endOne(id string, body []byte) {
	f.command(1, decision.Place, id)
	f.obey("w1")
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Attempt: attemptOf(id), Outcome: task.Succeeded, Body: body}})
}

// TestRackTakesNothingNewWhileTooManyEndsWait ends attempts that nobody acknowledges,
// until their number or the bytes of their bodies reach the bound. An acknowledgement
// makes room for one.
func TestRackTakesNothingNewWhileTooManyEndsWait(t *testing.T) {
	for name, test := range map[string]struct{ ends, body int }{
		"Number": {rackowner.MaxPendingEnds, 0},
		"Bytes":  {4, rackowner.MaxPendingEndBytes / 4},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := adopted(t)
			body := make([]byte, test.body)
			for i := range test.ends {
				f.endOne(strconv.Itoa(i), body)
				c.Assert(f.last().Status, qt.Equals, decision.Ended)
			}
			f.command(1, decision.Place, "x")
			c.Assert(f.last().Reason, qt.Equals, rackowner.ReasonBacklog)
			c.Assert(f.sent["w1"], qt.HasLen, 0)
			f.command(1, decision.Forget, "0")
			f.obey("w1")
			f.endOne("y", body)
			c.Assert(f.last().Attempt, qt.Equals, attemptOf("y"))
			c.Assert(f.last().Status, qt.Equals, decision.Ended)
			f.command(1, decision.Place, "z")
			c.Assert(f.last().Reason, qt.Equals, rackowner.ReasonBacklog)
		})
	}
}

// TestRefusalsThatCannotBeRememberedAreNotTold withdraws more attempts than a rack
// remembers. Nothing is told of one more until the first have expired, since its start
// may still come.
func TestRefusalsThatCannotBeRememberedAreNotTold(t *testing.T) {
	c, f := adopted(t)
	for i := range rackowner.MaxRetainedRefusals {
		f.command(1, decision.Withdraw, strconv.Itoa(i))
	}
	c.Assert(f.reports, qt.HasLen, rackowner.MaxRetainedRefusals)
	f.command(1, decision.Withdraw, "x")
	f.command(1, decision.Settle, "x")
	c.Assert(f.reports, qt.HasLen, rackowner.MaxRetainedRefusals)
	f.now = f.now.Add(rackowner.RefusalRetention + time.Millisecond)
	f.Tick(f.now)
	f.command(1, decision.Withdraw, "x")
	c.Assert(f.last().Attempt, qt.Equals, attemptOf("x"))
	c.Assert(f.last().Status, qt.Equals, decision.Refused)
}
