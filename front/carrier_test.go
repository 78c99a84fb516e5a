package front_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Two hosts carry calls to the workers of a large cell. One of them is killed with orders
// in flight and hold calls pending, later the owner is killed too, and its successor takes
// over the running tasks. Each task must start exactly once.
func TestTasksStartOnceWhenCarrierAndOwnerAreKilled(t *testing.T) {
	const workers, jobs, tasks = 110, 20, 5
	d := deploy(t, 3, workers, 700*time.Millisecond)
	owner := d.owner()
	carrier := d.other(owner)
	var caller *hostProcess
	for _, h := range d.hosts {
		if h != owner && h != carrier {
			caller = h
		}
	}
	for n := range jobs {
		if n == jobs/2 {
			carrier.kill()
		}
		d.submit(caller, "plain", n, tasks)
	}
	d.awaitDone(caller, "plain", 0, jobs)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, jobs*tasks)
	qt.Assert(t, owner.metric(t, "carried_calls_total") > 0, qt.IsTrue)
	for n := jobs; n < 2*jobs; n++ {
		d.submit(caller, "advised", n, tasks)
	}
	owner.kill()
	d.awaitDone(caller, "advised", jobs, 2*jobs)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 2*jobs*tasks)
}

// metric returns the value of a metric that a host serves.
func (h *hostProcess) metric(t *testing.T, name string) int {
	r, err := http.Get(fmt.Sprintf("http://%s:9464/metrics", h.ip))
	qt.Assert(t, err, qt.IsNil)
	defer r.Body.Close()
	content, err := io.ReadAll(r.Body)
	qt.Assert(t, err, qt.IsNil)
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "vanillaquay_"+name+" "); ok {
			n, err := strconv.Atoi(strings.TrimSpace(value))
			qt.Assert(t, err, qt.IsNil)
			return n
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}
