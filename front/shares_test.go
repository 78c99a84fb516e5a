package front_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// The owner is killed while an organisation runs as much as its limit allows and more of its jobs
// wait. The next owner must count what still runs before it starts anything.
func TestLimitHoldsAcrossTakeover(t *testing.T) {
	d := deploy(t, 2, 3, 700*time.Millisecond)
	document, err := platformstandin.CatalogueDocument(2, "a.example", []platformstandin.Queue{{Name: "plain", Attempts: 3}}, platformstandin.Organisation{Name: "a", Keys: []string{"k"}, Weight: 1, MaxProcessors: 5000})
	qt.Assert(t, err, qt.IsNil)
	d.rows.Put("op", "config", document)
	for _, h := range d.hosts {
		d.awaitVersion(h, 2)
	}
	owner := d.owner()
	next := d.other(owner)
	for n := range 4 {
		status, _ := d.callWithKey(next, "k", http.MethodPost, path("plain", n), jobBody(2))
		qt.Assert(t, status, qt.Equals, http.StatusOK)
	}
	d.await("a job runs", func() bool { return d.monitor.Starts() == 2 })
	owner.kill()
	d.await("all jobs are done", func() bool { return d.monitor.Done() == 8 })
	running, most := 0, 0
	for _, e := range d.monitor.EventsAfter(0) {
		switch e.Kind {
		case workerstandin.RunBegan:
			running++
		case workerstandin.RunEnded:
			running--
		}
		most = max(most, running)
	}
	qt.Check(t, most, qt.Equals, 2)
	qt.Check(t, d.monitor.Faults(), qt.HasLen, 0)
	qt.Check(t, next.metric(t, `organisation_limit_processors{organisation="a"}`), qt.Equals, 5)
}
