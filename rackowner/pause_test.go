package rackowner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/worker"
)

// TestStartsAreBlockedAfterPauseUntilBothReads guards against starts on workers that began
// to leave while the process was paused.
func TestStartsAreBlockedAfterPauseUntilBothReads(t *testing.T) {
	c := qt.New(t)
	f := newFixture()
	f.adopt("w1", "a")
	f.command(1, decision.Hold, "held")
	beforePause := f.now
	f.now = f.now.Add(3 * time.Second)
	f.HandlePause(f.now)
	f.command(1, decision.Place, "new")
	c.Assert(f.lastReport().Reason, qt.Equals, rackowner.ReasonPaused)
	f.RecordRead(rackowner.ReadHosts, f.now)
	f.command(1, decision.Confirm, "held")
	c.Assert(f.lastReport().Reason, qt.Equals, rackowner.ReasonPaused)
	// A read that began before the pause doesn't count.
	f.RecordRead(rackowner.ReadDrained, beforePause)
	f.command(1, decision.Place, "new")
	c.Assert(f.lastReport().Reason, qt.Equals, rackowner.ReasonPaused)
	c.Assert(f.sent["w1"], qt.HasLen, 0)
	f.RecordRead(rackowner.ReadDrained, f.now)
	f.command(1, decision.Place, "later")
	c.Assert(f.sentVerbs("w1"), qt.DeepEquals, []worker.Verb{worker.Start})
}
