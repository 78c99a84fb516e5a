package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
)

// An order to start is carried out late. A delayed report lists the run, and arrives before
// another report that was requested later but made before the run began: the run must not
// count as lost.
func TestDelayedReportDoesNotEndAReportedRun(t *testing.T) {
	w := newWorld(2)
	w.answer = func(cell.Start) cell.Answer { return cell.NoAnswer }
	w.submit(job(id(1), "Plain", 1, nil))
	qt.Assert(t, w.starts, qt.HasLen, 1)
	w.answer = nil
	s := w.starts[0]
	delayedRequest, laterRequest := w.now+100*ms, w.now+200*ms
	w.now += 300 * ms
	listing := cell.Report{Life: 1, Complete: true, Running: []cell.ActiveRun{{Task: s.Task, Run: s.Run}}}
	w.HandleReport(w.now, delayedRequest, s.Worker.ID, listing)
	w.step()
	w.now += 10 * ms
	w.HandleReport(w.now, laterRequest, s.Worker.ID, cell.Report{Life: 1, Complete: true})
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 1)
	// A report requested after the run was first reported is evidence that it is lost.
	w.now += 100 * ms
	w.HandleReport(w.now, w.now, s.Worker.ID, cell.Report{Life: 1, Complete: true})
	w.step()
	qt.Assert(t, w.starts, qt.HasLen, 2)
}
