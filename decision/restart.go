package decision

import (
	"slices"

	"github.com/vanillaquay/vanillaquay/rack"
)

// A worker that restarts loses its attempts. The owner of its rack reports them
// as lost, but an owner that takes the rack over in between doesn't know them
// and reports nothing. The digest contains the worker's new instance.

// lastKnownWorkers returns the workers in the last digest of a rack.
func (c *cell) lastKnownWorkers(name string) []rack.WorkerSummary {
	if v := c.viewByName(name); v != nil {
		return v.digest.Workers
	}
	return c.unreachable[name].workers
}

// settleRestarted queries the attempts on workers that have restarted since an
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

// settleOn queries all attempts running on the given workers, in order of
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

// runsOn reports whether an attempt of the job runs on one of the workers.
func (j *job) runsOn(workers []string) bool {
	if j.activeCount() == 0 {
		return false
	}
	return slices.ContainsFunc(j.tasks, func(a attempt) bool { return a.runsOn(workers) })
}

// runsOn reports whether the attempt runs on one of the workers.
func (a *attempt) runsOn(workers []string) bool {
	return a.state == "Running" && slices.Contains(workers, a.worker)
}
