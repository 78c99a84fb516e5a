package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/rack"
)

// A worker that restarts forgets what ran on it. The owner of its rack tells that
// the attempts are lost, but an owner that takes the rack over in between knows
// nothing of them, and tells nothing. The digest tells the new instance.

// lastKnownWorkers returns the workers of a rack as they were last told of.
func (c *cell) lastKnownWorkers(name string) []rack.WorkerSummary {
	if v := c.viewByName(name); v != nil {
		return v.digest.Workers
	}
	return c.unreachable[name].workers
}

// settleRestarted asks about the attempts on workers that have restarted since an
// earlier digest.
func (c *Core) settleRestarted(earlier []rack.WorkerSummary, v *view) {
	var restarted []string
	for _, w := range v.digest.Workers {
		before := workerByID(w.ID, earlier).Instance
		if before != 0 && w.Instance != before {
			restarted = append(restarted, w.ID)
		}
	}
	if len(restarted) > 0 {
		c.settleOn(restarted)
	}
}

// settleOn asks about all attempts that run on some workers, in the order of
// submission.
func (c *Core) settleOn(workers []string) {
	var found []*job
	for _, j := range c.jobs {
		if j.runsOn(workers) {
			found = append(found, j)
		}
	}
	slices.SortFunc(found, compareSubmission)
	for _, j := range found {
		for i := range j.tasks {
			if j.tasks[i].runsOn(workers) && j.stepAttempt(i, "Settle") {
				c.sendCommand(j, i, Settle)
			}
		}
		c.rearmTimer(j)
	}
}

// runsOn reports whether an attempt of the job runs on one of some workers.
func (j *job) runsOn(workers []string) bool {
	if j.activeCount() == 0 {
		return false
	}
	return slices.ContainsFunc(j.tasks, func(a attempt) bool { return a.runsOn(workers) })
}

// runsOn reports whether the attempt runs on one of some workers.
func (a *attempt) runsOn(workers []string) bool {
	return a.state == "Running" && slices.Contains(workers, a.worker)
}
