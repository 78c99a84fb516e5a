package rackowner_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/worker"
)

// TestLateStartOfReplacedPartitionOwnerIsRefused guards against a task that starts twice.
// A paused owner of the partition resumes and sends the start of an attempt, chosen under
// rack epoch 1, after the next owner of the partition has begun another attempt of the
// task. In each case a different fencing check refuses the start.
func TestLateStartOfReplacedPartitionOwnerIsRefused(t *testing.T) {
	// Each function returns the partition epoch under which the late start arrives.
	for name, takeOver := range map[string]func(*fixture) uint64{
		"a later claim is known": func(*fixture) uint64 { return 1 },
		"the rack's owner has settled the attempt": func(f *fixture) uint64 {
			f.command(2, decision.Settle, "x")
			return 2
		},
		"the rack has a later owner, which knows of no claim": func(f *fixture) uint64 {
			f.claims = &rackowner.Claims{}
			f.Owner = rackowner.New(f.recordingPort, f.claims)
			f.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
			f.Claim(f.now, "r1", 2)
			f.adopt("w1", "a")
			return 2
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.adopt("w1", "a")
			late := command(takeOver(f), decision.Place, "x")
			late.Command.Epoch = 1
			next := command(2, decision.Place, "x")
			next.Command.Attempt.Number = 2
			f.HandleCommand(f.now, "e2", next)
			f.HandleCommand(f.now, "e1", late)
			qt.Assert(t, f.sent["w1"], qt.HasLen, 1)
			qt.Assert(t, f.sent["w1"][0].Verb, qt.Equals, worker.Start)
			qt.Assert(t, f.sent["w1"][0].Attempt.Number, qt.Equals, 2)
		})
	}
}
