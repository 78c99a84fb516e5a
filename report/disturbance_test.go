package report_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Bounds of work that disturbs other work.
const (
	// hammeredPart is the most that others wait at p99 beside a hammering team,
	// as a part of what they wait in order of arrival.
	hammeredPart = 0.03
	// undisturbed is the most that others wait beside a hammering team, in
	// waits without it.
	undisturbed = 1.5
	// returnsPart is the most callers who come back, as a part of the work.
	returnsPart = 0.5
	// settledBy is when nobody comes back any more after Surge.
	settledBy = 30 * time.Second
	// wastedStarts is the most requests that start and don't end in time, as a
	// part of those that start.
	wastedStarts = 0.5
)

func undisturbedResult(t *testing.T, l load.Load) *virtual.Result {
	quiet := l.WithoutDisturbance()
	quiet.Name += "Undisturbed"
	return result(t, quiet, report.Core())
}

// TestHammeringDelaysOthersLittle lets one team offer several times the cell.
func TestHammeringDelaysOthersLittle(t *testing.T) {
	t.Parallel()
	each(t, load.Hammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		inOrder := result(c.TB.(*testing.T), l, fifo())
		for _, class := range []load.Class{load.Urgent, load.Request} {
			bound := time.Duration(undisturbed * float64(quiet.Wait(class, 50)))
			c.Check(core.Wait(class, 50) <= bound, qt.IsTrue, qt.Commentf("%s: p50 %v, bound %v", class, core.Wait(class, 50), bound))
		}
		for _, class := range []load.Class{load.Urgent, load.Request, load.Service, load.Batch} {
			bound := time.Duration(hammeredPart * float64(inOrder.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
			c.Check(core.Classes[class].Started, qt.Equals, core.Classes[class].Submitted)
		}
		c.Check(core.Wait(load.Urgent, 99) < urgentPlain, qt.IsTrue, qt.Commentf("p99 %v", core.Wait(load.Urgent, 99)))
		c.Check(core.Classes[load.Hammering].MaxRefusalTime < refusedAtOnce, qt.IsTrue)
		checkJobs(c, core)
	})
}

// TestHammeringLengthensNoWaits compares a load with the same one without the
// hammering team.
func TestHammeringLengthensNoWaits(t *testing.T) {
	t.Parallel()
	each(t, load.Hammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		for _, class := range []load.Class{load.Urgent, load.Request, load.Service, load.AllAtOnce, load.Batch} {
			bound := time.Duration(undisturbed * float64(quiet.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
		}
	})
}

// TestUrgentHammeringHoldsUpNobody lets a team say that all its requests are
// urgent.
func TestUrgentHammeringHoldsUpNobody(t *testing.T) {
	t.Parallel()
	each(t, load.UrgentHammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		for _, class := range []load.Class{load.Urgent, load.Request} {
			bound := time.Duration(undisturbed * float64(quiet.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
			c.Check(core.Classes[class].Started, qt.Equals, core.Classes[class].Submitted, qt.Commentf("%s", class))
		}
		c.Check(core.WasteShare() < wasteMost, qt.IsTrue, qt.Commentf("wasted %.4f", core.WasteShare()))
	})
}

// TestJobsThatCanNeverRunCostNothing compares a load with the same one without
// such jobs: every wait of the rest and every row is the same.
func TestJobsThatCanNeverRunCostNothing(t *testing.T) {
	t.Parallel()
	each(t, load.NeverRuns, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		for _, class := range load.Classes() {
			for _, percent := range []float64{0, 50, 90, 99, 99.9, 100} {
				if class != load.NeverFits {
					c.Check(core.Wait(class, percent), qt.Equals, quiet.Wait(class, percent), qt.Commentf("%s", class))
				}
			}
		}
		c.Check(core.Rows, qt.Equals, quiet.Rows)
		c.Check(core.Placements, qt.Equals, quiet.Placements)
		never := core.Classes[load.NeverFits]
		c.Check(never.Submitted > 0, qt.IsTrue)
		c.Check(never.Refused, qt.Equals, never.Submitted)
		c.Check(never.WithoutRetryAfter, qt.Equals, never.Submitted)
		c.Check(never.MaxRefusalTime, qt.Equals, time.Duration(0))
	})
}

// TestCallersWhoComeBackCauseNoStorm lets callers who were refused during an
// overload come back when they were told to.
func TestCallersWhoComeBackCauseNoStorm(t *testing.T) {
	t.Parallel()
	each(t, load.Surge, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		requests := r.Classes[load.Request]
		c.Check(requests.Retries > 0, qt.IsTrue)
		c.Check(float64(requests.Retries) <= returnsPart*float64(requests.Submitted), qt.IsTrue, qt.Commentf("%d of %d came back", requests.Retries, requests.Submitted))
		c.Check(r.LastRetry < settledBy, qt.IsTrue, qt.Commentf("the last came back at %v", r.LastRetry))
		c.Check(float64(requests.Started) >= overloadKept*float64(requests.Submitted), qt.IsTrue, qt.Commentf("%d of %d started", requests.Started, requests.Submitted))
		after := r.Classes[load.Afterwards]
		c.Check(after.Started, qt.Equals, after.Submitted)
		c.Check(r.Wait(load.Afterwards, 99) < urgentPlain, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Afterwards, 99)))
	})
}

// TestOverloadDoesNotStartWhatCannotEndInTime counts the requests that started
// and did not end before their deadline.
func TestOverloadDoesNotStartWhatCannotEndInTime(t *testing.T) {
	t.Parallel()
	each(t, load.Twice, func(c *qt.C, l load.Load) {
		requests := result(c.TB.(*testing.T), l, report.Core()).Classes[load.Request]
		c.Check(float64(requests.Failed) <= wastedStarts*float64(requests.Started), qt.IsTrue,
			qt.Commentf("%d of %d that started", requests.Failed, requests.Started))
	})
}
