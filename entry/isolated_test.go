package entry_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/worker"
)

// moveTimeout bounds the wait for an attempt to move: a takeover, a lease of the
// worker, and the wait for a connection.
const moveTimeout = 90 * time.Second

// TestIsolatedOwnerLetsLeasesLapse cuts the owner of a rack off from the store and
// from its successor, but not from a worker that the successor can't reach, or loses
// the owner and the worker together. The batch run there must end before it is
// started elsewhere, and it must be started in bounded time.
func TestIsolatedOwnerLetsLeasesLapse(t *testing.T) {
	lose := map[string]func(t *testing.T, i *isolationCell){
		"OthersReachBoth": func(_ *testing.T, i *isolationCell) { i.isolate(i.successor) },
		"Alone":           func(_ *testing.T, i *isolationCell) { i.isolate(i.others()...) },
		"Killed":          func(t *testing.T, i *isolationCell) { i.kill(t, i.owner) },
	}
	for name, lose := range lose {
		for hosts, regions := range map[int][]string{3: {"centro"}, 4: {"centro", "austral"}} {
			t.Run(fmt.Sprintf("%s/%d", name, hosts), func(t *testing.T) {
				t.Parallel()
				i := newIsolationCell(t, hosts, regions...)
				i.isolateFirstWorker()
				lose(t, i)
				i.awaitMove(t)
			})
		}
	}
}

// awaitMove waits until the batch run is started on the second worker. It must have
// ended on the first by then.
func (i *isolationCell) awaitMove(t *testing.T) {
	start := time.Now()
	for !i.runsOn(1) {
		if time.Since(start) > moveTimeout {
			t.Fatalf("the run was not started again within %v; it runs on the first worker: %v", moveTimeout, i.runsOn(0))
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, i.runsOn(0), qt.IsFalse, qt.Commentf("the run is under way on both workers"))
	t.Logf("started again after %v", time.Since(start))
}

// TestHalfOfHostsCutFromStoreAreReplaced cuts the owner of the rack and another host off
// from the store only. They are half of the witnesses and could go on for ever; the
// others fence them, and must tell them so.
func TestHalfOfHostsCutFromStoreAreReplaced(t *testing.T) {
	t.Parallel()
	i := newIsolationCell(t, 4, "centro")
	i.isolateFirstWorker()
	cut := 0
	for _, name := range i.others() {
		if name != i.successor && cut == 0 {
			i.hosts[name].path.cut.Store(true)
			cut++
		}
	}
	i.hosts[i.owner].path.cut.Store(true)
	i.awaitMove(t)
}

// TestOutageWithHostKilledKeepsRunAlive loses the store for all and one host of the
// region: the owner of the rack can't tell this from a cut, and must keep the batch
// run going.
func TestOutageWithHostKilledKeepsRunAlive(t *testing.T) {
	for hosts, regions := range map[int][]string{3: {"centro"}, 4: {"centro", "austral"}} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			i := newIsolationCell(t, hosts, regions...)
			i.server.SetFaults(platformstandin.Faults{TableDown: true})
			i.kill(t, i.successor)
			// The lease of the host lapses first, and then those that it renewed.
			for start := time.Now(); time.Since(start) < 10*time.Second+worker.LapseLength; time.Sleep(100 * time.Millisecond) {
				qt.Assert(t, i.runsOn(0), qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
			}
			i.server.SetFaults(platformstandin.Faults{})
		})
	}
}
