package cell_test

import (
	"runtime"
	"slices"
	"testing"
	"time"
	"weak"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/workload"
)

// accepted returns a job with the policy that its queue has in the first version.
func accepted(j workload.Job) workload.Job {
	for _, q := range catalogue().Queues {
		if q.Name == j.Queue {
			j.Policy = q.Policy(1)
		}
	}
	return j
}

// takeOver returns the next owner of a cell, with the given version of the catalogue in force, which has
// read the records of the first one.
func takeOver(c *qt.C, earlier *world, version workload.Catalogue) *world {
	w := &world{
		Cell: cell.New(options()), now: earlier.now, workers: earlier.workers, states: map[string]workload.State{},
		progress: earlier.progress, jobs: earlier.jobs,
	}
	w.SetCatalogue(version)
	for _, f := range w.workers {
		w.HandleAnnouncement(w.now, f.Worker)
	}
	for id, j := range earlier.jobs {
		data, err := codec.Marshal(earlier.progress[id].Parts(j))
		c.Assert(err, qt.IsNil)
		var parts map[int]cell.Progress
		c.Assert(codec.Unmarshal(data, &parts), qt.IsNil)
		w.Restore(w.now, w.now+second, j, cell.JoinParts(parts))
	}
	w.reportAll()
	return w
}

// LOST: the owner is lost after the route of accepted jobs was removed. The next one must know under what
// they were accepted, and where the operator sent them last.
func TestNextOwnerRunsJobsOfRemovedQueues(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(accepted(twoSteps(id(1), "Plain", nil)))
	w.submit(accepted(twoSteps(id(2), "Advised", nil)))
	moved := catalogue()
	moved.Version, moved.Queues[0].Service, moved.Queues[0].Priority = 2, "T", 5
	w.SetCatalogue(moved)
	w.addWorkersElsewhere()
	w.step()
	c.Check(w.progress[id(1)].Policy.Service, qt.Equals, "T")
	c.Check(w.progress[id(2)].Policy, qt.IsNil)
	next := takeOver(c, w, workload.Catalogue{Version: 3})
	next.drain()
	c.Check(next.states[id(1)], qt.Equals, workload.Done)
	c.Check(next.states[id(2)], qt.Equals, workload.Done)
	for _, s := range next.starts {
		c.Check(s.Worker.Service, qt.Equals, map[string]string{id(1): "T", id(2): "S"}[s.Task.Job])
	}
}

// BUDGET: the route of accepted jobs comes back with fewer attempts and another objective. What a caller
// was promised must hold; the operator decides where the jobs run.
func TestAcceptedJobsKeepTheirAttempts(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(accepted(job(id(1), "Plain", 1, nil)))
	before, err := w.Explain(w.now, cell.Query{Job: id(1)})
	c.Assert(err, qt.IsNil)
	next := catalogue()
	next.Version = 2
	next.Queues[0].MaxAttempts, next.Queues[0].Allowance = 1, time.Hour
	w.SetCatalogue(next)
	for run := 1; run <= 3; run++ {
		c.Check(w.states[id(1)], qt.Equals, workload.Running)
		w.failRuns(run)
		w.advance(2 * second)
	}
	c.Check(w.states[id(1)], qt.Equals, workload.Failed)
	c.Check(w.starts, qt.HasLen, 3)
	w.submit(accepted(job(id(2), "Plain", 1, nil)))
	after, err := w.Explain(w.now, cell.Query{Job: id(2)})
	c.Assert(err, qt.IsNil)
	c.Check(after.ObjectiveSeconds, qt.Equals, before.ObjectiveSeconds)
}

// BUDGET: a job of an earlier version of the program has no policy, and its attempts ran out while its
// route was away, which then comes back.
func TestAttemptsRunOutWithoutAPolicy(t *testing.T) {
	c := qt.New(t)
	w := failedOnce(c)
	w.failRuns(2)
	for id, p := range w.progress {
		p.State, p.Policy = workload.Running, nil
		w.progress[id] = p
	}
	next := takeOver(c, w, workload.Catalogue{Version: 2})
	next.advance(2 * second)
	next.setQueues(3, "Twice")
	next.advance(5 * second)
	c.Check(next.starts, qt.HasLen, 0)
	c.Check(next.states[id(1)], qt.Equals, workload.Failed)
}

