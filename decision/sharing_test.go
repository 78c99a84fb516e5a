package decision_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// contestTime is how long two teams compete, and warmUpTime its first part,
	// which is not measured.
	contestTime = 60 * time.Second
	warmUpTime  = 20 * time.Second
	// coolDownTime is the last part, in which the modest team submits nothing.
	coolDownTime = 12 * time.Second
	// taskRunTime is the declared run time of a task.
	taskRunTime = 4 * time.Second
	// floodQueue is the number of unstarted tasks that the flooding team
	// maintains at a core.
	floodQueue = 30
)

// contestResult is what a modest team gets in competition with one that floods
// the queues.
type contestResult struct {
	// waits holds the waits of the modest team's tasks, sorted.
	waits []time.Duration
	// unstarted counts its tasks that still wait at the end.
	unstarted int
	// usedShare is the share of the cell that ran tasks, and modestShare the
	// share that ran tasks of the modest team.
	usedShare, modestShare float64
}

// runContest lets team t0 keep the queues of all cores but the last one full,
// or that of the only core, while team t1 submits a number of tasks per second
// to the last one.
func runContest(m *members, perSecond int) contestResult {
	small := func(team int) task.Work {
		w := smallWork(task.Batch, team)
		w.RunTime = taskRunTime
		return w
	}
	modestCore := len(m.cores) - 1
	floodingCores := max(1, modestCore)
	m.setTeams(decision.Team{Name: "t0", Partitions: partitionsOf(floodingCores)})
	var modest []uint64
	var c contestResult
	start, samples := m.now, 0
	for m.now.Sub(start) < contestTime {
		for i := range floodingCores {
			if m.waiting(i, "t0") < floodQueue {
				m.submit(i, small(0))
			}
		}
		passed := m.now.Sub(start)
		if warm := passed - warmUpTime; warm >= 0 && passed < contestTime-coolDownTime && int(warm.Seconds()*float64(perSecond)) >= len(modest) {
			modest = append(modest, m.submit(modestCore, small(1)))
		}
		m.step()
		if passed > warmUpTime+2*taskRunTime && passed < contestTime-coolDownTime {
			samples++
			c.usedShare += float64(len(m.running)) / float64(m.taskCapacity())
			c.modestShare += float64(m.runningCount("t1")) / float64(m.taskCapacity())
		}
	}
	c.usedShare, c.modestShare = c.usedShare/float64(samples), c.modestShare/float64(samples)
	for _, n := range modest {
		if a, ok := m.replies[n]; ok {
			c.waits = append(c.waits, a.Waited)
		} else {
			c.unstarted++
		}
	}
	slices.Sort(c.waits)
	return c
}

// quantile returns a quantile of the waits. Tasks that never started count as
// waiting for the whole contest.
func (c contestResult) quantile(q float64) time.Duration {
	i := int(q * float64(len(c.waits)+c.unstarted-1))
	if i >= len(c.waits) {
		return contestTime
	}
	return c.waits[i]
}

// TestSeveralOwnersShareLikeOne compares what a modest team gets from a single
// core with what it gets from two and eight cores, where a flooding team fills
// the queues of the cores that own the racks.
func TestSeveralOwnersShareLikeOne(t *testing.T) {
	const seed, racks, perSecond = 1, 4, 10
	ownedByFlooding := func(cores int) func(int) int { return func(rack int) int { return rack % max(1, cores-1) } }
	one := runContest(newMembers(1, racks, seed, ownedByFlooding(1)), perSecond)
	t.Logf("seed %d, 1 core: t1 waits %v p50, %v p99, %v at most, has %.3f of the cell, used %.3f",
		seed, one.quantile(0.5), one.quantile(0.99), one.quantile(1), one.modestShare, one.usedShare)
	for _, cores := range []int{2, 8} {
		m := newMembers(cores, racks, seed, ownedByFlooding(cores))
		got := runContest(m, perSecond)
		t.Logf("seed %d, %d cores: t1 waits %v p50, %v p99, %v at most, has %.3f of the cell, used %.3f, %d summaries",
			seed, cores, got.quantile(0.5), got.quantile(0.99), got.quantile(1), got.modestShare, got.usedShare, m.summaries)
		qt.Check(t, got.modestShare >= one.modestShare*0.9, qt.IsTrue)
		qt.Check(t, got.quantile(0.5) <= one.quantile(0.5)+100*time.Millisecond, qt.IsTrue)
		qt.Check(t, got.quantile(0.99) <= one.quantile(0.99)+time.Second, qt.IsTrue)
		qt.Check(t, got.quantile(1) <= one.quantile(1)+2*time.Second, qt.IsTrue)
		qt.Check(t, got.usedShare >= one.usedShare*0.97, qt.IsTrue)
	}
}

