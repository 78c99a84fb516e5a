package report_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Bounds at the projected scale. The number of scanned racks and workers stands
// in for the time of a decision, which is not reproducible.
const (
	// maxScannedShare bounds the racks and workers scanned per decision at p99,
	// as a share of the cell's.
	maxScannedShare = 0.25
	// maxMeanScannedShare bounds their mean.
	maxMeanScannedShare = 0.1
	// minRunningShare is the minimum of concurrently running tasks, as a share
	// of ProjectedRunningTasks.
	minRunningShare = 0.95
)

// TestProjectedScale runs the load at full projected scale, with a rack lost at
// the peak. It guards against slow starts and against decisions that scan a
// large share of the cell.
func TestProjectedScale(t *testing.T) {
	t.Parallel()
	l := load.ProjectedScale(1, seed)
	r := virtual.Run(l, report.Core().New(l), virtual.Options{Drain: 10 * time.Second})
	t.Logf("load %s, seed %d: %d tasks ran at once, decision p99 %v", l.Name, l.Seed, r.MaxRunning, time.Duration(r.PerDecision.ValueAtQuantile(99)))
	qt.Check(t, float64(r.MaxRunning) >= minRunningShare*load.ProjectedRunningTasks, qt.IsTrue, qt.Commentf("%d", r.MaxRunning))
	qt.Check(t, r.Wait(load.Urgent, 99) < maxProjectedUrgentWait, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	qt.Check(t, r.Classes[load.Urgent].Unstarted, qt.Equals, 0)
	qt.Check(t, r.Overcommitted+r.DuplicateStarts, qt.Equals, 0)
	checkScanned(t, r, len(l.Cell.Workers))
}

// checkScanned bounds the racks and workers scanned per decision.
func checkScanned(t *testing.T, r *virtual.Result, workers int) {
	t.Helper()
	const rackSize = 8
	whole := float64(workers + workers/rackSize)
	p99 := float64(r.ScannedPerDecision.ValueAtQuantile(99))
	mean := float64(r.Scanned) / float64(r.Placements)
	qt.Check(t, p99 > 0 && p99 <= maxScannedShare*whole, qt.IsTrue, qt.Commentf("%.0f of %.0f at p99", p99, whole))
	qt.Check(t, mean <= maxMeanScannedShare*whole, qt.IsTrue, qt.Commentf("%.0f of %.0f on average", mean, whole))
}
