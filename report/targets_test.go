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

// seed is that of every load of the tests.
const seed = 1

// letterPart is the part of the size to come that the tests run.
const letterPart = 0.05

// Bounds that the core is held to.
const (
	urgentPlain   = 50 * time.Millisecond
	urgentLetter  = 3 * time.Second
	packingPart   = 0.95
	batchPart     = 1.5
	wasteMost     = 0.02
	failingMost   = 0.01
	overloadKept  = 0.99
	outageKept    = 0.9
	outageRefusal = 100 * time.Millisecond
	writesASecond = tablestore.WriteBudget
	allAtOnceWait = 150 * time.Second
	reserveAfter  = 2 * time.Second
	longestRun    = 50 * time.Second
	refusedAtOnce = 10 * time.Millisecond
	// abroad is the bound on how much later than in order of arrival services
	// start at the peak: the core runs more of them in the other region.
	abroad = 5 * time.Millisecond
)

// measured is a result that several tests look at.
type measured struct {
	once   sync.Once
	result *virtual.Result
}

var results sync.Map

// result runs a contender on a load once.
func result(t *testing.T, l load.Load, c report.Scheduler) *virtual.Result {
	t.Helper()
	entry, _ := results.LoadOrStore(l.Name+c.Name, &measured{})
	m := entry.(*measured)
	m.once.Do(func() { m.result = virtual.Run(l, c.New(l), virtual.Options{}) })
	t.Logf("load %s, seed %d, scheduler %s", l.Name, l.Seed, c.Name)
	return m.result
}

func cells() []load.Cell { return []load.Cell{load.TrinacriaCell(), load.AsociacionCell()} }

// each runs a test for a load of each cell.
func each(t *testing.T, build func(load.Cell, uint64) load.Load, test func(c *qt.C, l load.Load)) {
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
	each(t, load.Plain, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		c.Check(r.Wait(load.Urgent, 99) < urgentPlain, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	})
}

func TestUrgentWorkStartsInTimeAtTheSizeToComeWithARackLost(t *testing.T) {
	t.Parallel()
	r := result(t, load.ProjectedScale(letterPart, seed), report.Core())
	qt.Check(t, r.Wait(load.Urgent, 99) < urgentLetter, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
	qt.Check(t, r.Classes[load.Urgent].Unstarted, qt.Equals, 0)
}

func TestPackingComesCloseToTheBestBaseline(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Backlog, load.WrongSizes} {
		each(t, build, func(c *qt.C, l load.Load) {
			best := 0.0
			for _, b := range report.Baselines() {
				best = max(best, result(c.TB.(*testing.T), l, b).Packing())
			}
			core := result(c.TB.(*testing.T), l, report.Core()).Packing()
			c.Check(core >= packingPart*best, qt.IsTrue, qt.Commentf("core %.3f, best baseline %.3f", core, best))
		})
	}
}

// TestNothingWaitsLongerThanInOrderOfArrival compares exact percentiles of two
// runs of one load.
func TestNothingWaitsLongerThanInOrderOfArrival(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{
		load.Plain, load.Peak, load.Backlog, load.LostRack, load.LostRackAtPeak, load.Cancellations, load.Halves, load.FailingWorkers,
	} {
		each(t, build, func(c *qt.C, l load.Load) {
			core := result(c.TB.(*testing.T), l, report.Core())
			other := result(c.TB.(*testing.T), l, fifo())
			for class, part := range map[load.Class]float64{load.Urgent: 1, load.Request: 1, load.Service: 1, load.Batch: batchPart} {
				bound := time.Duration(float64(other.Wait(class, 99)) * part)
				if class == load.Service && strings.Contains(l.Name, "Peak") {
					bound += abroad
				}
				wait := core.Wait(class, 99)
				c.Check(wait <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, wait, bound))
			}
		})
	}
}

// TestServicesAreDecidedNoLaterThanInOrderOfArrival leaves out the way to the
// worker.
func TestServicesAreDecidedNoLaterThanInOrderOfArrival(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Peak, load.Cancellations} {
		each(t, build, func(c *qt.C, l load.Load) {
			core := result(c.TB.(*testing.T), l, report.Core()).Classes[load.Service].DecisionWaits.Percentile(99)
			other := result(c.TB.(*testing.T), l, fifo()).Classes[load.Service].DecisionWaits.Percentile(99)
			c.Check(core <= other, qt.IsTrue, qt.Commentf("p99 %v, in order of arrival %v", core, other))
		})
	}
}

func TestAllAtOnceJobsAreNeverStarved(t *testing.T) {
	t.Parallel()
	each(t, load.Halves, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		c.Check(r.Classes[load.AllAtOnce].Unstarted, qt.Equals, 0)
		c.Check(r.Wait(load.AllAtOnce, 100) < allAtOnceWait, qt.IsTrue, qt.Commentf("max %v", r.Wait(load.AllAtOnce, 100)))
	})
}

