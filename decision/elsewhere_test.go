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
	// contestTime is how long two teams contend, and warmTime its first part,
	// which does not count.
	contestTime = 60 * time.Second
	warmTime    = 20 * time.Second
	// restTime is the last part, in which nothing of the modest team comes.
	restTime = 12 * time.Second
	// contestRun is the run time of a task.
	contestRun = 4 * time.Second
	// hammerQueue is the number of tasks that the team that hammers keeps waiting
	// at a core.
	hammerQueue = 30
)

// contest is what a modest team gets beside one that hammers.
type contest struct {
	// waits holds the waits of the modest team's tasks in order.
	waits []time.Duration
	// unserved counts its tasks that still wait at the end.
	unserved int
	// used is the part of the cell that ran something, and modest the part that
	// ran tasks of the modest team.
	used, modest float64
}

// contend lets team t0 keep queues full at all cores but the last, and team t1
// offer a number of tasks a second at the last one, whose racks are the first.
func contend(m *members, perSecond int) contest {
	small := func(team int) task.Work {
		w := smallWork(task.Batch, team)
		w.RunTime = contestRun
		return w
	}
	modestCore := len(m.cores) - 1
	hammering := max(1, modestCore)
	m.setTeams(decision.Team{Name: "t0", Partitions: partitionsOf(hammering)})
	var modest []uint64
	var c contest
	start, samples := m.now, 0
	for m.now.Sub(start) < contestTime {
		for i := range hammering {
			if m.waiting(i, "t0") < hammerQueue {
				m.submit(i, small(0))
			}
		}
		passed := m.now.Sub(start)
		if warm := passed - warmTime; warm >= 0 && passed < contestTime-restTime && int(warm.Seconds()*float64(perSecond)) >= len(modest) {
			modest = append(modest, m.submit(modestCore, small(1)))
		}
		m.step()
		if passed > warmTime+2*contestRun && passed < contestTime-restTime {
			samples++
			c.used += float64(len(m.running)) / float64(m.places())
			c.modest += float64(m.of("t1")) / float64(m.places())
		}
	}
	c.used, c.modest = c.used/float64(samples), c.modest/float64(samples)
	for _, n := range modest {
		if a, ok := m.replies[n]; ok {
			c.waits = append(c.waits, a.Waited)
		} else {
			c.unserved++
		}
	}
	slices.Sort(c.waits)
	return c
}

// quantile counts what still waits as waiting for the whole contest.
func (c contest) quantile(q float64) time.Duration {
	i := int(q * float64(len(c.waits)+c.unserved-1))
	if i >= len(c.waits) {
		return contestTime
	}
	return c.waits[i]
}

// TestOwnersShareAsOneWould compares what a modest team gets with one core for
// all, and with two and eight cores whose other ones are full of a team that
// hammers and own the racks.
func TestOwnersShareAsOneWould(t *testing.T) {
	const seed, racks, perSecond = 1, 4, 10
	hammered := func(cores int) func(int) int { return func(rack int) int { return rack % max(1, cores-1) } }
	one := contend(newMembers(1, racks, seed, hammered(1)), perSecond)
	t.Logf("seed %d, 1 core: t1 waits %v p50, %v p99, %v at most, has %.3f of the cell, used %.3f",
		seed, one.quantile(0.5), one.quantile(0.99), one.quantile(1), one.modest, one.used)
	for _, cores := range []int{2, 8} {
		m := newMembers(cores, racks, seed, hammered(cores))
		got := contend(m, perSecond)
		t.Logf("seed %d, %d cores: t1 waits %v p50, %v p99, %v at most, has %.3f of the cell, used %.3f, %d summaries",
			seed, cores, got.quantile(0.5), got.quantile(0.99), got.quantile(1), got.modest, got.used, m.summaries)
		qt.Check(t, got.modest >= one.modest*0.9, qt.IsTrue)
		qt.Check(t, got.quantile(0.5) <= one.quantile(0.5)+100*time.Millisecond, qt.IsTrue)
		qt.Check(t, got.quantile(0.99) <= one.quantile(0.99)+time.Second, qt.IsTrue)
		qt.Check(t, got.quantile(1) <= one.quantile(1)+2*time.Second, qt.IsTrue)
		qt.Check(t, got.used >= one.used*0.97, qt.IsTrue)
	}
}

