package front_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The entries of the workers lapse while the cell is handed over, and the hosts forward
// cached advice about these workers to the next owner. Once the workers are back, a gang
// that needs most of them must start as soon as there is capacity, although advice about
// all of them was requested before.
func TestCachedAdviceForLapsedWorkers(t *testing.T) {
	d := deploy(t, 3, 4, 3*time.Second)
	d.submit(d.hosts[0], "plain", 1, 8)
	d.await("tasks started", func() bool { return d.monitor.Starts() == 8 })
	gang := `{"spec":"x","steps":[{"replicas":12,"cpu":2000,"mem_mb":100,"estimate_ms":300,"gang":true}]}`
	d.await("gang accepted", func() bool {
		status, _ := d.call(d.hosts[0], http.MethodPost, path("advised", 2), gang)
		return status == http.StatusOK
	})
	previous := d.owner()
	d.await("advice", func() bool { return strings.Contains(previous.output.String(), "cell: advice") })
	entries := make([][]byte, len(d.runners))
	for i, r := range d.runners {
		entries[i] = d.rows.Value("servers", r.ID)
		d.rows.Remove("servers", r.ID)
	}
	qt.Assert(t, previous.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var owner *hostProcess
	d.await("the next owner", func() bool {
		owner = d.owner()
		return owner != nil && owner != previous
	})
	d.await("advice forwarded", func() bool { return strings.Contains(owner.output.String(), "cell: advice") })
	for i, r := range d.runners {
		d.rows.Put("servers", r.ID, entries[i])
	}
	d.awaitDone(owner, "plain", 1, 2)
	d.awaitDone(owner, "advised", 2, 3)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 20)
}