func TestAllAtOnceJobsStartWithinTheStatedBound(t *testing.T) {
	t.Parallel()
	each(t, load.Halves, func(c *qt.C, l load.Load) {
		checkJobs(c, result(c.TB.(*testing.T), l, report.Core()))
	})
}

// checkJobs checks the bound of all-at-once jobs. One waits for the older ones
// and then, like each of them, for the longest run on the workers that are
// reserved for it.
func checkJobs(c *qt.C, r *virtual.Result) {
	for i, j := range r.Jobs {
		turns := time.Duration(1)
		for _, older := range r.Jobs[:i] {
			if older.Started > j.Arrived {
				turns++
			}
		}
		bound := turns * (reserveAfter + longestRun + time.Second)
		c.Check(j.Started > 0 && j.Started-j.Arrived <= bound, qt.IsTrue,
			qt.Commentf("job %d: %v after %v, bound %v", i, j.Started, j.Arrived, bound))
	}
}

func TestPreemptionWastesLittle(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Backlog, load.Halves, load.LostRack} {
		each(t, build, func(c *qt.C, l load.Load) {
			r := result(c.TB.(*testing.T), l, report.Core())
			c.Check(r.WasteShare() < wasteMost, qt.IsTrue, qt.Commentf("wasted %.4f", r.WasteShare()))
		})
	}
}

func TestFailingWorkersLoseFewAttempts(t *testing.T) {
	t.Parallel()
	each(t, load.FailingWorkers, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		lost := float64(r.FailingWorkerStarts) / float64(r.Attempts)
		c.Check(lost < failingMost, qt.IsTrue, qt.Commentf("%d of %d attempts", r.FailingWorkerStarts, r.Attempts))
	})
}

func TestUrgentWorkKeepsItsRateUnderTwiceTheCapacity(t *testing.T) {
	t.Parallel()
	each(t, load.Twice, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		urgent := r.Classes[load.Urgent]
		c.Check(float64(urgent.Started) >= overloadKept*float64(urgent.Submitted), qt.IsTrue)
		c.Check(r.Wait(load.Urgent, 100*overloadKept) < time.Second, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Urgent, 99)))
		refused := 0
		for class, of := range r.Classes {
			refused += of.Refused
			c.Check(of.MaxRefusalTime < refusedAtOnce, qt.IsTrue, qt.Commentf("%s: refused after %v", class, of.MaxRefusalTime))
			c.Check(of.WithoutRetryAfter, qt.Equals, 0)
		}
		c.Check(refused > 0, qt.IsTrue)
	})
}

func TestSafeRequestsGoOnWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	each(t, load.StoreOutage, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		safe := r.Classes[load.Request]
		c.Check(float64(safe.Started) >= outageKept*float64(safe.Submitted), qt.IsTrue, qt.Commentf("%d of %d", safe.Started, safe.Submitted))
		urgent := r.Classes[load.Urgent]
		c.Check(urgent.Failed, qt.Equals, 0)
		c.Check(urgent.Started+urgent.Refused, qt.Equals, urgent.Submitted)
		c.Check(urgent.MaxRefusalTime < outageRefusal, qt.IsTrue, qt.Commentf("refused after %v", urgent.MaxRefusalTime))
	})
}

func TestStoreWritesStayUnderTheLimit(t *testing.T) {
	t.Parallel()
	each(t, load.Peak, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		rate := float64(r.Rows) / l.Length.Seconds()
		c.Check(rate < writesASecond, qt.IsTrue, qt.Commentf("%.0f a second", rate))
	})
}

func TestNoWorkerIsOvergivenAndNoTaskRunsTwice(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Plain, load.Halves, load.LostRack, load.LostRackAtPeak, load.FailingWorkers} {
		each(t, build, func(c *qt.C, l load.Load) {
			for _, contender := range report.Schedulers() {
				r := result(c.TB.(*testing.T), l, contender)
				c.Check(r.Overcommitted, qt.Equals, 0, qt.Commentf("%s", contender.Name))
				c.Check(r.DuplicateStarts, qt.Equals, 0, qt.Commentf("%s", contender.Name))
			}
		})
	}
}

func TestEqualSeedsGiveEqualDecisions(t *testing.T) {
	t.Parallel()
	each(t, load.LostRack, func(c *qt.C, l load.Load) {
		for _, contender := range report.Schedulers() {
			first := result(c.TB.(*testing.T), l, contender)
			again := virtual.Run(l, contender.New(l), virtual.Options{})
			c.Check(again.Decisions, qt.Equals, first.Decisions, qt.Commentf("%s", contender.Name))
		}
	})
}
