package decision_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestQuotaIsNeverExceeded runs random work of teams with quotas.
func TestQuotaIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCell(16)
		quota := task.Size{Processors: 20_000, Memory: 40 * task.Gibibyte}
		c.apply(decision.TeamsChanged{Teams: []decision.Team{{Name: "t0", Quota: quota}, {Name: "t1", Quota: quota, Weight: 3}}})
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			if len(c.running) > 0 && rapid.Bool().Draw(t, "end") {
				c.endOldest()
			} else {
				w := smallWork(rapid.SampledFrom(task.Kinds()).Draw(t, "kind"), rapid.IntRange(0, 2).Draw(t, "team"))
				w.Size.Processors = int64(rapid.IntRange(1, 9).Draw(t, "processors")) * 1000
				if w.Kind != task.Request {
					w.Tasks = rapid.IntRange(1, 12).Draw(t, "tasks")
				}
				c.submit(w)
			}
			c.advance(100 * time.Millisecond)
			for _, name := range []string{"t0", "t1"} {
				used := c.usage()[name]
				if used.Processors > quota.Processors || used.Memory > quota.Memory {
					t.Fatalf("team %s uses %v of %v", name, used, quota)
				}
			}
		}
	})
}

// TestShareFollowsWeight keeps the queues of three teams full and compares
// their usage with their weights.
func TestShareFollowsWeight(t *testing.T) {
	c := newCell(16)
	c.apply(decision.TeamsChanged{Teams: []decision.Team{{Name: "t0", Weight: 1}, {Name: "t1", Weight: 1}, {Name: "t2", Weight: 2}}})
	for i := range 3000 {
		c.submit(smallWork(task.Batch, i%3))
	}
	for range 1000 {
		c.endOldest()
	}
	used := c.usage()
	total := float64(len(c.running))
	for name, want := range map[string]float64{"t0": 0.25, "t1": 0.25, "t2": 0.5} {
		share := float64(used[name].Processors) / 1000 / total
		t.Logf("team %s has %.3f of what runs, %.2f by weight", name, share, want)
		qt.Check(t, share > want-0.02 && share < want+0.02, qt.IsTrue, qt.Commentf("%s: %v", name, share))
	}
}

// TestFloodingTeamDoesNotReduceOtherShares lets one team submit a hundred times
// as much work as another. The flooding team must be refused, and the other
// must get its share.
func TestFloodingTeamDoesNotReduceOtherShares(t *testing.T) {
	c := newCellWith(16, decision.Options{Region: "centro", DiscoveryPeriod: -1, QueueLimit: 8000})
	shed, retryAfter := 0, time.Duration(0)
	for i := range 20_000 {
		team := 0
		if i%100 == 0 {
			team = 1
		}
		n := c.submit(smallWork(task.Batch, team))
		if a, ok := c.replies[n]; ok {
			qt.Assert(t, a.State, qt.Equals, task.NotRun)
			qt.Assert(t, a.Team, qt.Equals, "t0")
			qt.Assert(t, a.Code, qt.Equals, decision.CodeTeamQueueFull)
			shed, retryAfter = shed+1, max(retryAfter, a.RetryAfter)
		}
		if i%20 == 0 && len(c.running) > 0 {
			c.endOldest()
		}
	}
	used := c.usage()
	t.Logf("%d refused at once, to retry after %v at most; t0 uses %v, t1 uses %v", shed, retryAfter, used["t0"], used["t1"])
	qt.Assert(t, shed > 10_000, qt.IsTrue)
	qt.Assert(t, retryAfter > decision.DefaultRetryAfter, qt.IsTrue)
	qt.Assert(t, c.core.Waiting() <= 1000+200, qt.IsTrue)
	qt.Assert(t, used["t1"].Processors >= 190_000-20_000, qt.IsTrue, qt.Commentf("%v", used["t1"]))
}

