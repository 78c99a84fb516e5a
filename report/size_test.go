package report_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Bounds at the size to come. How much is looked at stands for the time of a
// decision, which does not repeat.
const (
	// lookedMost is the most racks and workers that a decision looks at, at p99,
	// as a part of those of the cell.
	lookedMost = 0.25
	// lookedMean is the same on average.
	lookedMean = 0.1
	// runningLeast is the least part of the running tasks to come that a run
	// must reach.
	runningLeast = 0.95
)

// TestTheSizeToCome runs the whole of it, with a rack lost at the peak.
func TestTheSizeToCome(t *testing.T) {
	t.Parallel()
	l := load.ProjectedScale(1, seed)
	r := virtual.Run(l, report.Core().New(l), virtual.Options{Drain: 10 * time.Second})
	t.Logf("load %s, seed %d: %d tasks ran at once, decision p99 %v", l.Name, l.Seed, r.MaxRunning, time.Duration(r.PerDecision.ValueAtQuantile(99)))
	qt.Check(t, float64(r.MaxRunning) >= runningLeast*load.ProjectedRunningTasks, qt.IsTrue, qt.Commentf("%d", r.MaxRunning))
	qt.Check(t, r.Wait(load.Urgent, 99) < urgentLetter, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	qt.Check(t, r.Classes[load.Urgent].Unstarted, qt.Equals, 0)
	qt.Check(t, r.Overcommitted+r.DuplicateStarts, qt.Equals, 0)
	checkLooked(t, r, len(l.Cell.Workers))
}

// checkLooked bounds what is looked at for a decision.
func checkLooked(t *testing.T, r *virtual.Result, workers int) {
	t.Helper()
	const rackSize = 8
	whole := float64(workers + workers/rackSize)
	p99 := float64(r.ScannedPerDecision.ValueAtQuantile(99))
	mean := float64(r.Scanned) / float64(r.Placements)
	qt.Check(t, p99 > 0 && p99 <= lookedMost*whole, qt.IsTrue, qt.Commentf("%.0f of %.0f at p99", p99, whole))
	qt.Check(t, mean <= lookedMean*whole, qt.IsTrue, qt.Commentf("%.0f of %.0f on average", mean, whole))
}
