package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// An organisation sends many times its usual to a full cell. Its jobs beyond its share must come
// after those of others that have to start as soon, or these would pay for it; but before jobs that
// can wait for much longer, as short jobs would otherwise be lost behind them for no one's gain.
func TestJobsBeyondTheShareComeAfterThoseAsUrgent(t *testing.T) {
	w := newWorld(1)
	c := catalogue()
	c.Version = 2
	c.Queues = append(c.Queues, workload.Queue{Name: "Patient", Service: "S", MaxAttempts: 3, Stretch: 20, Allowance: second})
	w.SetCatalogue(c)
	w.submit(job(id(1), "Plain", 5, nil))
	beyond := job(id(2), "Plain", 5, nil)
	beyond.BeyondShare = true
	w.submit(beyond)
	w.submit(job(id(3), "Patient", 5, nil))
	w.advance(500 * ms)
	w.submit(job(id(4), "Plain", 5, nil))
	for range 3 {
		w.workers["w0"].endAll(cell.EndedDone)
		w.reportAll()
	}
	var order []string
	for _, s := range w.starts {
		if s.Task.Index == 0 {
			order = append(order, s.Task.Job)
		}
	}
	qt.Assert(t, order, qt.DeepEquals, []string{id(1), id(4), id(2), id(3)})
}