// TestShareBetweenOwnersFollowsDemand draws the number of members, who owns which
// rack and what the modest team offers.
func TestShareBetweenOwnersFollowsDemand(t *testing.T) {
	const racks = 3
	for seed := range uint64(8) {
		random := rand.New(rand.NewPCG(seed, 1))
		cores, perSecond := 2+random.IntN(7), 4+random.IntN(17)
		owners := []int{random.IntN(cores), random.IntN(cores), random.IntN(cores)}
		one := contend(newMembers(1, racks, seed, func(int) int { return 0 }), perSecond)
		got := contend(newMembers(cores, racks, seed, func(r int) int { return owners[r] }), perSecond)
		t.Logf("seed %d, %d tasks a second, racks of %v: t1 has %.3f of the cell and %.3f is used, with one core %.3f and %.3f",
			seed, perSecond, owners, got.modest, got.used, one.modest, one.used)
		qt.Check(t, got.modest >= one.modest*0.85, qt.IsTrue)
		qt.Check(t, got.used >= one.used*0.97, qt.IsTrue)
	}
}

// restart ends a task of a full cell and returns how long its room stays empty.
func restart(c *cell) time.Duration {
	full, freed := len(c.running), c.now
	c.endOldest()
	for len(c.running) < full && c.now.Sub(freed) < time.Minute {
		c.tickOn(100 * time.Millisecond)
	}
	return c.now.Sub(freed)
}

// TestRoomIsKeptForAWhileOnly tells a core with a full cell of a need that nobody
// comes to meet.
func TestRoomIsKeptForAWhileOnly(t *testing.T) {
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
		c.tickOn(time.Second)
		c.apply(test.event)
		for range 5 {
			empty := restart(c)
			qt.Check(t, empty > 0, qt.Equals, test.kept, qt.Commentf("%s: %v", test.name, empty))
			qt.Check(t, empty <= bound, qt.IsTrue, qt.Commentf("%s: %v", test.name, empty))
			c.tickOn(time.Second)
		}
		c.apply(decision.MemberExpired{Member: "e2"})
		qt.Check(t, restart(c), qt.Equals, time.Duration(0), qt.Commentf("%s, after the member has gone", test.name))
	}
}

// TestAnOldSummaryCountsNoMore delivers the summaries of a member out of order.
func TestAnOldSummaryCountsNoMore(t *testing.T) {
	c := newCell(8)
	for range 8*64 + 50 {
		c.submit(smallWork(task.Batch, 0))
	}
	c.tickOn(time.Second)
	need := decision.Need{Team: "t9", Class: 5, Size: smallWork(task.Batch, 0).Size, Tasks: 1}
	c.apply(decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 2}})
	c.apply(decision.SummaryReceived{Member: "e2", Summary: decision.Summary{Sequence: 1, Needs: []decision.Need{need}}})
	qt.Assert(t, restart(c), qt.Equals, time.Duration(0))
}

// TestOwnersShareWhatTheyKnowOfAFailingWorker gives each of eight members a fifth of
// a cell's work, of which one worker fails everything, and counts what is lost
// after the first 10 s.
func TestOwnersShareWhatTheyKnowOfAFailingWorker(t *testing.T) {
	const cores, seed = 8, 1
	const learning, lasting = 10 * time.Second, 5 * time.Minute
	m := newMembers(cores, 4, seed, func(rack int) int { return rack % cores })
	m.failing = map[string]bool{"r00-3": true}
	attempts, failures := 0, 0
	start := m.now
	for m.now.Sub(start) < lasting {
		if m.steps%25 == 0 {
			for i := range 8 {
				w := smallWork(task.Batch, i)
				w.RunTime = contestRun
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

// TestWorkersBarredElsewhereAreAvoided tells a core of more workers in quarantine
// than may be at once: one of eight, which is open again once the member that told
// of it is gone.
func TestWorkersBarredElsewhereAreAvoided(t *testing.T) {
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

// TestAllAtOnceIsNotStarvedByOtherOwners keeps a cell full of batch work of some
// members and submits jobs that take the whole of it to others. The bound of each is
// that of one core for all, the time before a reservation and the longest run, with
// two seconds more to tell of the reservation and of its end.
func TestAllAtOnceIsNotStarvedByOtherOwners(t *testing.T) {
	const seed = 1
	const bound = 2*time.Second + contestRun*3/2 + 2*time.Second
	for _, jobs := range []int{1, 2} {
		m := newMembers(4, 4, seed, func(int) int { return 0 })
		small := smallWork(task.Batch, 0)
		small.RunTime = contestRun
		wide := smallWork(task.AllAtOnce, 1)
		wide.Tasks, wide.Size.Processors, wide.RunTime = len(m.racks)*8, 4000, time.Second
		var sent []uint64
		for start := m.now; m.now.Sub(start) < contestTime; {
			for i := range 2 {
				if m.waiting(i, "t0") < hammerQueue {
					m.submit(i, small)
				}
			}
			if len(sent) < jobs && m.now.Sub(start) > warmTime {
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
