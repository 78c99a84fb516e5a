package cell_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// serviceWithFiller returns a world of one worker with a service and a filler.
func serviceWithFiller() *world {
	w := newWorld(1)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon, s.LatencyTarget = true, 100*ms }))
	w.submit(job(id(2), "Plain", 1, func(s *workload.Step) { s.Filler = true }))
	return w
}

// reportTail advances the clock by a second, reports a tail latency of the service in
// milliseconds, and returns the processor shares that are ordered.
func (w *world) reportTail(tail float64) []int {
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
	var shares []int
	for _, p := range actions.Paces {
		shares = append(shares, p.Percent)
	}
	return shares
}

// HARM: the service exceeds its latency target however small the share of the filler is, so
// the filler must stop.
func TestFillerStopsBesideAServiceOverItsTarget(t *testing.T) {
	c := qt.New(t)
	w := serviceWithFiller()
	var shares []int
	for range 6 {
		shares = append(shares, w.reportTail(150)...)
	}
	c.Assert(shares, qt.DeepEquals, []int{40, 16, 0})
}

// HARM: a single good measurement is too inexact to raise the share of the filler.
func TestFillerShareIsNotRestoredByASingleGoodMeasurement(t *testing.T) {
	c := qt.New(t)
	w := serviceWithFiller()
	c.Assert(w.reportTail(150), qt.DeepEquals, []int{40})
	for range 5 {
		c.Assert(w.reportTail(10), qt.HasLen, 0)
		c.Assert(w.reportTail(80), qt.HasLen, 0)
	}
}
