package cell_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

// setQueues puts a version with the queues of the given names in force.
func (w *world) setQueues(version int64, names string) {
	next := catalogue()
	next.Version, next.Queues = version, nil
	for _, q := range catalogue().Queues {
		if strings.Contains(names, q.Name) {
			next.Queues = append(next.Queues, q)
		}
	}
	w.SetCatalogue(next)
}

// drain ends all tasks that run as done and answers all questions for 20 s. Workers on which several runs
// have failed get no new ones for 8 s at most.
func (w *world) drain() {
	for range 40 {
		for _, f := range w.workers {
			f.endAll(cell.EndedDone)
		}
		w.reportAll()
		w.advise(func(string) bool { return true })
		w.advance(500 * ms)
	}
}

// twoSteps returns a job whose second step waits for the first.
func twoSteps(id, queue string, change func(s *workload.Step)) workload.Job {
	j := job(id, queue, 2, change)
	second := j.Steps[0]
	second.After = []int{0}
	j.Steps = append(j.Steps, second)
	return j
}

// LOST (review/15): the route of accepted jobs is removed, comes back, or comes and goes. They must run
// to their end.
func TestJobsRunToTheirEndWithoutTheirQueue(t *testing.T) {
	scheduled := twoSteps(id(3), "Plain", nil)
	scheduled.Schedule = workload.Schedule{Count: 3, First: 1000, Interval: 1000}
	jobs := []workload.Job{
		twoSteps(id(1), "Plain", nil), twoSteps(id(2), "Advised", nil), scheduled,
		twoSteps(id(4), "Plain", func(s *workload.Step) { s.Gang = true }), twoSteps(id(5), "Advised", func(s *workload.Step) { s.Gang = true }),
	}
	for name, versions := range map[string][]string{
		"removed": {"Twice"}, "back": {"Twice", "Plain Advised"}, "alternating": {"Twice", "Plain Advised", "Twice", "Plain", "Twice"},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(4)
			for _, j := range jobs {
				w.submit(j)
			}
			w.setQueues(2, versions[0])
			for i, names := range versions {
				w.setQueues(int64(i+2), names)
				w.advance(500 * ms)
			}
			w.drain()
			for _, j := range jobs {
				qt.Check(t, w.states[j.ID], qt.Equals, workload.Done, qt.Commentf("job %s", j.ID))
			}
		})
	}
}

// LOST: a task that lasts ends after its route was removed. It must start again.
func TestDaemonWithoutItsQueueStartsAgain(t *testing.T) {
	w := newWorld(2)
	w.submit(job(id(1), "Plain", 2, func(s *workload.Step) { s.Daemon = true }))
	w.setQueues(2, "Twice")
	w.failRuns(1)
	w.advance(2 * second)
	qt.Assert(t, w.runningCount(), qt.Equals, 2)
}

// BUDGET (stand2 route): the attempts of a task run out while its route is away, which then comes back.
func TestAttemptsRunOutWithoutTheQueue(t *testing.T) {
	c := qt.New(t)
	w := failedOnce(c)
	started := len(w.starts)
	w.setQueues(2, "Plain")
	w.failRuns(2)
	w.advance(2 * second)
	c.Check(w.states[id(1)], qt.Equals, workload.Failed)
	w.setQueues(3, "Plain Twice")
	w.advance(5 * second)
	c.Check(w.starts, qt.HasLen, started)
}

// GANG: a gang needs the room of tasks whose route was removed. They must make room as before.
func TestGangPreemptsTasksWithoutTheirQueue(t *testing.T) {
	w := testGangAmongLongTasks(func(s *workload.Step) { s.Checkpoints = true })
	qt.Assert(t, len(w.stops) > 0, qt.IsTrue)
	other := newWorld(4)
	other.submit(job(id(1), "Plain", 20, func(s *workload.Step) { s.Estimate, s.Checkpoints = 10*second, true }))
	other.advance(second)
	other.setQueues(2, "Advised")
	other.submit(job(id(2), "Advised", 4, func(s *workload.Step) { s.Gang, s.Estimate = true, second }))
	for range 4 {
		other.advise(func(string) bool { return true })
		other.advance(200 * ms)
	}
	qt.Assert(t, other.stops, qt.HasLen, len(w.stops))
}

// LOST: routes come and go at random while tasks end, fail and are lost with their worker. Each job must
// end as done or, by its attempts, as failed.
func TestJobsEndWhileQueuesComeAndGo(t *testing.T) {
	attemptsOf := map[string]int{}
	for _, q := range catalogue().Queues {
		attemptsOf[q.Name] = q.MaxAttempts
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(4)
		for n := range 6 {
			w.submit(twoSteps(id(n), rapid.SampledFrom([]string{"Plain", "Advised", "Twice"}).Draw(t, "queue"), nil))
		}
		failures, spent := map[workload.TaskID]int{}, map[workload.TaskID]bool{}
		for version := int64(2); version < 8; version++ {
			w.setQueues(version, rapid.SampledFrom([]string{"", "Plain", "Twice Advised", "Plain Twice Advised"}).Draw(t, "names"))
			f := w.workers[rapid.SampledFrom([]string{"w0", "w1", "w2", "w3"}).Draw(t, "worker")]
			f.endAll(rapid.SampledFrom([]cell.Outcome{cell.EndedDone, cell.EndedFailed, cell.EndedStopped}).Draw(t, "outcome"))
			for _, e := range f.ended {
				if e.Outcome == cell.EndedFailed {
					failures[e.Task]++
				}
				spent[e.Task] = failures[e.Task] >= attemptsOf[w.jobs[e.Task.Job].Queue]
			}
			begun := len(w.starts)
			w.reportAll()
			w.advise(func(string) bool { return true })
			w.advance(500 * ms)
			for _, s := range w.starts[begun:] {
				if spent[s.Task] {
					t.Fatalf("task %s has run %d after its last attempt", s.Task, s.Run)
				}
			}
		}
		w.drain()
		for n := range 6 {
			if !w.states[id(n)].Final() {
				t.Fatalf("job %s is %s", id(n), w.states[id(n)])
			}
		}
	})
}