// TestShareBetweenOwnersFollowsDemand varies the number of members, the owners
// of the racks and the rate of the modest team at random.
func TestShareBetweenOwnersFollowsDemand(t *testing.T) {
	const racks = 3
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		cores, perSecond := 2+random.IntN(7), 4+random.IntN(17)
		owners := []int{random.IntN(cores), random.IntN(cores), random.IntN(cores)}
		one := runContest(newMembers(1, racks, seed, func(int) int { return 0 }), perSecond)
		got := runContest(newMembers(cores, racks, seed, func(r int) int { return owners[r] }), perSecond)
		t.Logf("seed %d, %d tasks a second, racks of %v: t1 has %.3f of the cell and %.3f is used, with one core %.3f and %.3f",
			seed, perSecond, owners, got.modestShare, got.usedShare, one.modestShare, one.usedShare)
		qt.Check(t, got.modestShare >= one.modestShare*0.85, qt.IsTrue)
		qt.Check(t, got.usedShare >= one.usedShare*0.97, qt.IsTrue)
	}
}

// measureRefill ends a task of a full cell and returns how long its capacity
// stays unused.
func measureRefill(c *cell) time.Duration {
	full, freed := len(c.running), c.now
	c.endOldest()
	for len(c.running) < full && c.now.Sub(freed) < time.Minute {
		c.advance(100 * time.Millisecond)
	}
	return c.now.Sub(freed)
}

// TestCapacityIsKeptForOthersOnlyBriefly sends a full core a need that no
// member ever meets. Freed capacity may be kept for it only for a bounded time.
func TestCapacityIsKeptForOthersOnlyBriefly(t *testing.T) {
	const bound = 300 * time.Millisecond
	small := smallWork(task.Batch, 0).Size
	for _, test := range []struct {
		name  string
		event decision.Event
		kept  bool
	}{
		{"without a need", decision.MemberExpired{Member: "e2"}, false},
		{"a needier team", decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "t9", Class: 5, Size: small, Tasks: 100}}}}, true},
		{"more urgent work of a team that has more", decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "t9", Class: 0, Size: small, Used: 9000, Tasks: 100}}}}, true},
		{"a team that has more", decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "t9", Class: 5, Size: small, Used: 10000, Tasks: 100}}}}, false},
		{"work that does not fit", decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "t9", Class: 5, Size: small.Times(2), Tasks: 100}}}}, false},
		{"a class of a later release", decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{{Team: "t9", Class: 99, Size: small, Tasks: 100}}}}, false},
	} {
		c := newCell(8)
		for range 8*64 + 50 {
			c.submit(smallWork(task.Batch, 0))
		}
		c.advance(time.Second)
		c.apply(test.event)
		for range 5 {
			empty := measureRefill(c)
			qt.Check(t, empty > 0, qt.Equals, test.kept, qt.Commentf("%s: %v", test.name, empty))
			qt.Check(t, empty <= bound, qt.IsTrue, qt.Commentf("%s: %v", test.name, empty))
			c.advance(time.Second)
		}
		c.apply(decision.MemberExpired{Member: "e2"})
		qt.Check(t, measureRefill(c), qt.Equals, time.Duration(0), qt.Commentf("%s, after the member expired", test.name))
	}
}

