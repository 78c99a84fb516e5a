package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// An order to start is carried out late. A report that waited for an end tells of the
// run, and overtakes one that was asked for later and made before the run began: the
// run is not lost.
func TestEarlierReportDoesNotEndARunThatWasSeen(t *testing.T) {
	w := newWorld(2)
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	w.submit(job(id(1), "Plain", 1, nil))
	qt.Assert(t, w.starts, qt.HasLen, 1)
	w.answer = nil
	s := w.starts[0]
	waited, looked := w.now+100*ms, w.now+200*ms
	w.now += 300 * ms
	seen := cell.Report{Life: 1, Complete: true, Running: []cell.ActiveRun{{Task: s.Task, Run: s.Run}}}
	w.HandleReport(w.now, waited, s.Worker.ID, seen)
	w.step()
	w.now += 10 * ms
	w.HandleReport(w.now, looked, s.Worker.ID, cell.Report{Life: 1, Complete: true})
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 1)
	// A report that was asked for after the run was seen does tell.
	w.now += 100 * ms
	w.HandleReport(w.now, w.now, s.Worker.ID, cell.Report{Life: 1, Complete: true})
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 2)
}
