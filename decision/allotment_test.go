package decision_test

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestQuotaHoldsOverAllPartitions checks that a team with several partitions
// never exceeds its quota, while partitions move between members.
func TestQuotaHoldsOverAllPartitions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cores := rapid.IntRange(1, 4).Draw(t, "cores")
		parts := rapid.IntRange(2, 5).Draw(t, "partitions")
		m := newMembers(cores, 3, 1, func(rack int) int { return rack % cores })
		quota := task.Size{Processors: int64(rapid.IntRange(3, 40).Draw(t, "processors")) * 1000,
			Memory: int64(rapid.IntRange(3, 40).Draw(t, "memory")) * task.Gibibyte}
		m.setTeams(decision.Team{Name: "t0", Quota: quota, Partitions: partitionsOf(parts)})
		for i := range parts {
			m.setOwner(partitionOf(i), i%cores)
		}
		for range rapid.IntRange(20, 80).Draw(t, "steps") {
			p := partitionOf(rapid.IntRange(0, parts-1).Draw(t, "partition"))
			if rapid.IntRange(0, 9).Draw(t, "move") == 0 {
				m.setOwner(p, rapid.IntRange(0, cores-1).Draw(t, "to"))
			}
			w := smallWork(rapid.SampledFrom([]task.Kind{task.Batch, task.Service}).Draw(t, "kind"), 0)
			w.RunTime = taskRunTime
			w.Tasks = rapid.IntRange(1, 6).Draw(t, "tasks")
			w.Size.Processors = int64(rapid.IntRange(1, 4).Draw(t, "size")) * 1000
			m.submitTo(p, w)
			for range 10 {
				m.step()
			}
			if used := m.usedBy("t0"); used.Processors > quota.Processors || used.Memory > quota.Memory {
				t.Fatalf("the team uses %v of %v", used, quota)
			}
		}
	})
}

// TestWholeQuotaIsGivenOut checks that the parts of all partitions together can
// use the whole quota.
func TestWholeQuotaIsGivenOut(t *testing.T) {
	const cores, parts = 2, 3
	m := newMembers(cores, 4, 1, func(rack int) int { return rack % cores })
	quota := task.Size{Processors: 32_000}
	m.setTeams(decision.Team{Name: "t0", Quota: quota, Partitions: partitionsOf(parts)})
	for i := range parts {
		m.setOwner(partitionOf(i), i%cores)
		for range 20 {
			m.submitTo(partitionOf(i), smallWork(task.Service, 0))
		}
	}
	for range 50 {
		m.step()
	}
	// Parts of 10.667 processors hold ten tasks each.
	qt.Assert(t, m.usedBy("t0").Processors, qt.Equals, int64(30_000))
	m.setTeams(decision.Team{Name: "t0", Quota: task.Size{Processors: 33_000}, Partitions: partitionsOf(parts)})
	for range 50 {
		m.step()
	}
	qt.Assert(t, m.usedBy("t0").Processors, qt.Equals, int64(33_000))
}

// TestWorkBeyondPartitionQuotaIsRefused submits work that exceeds its
// partition's part of the quota, and work that needs an accelerator in a
// partition that gets none.
func TestWorkBeyondPartitionQuotaIsRefused(t *testing.T) {
	m := newMembers(1, 3, 1, func(int) int { return 0 })
	m.setTeams(decision.Team{Name: "t0", Partitions: partitionsOf(3),
		Quota: task.Size{Processors: 30_000, Accelerators: 2}})
	wide := smallWork(task.Service, 0)
	wide.Tasks = 11
	accelerated := smallWork(task.Batch, 0)
	accelerated.Size.Accelerators = 1
	for _, test := range []struct {
		partition int
		work      task.Work
		want      string
	}{
		{0, wide, ".* takes 11 processors.* is 30 processors.*, of which its partition has one of 3 parts."},
		{2, accelerated, ".*1 accelerators.*, of which its partition has one of 3 parts."},
	} {
		a := m.replies[m.submitTo(partitionOf(test.partition), test.work)]
		qt.Check(t, a.State, qt.Equals, task.NotRun)
		qt.Check(t, a.Code, qt.Equals, decision.CodeNeverFits)
		qt.Check(t, a.Reason, qt.Matches, test.want)
	}
	plain := m.submitTo(partitionOf(2), smallWork(task.Batch, 0))
	qt.Assert(t, m.usedBy("t0").Processors, qt.Equals, int64(1000), qt.Commentf("%v", m.replies[plain]))
}