// TestStaleSummaryIsIgnored delivers the summaries of a member out of order.
func TestStaleSummaryIsIgnored(t *testing.T) {
	c := newCell(8)
	for range 8*64 + 50 {
		c.submit(smallWork(task.Batch, 0))
	}
	c.advance(time.Second)
	need := decision.Need{Team: "t9", Class: 5, Size: smallWork(task.Batch, 0).Size, Tasks: 1}
	c.apply(decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 2}})
	c.apply(decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{need}}})
	qt.Assert(t, measureRefill(c), qt.Equals, time.Duration(0))
}

// TestQuarantineIsSharedBetweenOwners lets one worker fail everything while
// eight members submit work. Less than 1% of the attempts may fail after the
// first 10 s, although each member sees few of the failures.
func TestQuarantineIsSharedBetweenOwners(t *testing.T) {
	const cores, seed = 8, 1
	const learning, lasting = 10 * time.Second, 5 * time.Minute
	m := newMembers(cores, 4, seed, func(rack int) int { return rack % cores })
	m.failingWorkers = map[string]bool{"r00-3": true}
	attempts, failures := 0, 0
	start := m.now
	for m.now.Sub(start) < lasting {
		if m.steps%25 == 0 {
			for i := range 8 {
				w := smallWork(task.Batch, i)
				w.RunTime = taskRunTime
				m.submit(i%cores, w)
			}
		}
		m.step()
		if m.now.Sub(start) == learning {
			attempts, failures = m.attempts, m.failures
		}
	}
	t.Logf("seed %d: %d of %d attempts were lost in the first %v, and %d of %d in the next %v",
		seed, failures, attempts, learning, m.failures-failures, m.attempts-attempts, lasting-learning)
	qt.Assert(t, failures > 0, qt.IsTrue)
	qt.Assert(t, (m.failures-failures)*100 < m.attempts-attempts, qt.IsTrue)
}

// TestWorkersQuarantinedElsewhereAreAvoided reports more quarantined workers to
// a core than may be closed at once. Only one of eight may be avoided, and it
// reopens when the reporting member expires.
func TestWorkersQuarantinedElsewhereAreAvoided(t *testing.T) {
	c := newCell(8)
	barred := []string{"r0000-2", "r0000-3", "r0000-4"}
	c.apply(decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Barred: barred}})
	for range 8 * 64 {
		c.submit(smallWork(task.Batch, 0))
	}
	qt.Assert(t, c.running, qt.HasLen, 7*64)
	for _, a := range c.running {
		qt.Assert(t, a.Worker, qt.Not(qt.Equals), barred[0])
		qt.Assert(t, a.Avoid, qt.DeepEquals, barred[:1])
	}
	c.apply(decision.MemberExpired{Member: "e2"})
	qt.Assert(t, c.running, qt.HasLen, 8*64)
}

// TestAllAtOnceIsNotStarvedByOtherOwners submits gangs that need the whole cell
// while other members keep it full of batch work. Each gang's bound is that of
// a single core, the delay of the reservation plus the longest run time, plus
// two seconds for sending the reservation and its end.
func TestAllAtOnceIsNotStarvedByOtherOwners(t *testing.T) {
	const seed = 1
	const bound = 2*time.Second + taskRunTime*3/2 + 2*time.Second
	for _, jobs := range []int{1, 2} {
		m := newMembers(4, 4, seed, func(int) int { return 0 })
		small := smallWork(task.Batch, 0)
		small.RunTime = taskRunTime
		wide := smallWork(task.AllAtOnce, 1)
		wide.Tasks, wide.Size.Processors, wide.RunTime = len(m.racks)*8, 4000, time.Second
		var sent []uint64
		for start := m.now; m.now.Sub(start) < contestTime; {
			for i := range 2 {
				if m.waiting(i, "t0") < floodQueue {
					m.submit(i, small)
				}
			}
			if len(sent) < jobs && m.now.Sub(start) > warmUpTime {
				sent = append(sent, m.submit(2+len(sent), wide))
			}
			m.step()
		}
		for i, n := range sent {
			a, ok := m.replies[n]
			t.Logf("seed %d, %d jobs: job %d answered %v, waited %v", seed, jobs, i, ok, a.Waited)
			qt.Check(t, ok, qt.IsTrue)
			qt.Check(t, a.Waited <= time.Duration(i+1)*bound, qt.IsTrue)
		}
	}
}
