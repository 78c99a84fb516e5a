package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A service exceeds its latency target beside a filler: the share of the filler is reduced,
// and restored once the service is within its target.
func TestFillerShareFollowsServiceLatency(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon = true; s.LatencyTarget = 100 * ms }))
	w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Filler = true }))
	report := func(tail float64) []cell.Pace {
		w.now += second
		f := w.workers["w0"]
		for i, r := range f.running {
			if r.Task.Job == id(1) {
				f.running[i].Measure = tail
			}
		}
		w.RecordGrant(w.now, "w0")
		w.HandleReport(w.now, w.now, "w0", cell.Report{Life: f.Life, Running: f.running, Complete: true})
		actions, _, _ := w.TakeOutput()
		return actions.Paces
	}
	paces := report(150)
	qt.Assert(t, paces, qt.HasLen, 1)
	qt.Assert(t, paces[0].Percent, qt.Equals, 40)
	qt.Assert(t, paces[0].Task.Job, qt.Equals, id(2))
	// An order that was lost is sent again.
	w.HandlePaceAnswer(paces[0], cell.NoAnswer)
	qt.Assert(t, report(80)[0].Percent, qt.Equals, 40)
	last := 0
	for range 20 {
		for _, p := range report(10) {
			last = p.Percent
		}
	}
	qt.Assert(t, last, qt.Equals, 100)
}

// A filler uses none of a worker's processor capacity, but its memory counts.
func TestFillerUsesNoProcessorCapacity(t *testing.T) {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 5, nil))
	w.submit(job(id(2), "Plain", 9, func(s *workload.Step) { s.Filler = true }))
	qt.Assert(t, w.runningCount(), qt.Equals, 10)
}