// TestOverloadShedsTheLeastUrgentFirst fills the queue and checks which kinds
// are refused at each level.
func TestOverloadShedsTheLeastUrgentFirst(t *testing.T) {
	c := newCellWith(8, decision.Options{Region: "centro", DiscoveryPeriod: -1, QueueLimit: 1000, TeamQueueLimit: 1000})
	blocked := smallWork(task.Batch, 0)
	blocked.Size.Processors = 64_000
	urgent := smallWork(task.Request, 0)
	urgent.Urgent = true
	urgent.Size.Processors = 64_000
	for range 8 + 600 {
		c.submit(blocked)
	}
	refused := func(kind task.Kind) bool {
		a, ok := c.replies[c.submit(smallWork(kind, 0))]
		return ok && a.Code == decision.CodeOverloaded && a.RetryAfter > 0
	}
	qt.Check(t, refused(task.Batch), qt.IsTrue)
	for range 100 {
		c.submit(urgent)
	}
	qt.Check(t, refused(task.AllAtOnce), qt.IsTrue)
	for range 100 {
		c.submit(urgent)
	}
	qt.Check(t, refused(task.Service), qt.IsTrue)
	for range 100 {
		c.submit(urgent)
	}
	qt.Check(t, refused(task.Request), qt.IsTrue)
	qt.Check(t, c.core.Waiting(), qt.Equals, 900)
	c.submit(urgent)
	qt.Check(t, c.core.Waiting(), qt.Equals, 901)
}

// TestWorkThatNeverFitsGetsItsReason covers each reason.
func TestWorkThatNeverFitsGetsItsReason(t *testing.T) {
	c := newCell(16)
	c.apply(decision.TeamsChanged{Teams: []decision.Team{{Name: "t1", Quota: task.Size{Processors: 5000}}}})
	large := smallWork(task.Batch, 0)
	large.Size.Processors = 65_000
	wide := smallWork(task.AllAtOnce, 0)
	wide.Tasks, wide.Size.Processors = 33, 32_000
	overQuota := smallWork(task.Service, 1)
	overQuota.Tasks = 6
	for _, test := range []struct {
		work task.Work
		want string
	}{
		{large, "No worker is large enough.*"},
		{wide, ".*there are 33, and the whole cell runs 32 .*"},
		{overQuota, ".*takes 6 processors.* quota of team t1 is 5 processors.*"},
	} {
		a := c.replies[c.submit(test.work)]
		qt.Check(t, a.Code, qt.Equals, decision.CodeNeverFits)
		qt.Check(t, a.State, qt.Equals, task.NotRun)
		qt.Check(t, a.Reason, qt.Matches, test.want)
	}
}

// TestRefusalAsNeverFittingWaitsForDiscovery checks that work is refused as
// never fitting only once the discovery period is over.
func TestRefusalAsNeverFittingWaitsForDiscovery(t *testing.T) {
	c := newCellWith(8, decision.Options{Region: "centro"})
	large := smallWork(task.Batch, 0)
	large.Size.Processors = 65_000
	n := c.submit(large)
	c.advance(decision.DefaultDiscoveryPeriod / 2)
	_, answered := c.replies[n]
	qt.Assert(t, answered, qt.IsFalse)
	c.advance(decision.DefaultDiscoveryPeriod)
	qt.Assert(t, c.replies[n].Code, qt.Equals, decision.CodeNeverFits, qt.Commentf("%+v", c.replies[n]))
}

// TestServicesSpread checks that replicas are spread over zones first and over
// racks next.
func TestServicesSpread(t *testing.T) {
	c := newCell(48)
	w := smallWork(task.Service, 0)
	w.Tasks = 6
	c.submit(w)
	racks, zones := map[string]int{}, map[string]int{}
	for _, a := range c.running {
		racks[a.Rack]++
		var number int
		_, err := fmt.Sscanf(a.Rack, "r%d", &number)
		qt.Assert(t, err, qt.IsNil)
		zones[fmt.Sprint(number%3)]++
	}
	qt.Assert(t, racks, qt.HasLen, 6)
	qt.Assert(t, zones, qt.DeepEquals, map[string]int{"0": 2, "1": 2, "2": 2})
}
