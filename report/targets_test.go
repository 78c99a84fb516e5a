package report_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// seed is the seed of every load in the tests.
const seed = 1

// projectedScale is the scale of the projected load in the tests of this file.
const projectedScale = 0.05

// Bounds that the core must meet.
const (
	maxUrgentWait          = 50 * time.Millisecond
	maxProjectedUrgentWait = 3 * time.Second
	minPackingRatio        = 0.95
	maxBatchWaitRatio      = 1.5
	maxWasteShare          = 0.02
	maxFailingWorkerShare  = 0.01
	minOverloadStartRatio  = 0.99
	minOutageStartRatio    = 0.9
	maxOutageRefusalTime   = 100 * time.Millisecond
	maxWritesPerSecond     = tablestore.WriteBudget
	maxAllAtOnceWait       = 150 * time.Second
	reserveAfter           = 2 * time.Second
	maxRunTime             = 50 * time.Second
	maxRefusalTime         = 10 * time.Millisecond
	// maxRemoteServiceDelay bounds how much later than under FIFO services
	// start at the peak: the core runs more of them in the other region.
	maxRemoteServiceDelay = 5 * time.Millisecond
)

// cachedResult is a result shared by several tests.
type cachedResult struct {
	once   sync.Once
	result *virtual.Result
}

var results sync.Map

// result returns the result of a scheduler on a load, which is measured only
// once.
func result(t *testing.T, l load.Load, c report.Scheduler) *virtual.Result {
	t.Helper()
	entry, _ := results.LoadOrStore(l.Name+c.Name, &cachedResult{})
	m := entry.(*cachedResult)
	m.once.Do(func() { m.result = virtual.Run(l, c.New(l), virtual.Options{}) })
	t.Logf("load %s, seed %d, scheduler %s", l.Name, l.Seed, c.Name)
	return m.result
}

func cells() []load.Cell { return []load.Cell{load.TrinacriaCell(), load.AsociacionCell()} }

// forEachCell runs a test for a load of each cell.
func forEachCell(t *testing.T, build func(load.Cell, uint64) load.Load, test func(c *qt.C, l load.Load)) {
	for _, cell := range cells() {
		l := build(cell, seed)
		t.Run(l.Name, func(t *testing.T) {
			t.Parallel()
			test(qt.New(t), l)
		})
	}
}

func fifo() report.Scheduler { return report.Baselines()[0] }

func TestUrgentWorkStartsAtOnceOnAPlainDay(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Plain, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		c.Check(r.Wait(load.Urgent, 99) < maxUrgentWait, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	})
}

func TestUrgentWorkStartsInTimeAtProjectedScaleWithRackLost(t *testing.T) {
	t.Parallel()
	r := result(t, load.ProjectedScale(projectedScale, seed), report.Core())
	qt.Check(t, r.Wait(load.Urgent, 99) < maxProjectedUrgentWait, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	qt.Check(t, r.Classes[load.Urgent].Unstarted, qt.Equals, 0)
}

func TestPackingComesCloseToTheBestBaseline(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Backlog, load.WrongSizes} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			best := 0.0
			for _, b := range report.Baselines() {
				best = max(best, result(c.TB.(*testing.T), l, b).Packing())
			}
			core := result(c.TB.(*testing.T), l, report.Core()).Packing()
			c.Check(core >= minPackingRatio*best, qt.IsTrue, qt.Commentf("core %.3f, best baseline %.3f", core, best))
		})
	}
}

// Work must not wait longer than under FIFO; batch work may wait up to
// maxBatchWaitRatio as long. Both runs have the same load, so that their exact
// percentiles can be compared.
func TestWaitsAreWithinThoseOfFIFO(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{
		load.Plain, load.Peak, load.Backlog, load.LostRack, load.LostRackAtPeak, load.Cancellations, load.Halves, load.FailingWorkers,
	} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			core := result(c.TB.(*testing.T), l, report.Core())
			other := result(c.TB.(*testing.T), l, fifo())
			for class, part := range map[load.Class]float64{load.Urgent: 1, load.Request: 1, load.Service: 1, load.Batch: maxBatchWaitRatio} {
				bound := time.Duration(float64(other.Wait(class, 99)) * part)
				if class == load.Service && strings.Contains(l.Name, "Peak") {
					bound += maxRemoteServiceDelay
				}
				wait := core.Wait(class, 99)
				c.Check(wait <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, wait, bound))
			}
		})
	}
}

// TestServicesAreDecidedNoLaterThanUnderFIFO leaves out the delay to the
// worker, which differs between the schedulers.
func TestServicesAreDecidedNoLaterThanUnderFIFO(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Peak, load.Cancellations} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			core := result(c.TB.(*testing.T), l, report.Core()).Classes[load.Service].DecisionWaits.Percentile(99)
			other := result(c.TB.(*testing.T), l, fifo()).Classes[load.Service].DecisionWaits.Percentile(99)
			c.Check(core <= other, qt.IsTrue, qt.Commentf("p99 %v, in order of arrival %v", core, other))
		})
	}
}

