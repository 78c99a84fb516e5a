package report_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/virtual"
)

// Bounds under work that must not affect other work.
const (
	// maxHammeredWaitRatio bounds the p99 waits of other teams beside a
	// hammering team, relative to those under FIFO.
	maxHammeredWaitRatio = 0.03
	// maxUndisturbedWaitRatio bounds the waits of other teams beside a
	// hammering team, relative to those without it.
	maxUndisturbedWaitRatio = 1.5
	// maxRetryRatio bounds the retries relative to the pieces of work
	// submitted.
	maxRetryRatio = 0.5
	// maxLastRetry bounds the time of the last retry under Surge.
	maxLastRetry = 30 * time.Second
	// maxLateStartRatio bounds the requests that start but don't end before
	// their deadline, relative to those that start.
	maxLateStartRatio = 0.5
)

func undisturbedResult(t *testing.T, l load.Load) *virtual.Result {
	quiet := l.WithoutDisturbance()
	quiet.Name += "Undisturbed"
	return result(t, quiet, report.Core())
}

// A team that offers several times the cell's capacity must hardly delay the
// work of other teams.
func TestHammeringTeamBarelyDelaysOtherTeams(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Hammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		inOrder := result(c.TB.(*testing.T), l, fifo())
		for _, class := range []load.Class{load.Urgent, load.Request} {
			bound := time.Duration(maxUndisturbedWaitRatio * float64(quiet.Wait(class, 50)))
			c.Check(core.Wait(class, 50) <= bound, qt.IsTrue, qt.Commentf("%s: p50 %v, bound %v", class, core.Wait(class, 50), bound))
		}
		for _, class := range []load.Class{load.Urgent, load.Request, load.Service, load.Batch} {
			bound := time.Duration(maxHammeredWaitRatio * float64(inOrder.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
			c.Check(core.Classes[class].Started, qt.Equals, core.Classes[class].Submitted)
		}
		c.Check(core.Wait(load.Urgent, 99) < maxUrgentWait, qt.IsTrue, qt.Commentf("p99 %v", core.Wait(load.Urgent, 99)))
		c.Check(core.Classes[load.Hammering].MaxRefusalTime < maxRefusalTime, qt.IsTrue)
		checkJobs(c, core)
	})
}

// A hammering team must not lengthen the p99 waits of other teams by more than
// half, compared with the same load without it.
func TestHammeringTeamBarelyLengthensTailWaits(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Hammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		for _, class := range []load.Class{load.Urgent, load.Request, load.Service, load.AllAtOnce, load.Batch} {
			bound := time.Duration(maxUndisturbedWaitRatio * float64(quiet.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
		}
	})
}

// A team must gain no advantage over the others by marking all its excess
// requests as urgent.
func TestUrgentHammeringTeamDoesNotDelayRequests(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.UrgentHammer, func(c *qt.C, l load.Load) {
		core := result(c.TB.(*testing.T), l, report.Core())
		quiet := undisturbedResult(c.TB.(*testing.T), l)
		for _, class := range []load.Class{load.Urgent, load.Request} {
			bound := time.Duration(maxUndisturbedWaitRatio * float64(quiet.Wait(class, 99)))
			c.Check(core.Wait(class, 99) <= bound, qt.IsTrue, qt.Commentf("%s: p99 %v, bound %v", class, core.Wait(class, 99), bound))
			c.Check(core.Classes[class].Started, qt.Equals, core.Classes[class].Submitted, qt.Commentf("%s", class))
		}
		c.Check(core.WasteShare() < maxWasteShare, qt.IsTrue, qt.Commentf("wasted %.4f", core.WasteShare()))
	})
}

// Jobs that can never run must not affect other work: all its waits and the
// number of rows are the same as for the load without such jobs.
func TestUnrunnableJobsDoNotAffectOtherWork(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.NeverRuns, func(c *qt.C, l load.Load) {
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

// Callers refused during an overload retry at the time given to them; their
// retries must not prolong the overload.
func TestRetriesAfterOverloadCauseNoStorm(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Surge, func(c *qt.C, l load.Load) {
		r := result(c.TB.(*testing.T), l, report.Core())
		requests := r.Classes[load.Request]
		c.Check(requests.Retries > 0, qt.IsTrue)
		c.Check(float64(requests.Retries) <= maxRetryRatio*float64(requests.Submitted), qt.IsTrue, qt.Commentf("%d retries of %d requests", requests.Retries, requests.Submitted))
		c.Check(r.LastRetry < maxLastRetry, qt.IsTrue, qt.Commentf("the last retry was at %v", r.LastRetry))
		c.Check(float64(requests.Started) >= minOverloadStartRatio*float64(requests.Submitted), qt.IsTrue, qt.Commentf("%d of %d started", requests.Started, requests.Submitted))
		after := r.Classes[load.Afterwards]
		c.Check(after.Started, qt.Equals, after.Submitted)
		c.Check(r.Wait(load.Afterwards, 99) < maxUrgentWait, qt.IsTrue, qt.Commentf("p99 %v", r.Wait(load.Afterwards, 99)))
	})
}

// Under overload the core must not spend capacity on requests that start but
// can't end before their deadline.
func TestOverloadLimitsStartsThatMissDeadline(t *testing.T) {
	t.Parallel()
	forEachCell(t, load.Twice, func(c *qt.C, l load.Load) {
		requests := result(c.TB.(*testing.T), l, report.Core()).Classes[load.Request]
		c.Check(float64(requests.Failed) <= maxLateStartRatio*float64(requests.Started), qt.IsTrue,
			qt.Commentf("%d of %d that started", requests.Failed, requests.Started))
	})
}