// LOST: a host has a newer version than the owner, which lacks the route of the job or sends it elsewhere.
func TestPolicyNewerThanTheCatalogue(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	w.addWorkersElsewhere()
	w.reportAll()
	j := job(id(1), "Plain", 1, nil)
	j.Policy = workload.Queue{Service: "T", MaxAttempts: 3}.Policy(2)
	w.submit(j)
	c.Assert(w.startedOn(id(1)), qt.DeepEquals, []string{"z0"})
}

// LIMIT: an owner that has read no configuration knows no limits of organisations.
func TestNoStartWithoutCatalogue(t *testing.T) {
	c := qt.New(t)
	w := newWorld(2)
	w.submit(accepted(twoSteps(id(1), "Plain", nil)))
	next := takeOver(c, w, workload.Catalogue{})
	next.drain()
	c.Check(next.starts, qt.HasLen, 0)
	e, err := next.Explain(next.now, cell.Query{Job: id(1)})
	c.Assert(err, qt.IsNil)
	c.Check(e.Steps[0].Waits[0].Cause, qt.Equals, cell.CauseRouting)
	next.SetCatalogue(workload.Catalogue{Version: 2})
	next.drain()
	c.Check(next.states[id(1)], qt.Equals, workload.Done)
}

// replacedAtTheSamePath returns a world in which one job of "Plain" runs and another one waits, when a route
// of another name replaces theirs at its path.
func replacedAtTheSamePath() *world {
	w := newWorld(1)
	version := catalogue()
	version.Version = 2
	for i, q := range version.Queues {
		version.Queues[i].Host, version.Queues[i].Prefix = "host", "/"+q.Name+"/"
	}
	w.SetCatalogue(version)
	for n := range 2 {
		j := job(id(n), "Plain", 5, nil)
		j.Policy = version.Queues[0].Policy(2)
		w.submit(j)
	}
	replaced := version
	replaced.Version, replaced.Queues = 3, slices.Clone(version.Queues)
	replaced.Queues[0].Name = "Other"
	w.SetCatalogue(replaced)
	return w
}

// LOST: operators ask what a job waits for whose route was replaced. They must be told, and that its route
// is not there any more.
func TestExplainTellsOfARemovedQueue(t *testing.T) {
	c := qt.New(t)
	w := replacedAtTheSamePath()
	e, err := w.Explain(w.now, cell.Query{Job: id(1)})
	c.Assert(err, qt.IsNil)
	c.Check(e.QueueRemoved, qt.IsTrue)
	c.Check(e.Steps[0].Waits[0].Cause, qt.Equals, cell.CauseRoom)
	c.Check(w.Load(w.now).Orphaned, qt.Equals, 2)
	w.drain()
	c.Check(w.states[id(1)], qt.Equals, workload.Done)
}

// Guards against a job that keeps the whole version under which it was accepted in memory: versions may
// have thousands of routes, and jobs may last for months.
func TestVersionsAreFreed(t *testing.T) {
	c := qt.New(t)
	w := newWorld(1)
	version := catalogue()
	version.Version = 2
	kept := weak.Make(&version.Queues[0])
	w.SetCatalogue(version)
	w.submit(job(id(1), "Plain", 1, func(s *workload.Step) { s.Daemon = true }))
	version = workload.Catalogue{Version: 3}
	w.SetCatalogue(version)
	runtime.GC()
	c.Check(kept.Value(), qt.IsNil)
	c.Check(w.runningCount(), qt.Equals, 1)
}

// MIXED: a route is replaced by one of another name at the same path, where callers ask how many jobs wait.
func TestReplacedQueueCountsWaitingJobs(t *testing.T) {
	w := replacedAtTheSamePath()
	qt.Check(t, w.WaitingJobCount("Other"), qt.Equals, 1)
	qt.Check(t, w.WaitingJobCount("Twice"), qt.Equals, 0)
	qt.Check(t, w.WaitingJobCount("Plain"), qt.Equals, 1)
}

// Guards against an owner that records nothing of what it has learned about a removed queue: the next owner
// would go by declared estimates for its jobs.
func TestLearnedValuesLastAsLongAsJobs(t *testing.T) {
	w := replacedAtTheSamePath()
	w.RestoreLearned(cell.Learned{Speeds: map[string]cell.QueueSpeed{"Plain": {Mean: 1}, "Gone": {Mean: 1}}})
	qt.Check(t, w.Learned().Speeds, qt.HasLen, 1)
	w.drain()
	qt.Check(t, w.Learned().Speeds, qt.HasLen, 0)
}