func TestAllAtOnceJobsAreNeverStarved(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Halves, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		c.Check(r.Classes[load.AllAtOnce].Unstarted, qt.Equals, 0)
		c.Check(r.Wait(load.AllAtOnce, 100) < maxAllAtOnceWait, qt.IsTrue, qt.Commentf("max %v", r.Wait(load.AllAtOnce, 100)))
	})
}

func TestAllAtOnceJobsStartWithinTheStatedBound(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Halves, func(c *qt.C, l load.Load) {
		checkJobs(c, result(c.TB.(*testing.T), l, report.Core()))
	})
}

// checkJobs checks the bound on the wait of all-at-once jobs. A job waits for
// the older ones and then, as they do, for the longest run on the workers
// reserved for it.
func checkJobs(c *qt.C, r *virtual.Result) {
	for i, j := range r.Jobs {
		rounds := time.Duration(1)
		for _, older := range r.Jobs[:i] {
			if older.Started > j.Arrived {
				rounds++
			}
		}
		bound := rounds * (reserveAfter + maxRunTime + time.Second)
		c.Check(j.Started > 0 && j.Started-j.Arrived <= bound, qt.IsTrue,
			qt.Commentf("job %d: %v after %v, bound %v", i, j.Started, j.Arrived, bound))
	}
}

func TestPreemptionWastesLittle(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Backlog, load.Halves, load.LostRack} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			r := result(c.TB.(*testing.T), l, report.Core())
			c.Check(r.WasteShare() < maxWasteShare, qt.IsTrue, qt.Commentf("wasted %.4f", r.WasteShare()))
		})
	}
}

func TestFailingWorkersLoseFewAttempts(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.FailingWorkers, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		lost := float64(r.FailingWorkerStarts) / float64(r.Attempts)
		c.Check(lost < maxFailingWorkerShare, qt.IsTrue, qt.Commentf("%d of %d attempts", r.FailingWorkerStarts, r.Attempts))
	})
}

func TestUrgentWorkKeepsItsRateUnderTwiceTheCapacity(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Twice, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		urgent := r.Classes[load.Urgent]
		c.Check(float64(urgent.Started) >= minOverloadStartRatio*float64(urgent.Submitted), qt.IsTrue)
		c.Check(r.Wait(load.Urgent, 100*minOverloadStartRatio) < time.Second, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
		refused := 0
		for class, of := range r.Classes {
			refused += of.Refused
			c.Check(of.MaxRefusalTime < maxRefusalTime, qt.IsTrue, qt.Commentf("%s: refused after %v", class, of.MaxRefusalTime))
			c.Check(of.WithoutRetryAfter, qt.Equals, 0)
		}
		c.Check(refused > 0, qt.IsTrue)
	})
}

func TestSafeRequestsGoOnWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.StoreOutage, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		safe := r.Classes[load.Request]
		c.Check(float64(safe.Started) >= minOutageStartRatio*float64(safe.Submitted), qt.IsTrue, qt.Commentf("%d of %d", safe.Started, safe.Submitted))
		urgent := r.Classes[load.Urgent]
		c.Check(urgent.Failed, qt.Equals, 0)
		c.Check(urgent.Started+urgent.Refused, qt.Equals, urgent.Submitted)
		c.Check(urgent.MaxRefusalTime < maxOutageRefusalTime, qt.IsTrue, qt.Commentf("refused after %v", urgent.MaxRefusalTime))
	})
}

func TestStoreWritesStayUnderTheLimit(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Peak, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		rate := float64(r.Rows) / l.Length.Seconds()
		c.Check(rate < maxWritesPerSecond, qt.IsTrue, qt.Commentf("%.0f a second", rate))
	})
}

func TestNoWorkerIsOvercommittedAndNoTaskRunsTwice(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Halves, load.LostRack, load.LostRackAtPeak, load.FailingWorkers} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			for _, scheduler := range report.Schedulers() {
				r := result(c.TB.(*testing.T), l, scheduler)
				c.Check(r.Overcommitted, qt.Equals, 0, qt.Commentf("%s", scheduler.Name))
				c.Check(r.DuplicateStarts, qt.Equals, 0, qt.Commentf("%s", scheduler.Name))
			}
		})
	}
}

func TestEqualSeedsGiveEqualDecisions(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.LostRack, func(c *qt.C, l load.Load) {
		for _, scheduler := range report.Schedulers() {
			first := result(c.TB.(*testing.T), l, scheduler)
			again := virtual.Run(l, scheduler.New(l), virtual.Options{})
			c.Check(again.Decisions, qt.Equals, first.Decisions, qt.Commentf("%s", scheduler.Name))
		}
	})
}
