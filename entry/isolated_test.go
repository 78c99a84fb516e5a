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

// TestIsolatedOwnerLetsLeasesLapse guards against a batch run that runs on two workers
// at once. The rack's owner is cut off from the store and from its successor, but not
// from a worker that the successor can't reach; in one case the owner is killed
// instead. The batch run on that worker must end before it is started elsewhere, which
// must happen in bounded time.
func TestIsolatedOwnerLetsLeasesLapse(t *testing.T) {
	lose := map[string]func(t *testing.T, i *isolationCell){
		"OthersReachBoth": func(_ *testing.T, i *isolationCell) { i.isolate(i.successor) },
		"Alone":           func(_ *testing.T, i *isolationCell) { i.isolate(i.otherHosts()...) },
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

// awaitMove waits until the batch run is started on the second worker. By then it must
// have ended on the first.
func (i *isolationCell) awaitMove(t *testing.T) {
	start := time.Now()
	for !i.runsOn(1) {
		if time.Since(start) > moveTimeout {
			t.Fatalf("run not restarted within %v; still on the first worker: %v", moveTimeout, i.runsOn(0))
		}
		time.Sleep(10 * time.Millisecond)
	}
	qt.Assert(t, i.runsOn(0), qt.IsFalse, qt.Commentf("the run is running on both workers"))
	t.Logf("restarted after %v", time.Since(start))
}

// TestHalfOfHostsCutFromStoreAreReplaced cuts the rack's owner and another host off
// from the store only. They are half of the witnesses and could renew the worker's
// leases for ever, so the other hosts must fence them and notify them of that.
func TestHalfOfHostsCutFromStoreAreReplaced(t *testing.T) {
	t.Parallel()
	i := newIsolationCell(t, 4, "centro")
	i.isolateFirstWorker()
	cut := 0
	for _, name := range i.otherHosts() {
		if name != i.successor && cut == 0 {
			i.hosts[name].path.cut.Store(true)
			cut++
		}
	}
	i.hosts[i.owner].path.cut.Store(true)
	i.awaitMove(t)
}

// TestOutageWithHostKilledKeepsRunAlive guards against a batch run that ends because
// the store is down for all and one host of the region is killed: the rack's owner
// can't distinguish this from a network partition and must keep the run going.
func TestOutageWithHostKilledKeepsRunAlive(t *testing.T) {
	for hosts, regions := range map[int][]string{3: {"centro"}, 4: {"centro", "austral"}} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			t.Parallel()
			i := newIsolationCell(t, hosts, regions...)
			i.server.SetFaults(platformstandin.Faults{TableDown: true})
			i.kill(t, i.successor)
			// The lease of the host lapses first, and then those that it renewed.
			for start := time.Now(); time.Since(start) < 10*time.Second+worker.LeaseLapseTimeout; time.Sleep(100 * time.Millisecond) {
				qt.Assert(t, i.runsOn(0), qt.IsTrue, qt.Commentf("after %v", time.Since(start)))
			}
			i.server.SetFaults(platformstandin.Faults{})
		})
	}
}
