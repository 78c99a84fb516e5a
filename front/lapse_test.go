package front_test

import (
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// The entries of the workers have lapsed while the cell changes hands, and the hosts pass on
// what the advice service said of them. Once the workers are back, a gang that needs most of
// them starts as soon as there is room, though all of them were asked about before.
func TestAnswersPassedOnWhileWorkersHaveLapsed(t *testing.T) {
	d := deploy(t, 3, 4, 3*time.Second)
	d.submit(d.hosts[0], "plain", 1, 8)
	d.await("work begun", func() bool { return d.floor.Starts() == 8 })
	gang := `{"spec":"x","steps":[{"replicas":12,"cpu":2000,"mem_mb":100,"estimate_ms":300,"gang":true}]}`
	d.await("gang accepted", func() bool {
		status, _ := d.call(d.hosts[0], http.MethodPost, path("advised", 2), gang)
		return status == http.StatusOK
	})
	earlier := d.owner()
	d.await("advice", func() bool { return strings.Contains(earlier.output.String(), "cell: advice") })
	entries := make([][]byte, len(d.runners))
	for i, r := range d.runners {
		entries[i] = d.rows.Value("servers", r.ID)
		d.rows.Remove("servers", r.ID)
	}
	qt.Assert(t, earlier.command.Process.Signal(syscall.SIGTERM), qt.IsNil)
	var owner *hostProcess
	d.await("the next owner", func() bool {
		owner = d.owner()
		return owner != nil && owner != earlier
	})
	d.await("advice passed on", func() bool { return strings.Contains(owner.output.String(), "cell: advice") })
	for i, r := range d.runners {
		d.rows.Put("servers", r.ID, entries[i])
	}
	d.awaitDone(owner, "plain", 1, 2)
	d.awaitDone(owner, "advised", 2, 3)
	qt.Assert(t, d.floor.Starts(), qt.Equals, 20)
}
