package virtual_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// A start on a worker that fails everything must not end the wait of the task.
// The only worker fails all attempts of two tasks for 3 s.
func TestStartOnFailingWorkerDoesNotEndWait(t *testing.T) {
	l := twoTaskLoad()
	l.Faults = []load.Fault{{Kind: load.WorkerFails, Until: 3 * time.Second, Target: l.Cell.Workers[0].ID}}
	for i := range l.Items {
		l.Items[i].Work.Idempotent = true
	}
	r := virtual.Run(l, decision.New(decision.Options{Region: "centro"}), virtual.Options{Drain: 2 * time.Minute})
	batch := r.Classes[load.Batch]
	qt.Check(t, batch.Started, qt.Equals, 2)
	qt.Check(t, r.Wait(load.Batch, 0) > 2*time.Second, qt.IsTrue, qt.Commentf("%v", r.Wait(load.Batch, 0)))
	qt.Check(t, batch.DecisionWaits.Percentile(100) < time.Second, qt.IsTrue, qt.Commentf("%v", batch.DecisionWaits.Percentile(100)))
}
