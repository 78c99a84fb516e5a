package front_test

import (
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Each machine of a wave must have its upkeep in time, one at a time and without loss of
// jobs, although the owner is killed and an answer is lost.
func TestWaveContinuesAfterOwnerIsKilled(t *testing.T) {
	d := deploy(t, 3, 4, 300*time.Millisecond)
	d.fleet.LoseAnswers(1)
	d.runWave(func(owner *hostProcess) { owner.kill() })
}

// The owner stops while its last orders are unanswered. Its successor begins within 0.2 s
// and must send the orders again, but none for a machine that its predecessor may have
// ordered something just before.
func TestWaveContinuesAfterHandOver(t *testing.T) {
	d := deploy(t, 3, 4, 300*time.Millisecond)
	d.fleet.LoseAnswers(4)
	d.runWave(func(owner *hostProcess) { qt.Assert(t, owner.command.Process.Signal(syscall.SIGTERM), qt.IsNil) })
}

// runWave runs a wave of upkeep beside some jobs, and ends the owner meanwhile.
func (d *deployment) runWave(end func(owner *hostProcess)) {
	d.t.Helper()
	for n := range 6 {
		d.submit(d.hosts[n%3], "plain", n, 6)
	}
	d.rows.Put("op", "wave/7", []byte(`{"wave":7,"machines":["m0","m1","m2"],"within_s":12,"max_count":1}`))
	d.await("a machine is down", func() bool { return d.fleet.MaxDown() > 0 })
	owner := d.owner()
	end(owner)
	d.await("the wave is done", func() bool { return strings.Contains(string(d.rows.Value("status", "wave/7")), `"done"`) })
	for _, m := range []string{"m0", "m1", "m2"} {
		qt.Check(d.t, d.fleet.UpkeepStarted(m, 7), qt.IsTrue)
	}
	qt.Assert(d.t, d.fleet.MaxDown(), qt.Equals, 1)
	qt.Assert(d.t, d.fleet.Faults(), qt.HasLen, 0)
	d.awaitDone(d.other(owner), "plain", 0, 6)
}
