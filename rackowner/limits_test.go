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

// placeAndEnd places an attempt and ends it with a body.
func (f *fixture) placeAndEnd(id string, body []byte) {
	f.command(1, decision.Place, id)
	f.answerCommands("w1")
	f.HandleEvents(f.now, "r1", "w1", []worker.Event{{Attempt: attemptOf(id), Outcome: task.Succeeded, Body: body}})
}

// TestPendingEndLimitRefusesNewAttempts guards against unbounded memory when ends are not
// acknowledged. It reaches the limit on their number or on the bytes of their bodies; an
// acknowledgement then admits one more attempt.
func TestPendingEndLimitRefusesNewAttempts(t *testing.T) {
	for name, test := range map[string]struct{ ends, body int }{
		"Number": {rackowner.MaxPendingEnds, 0},
		"Bytes":  {4, rackowner.MaxPendingEndBytes / 4},
	} {
		t.Run(name, func(t *testing.T) {
			c, f := newAdopted(t)
			body := make([]byte, test.body)
			for i := range test.ends {
				f.placeAndEnd(strconv.Itoa(i), body)
				c.Assert(f.lastReport().Status, qt.Equals, decision.Ended)
			}
			f.command(1, decision.Place, "x")
			c.Assert(f.lastReport().Reason, qt.Equals, rackowner.ReasonBacklog)
			c.Assert(f.sent["w1"], qt.HasLen, 0)
			f.command(1, decision.Forget, "0")
			f.answerCommands("w1")
			f.placeAndEnd("y", body)
			c.Assert(f.lastReport().Attempt, qt.Equals, attemptOf("y"))
			c.Assert(f.lastReport().Status, qt.Equals, decision.Ended)
			f.command(1, decision.Place, "z")
			c.Assert(f.lastReport().Reason, qt.Equals, rackowner.ReasonBacklog)
		})
	}
}

// TestRefusalLimitSuppressesReports guards against a refusal that the rack can't retain:
// the start could still arrive later. After MaxRetainedRefusals withdrawals nothing is
// reported about another attempt until the first refusals have expired.
func TestRefusalLimitSuppressesReports(t *testing.T) {
	c, f := newAdopted(t)
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
	c.Assert(f.lastReport().Attempt, qt.Equals, attemptOf("x"))
	c.Assert(f.lastReport().Status, qt.Equals, decision.Refused)
}
