package decision

import (
	"fmt"

	"github.com/vanillaquay/vanillaquay/task"
)

// Codes of refusals and of other answers without success.
const (
	CodeOverloaded     = "Overloaded"
	CodeTeamQueueFull  = "TeamQueueFull"
	CodeNotDurable     = "NotDurable"
	CodeOvertaken      = "Overtaken"
	CodeDeadlinePassed = "DeadlinePassed"
	CodeNeverFits      = "NeverFits"
	CodeUnknownID      = "UnknownID"
	CodeIDReused       = "IDReused"
	CodeAttemptsUsed   = "AttemptsUsed"
	CodeTaskFailed     = "TaskFailed"
	CodeCancelled      = "Cancelled"
	CodeOutcomeUnknown = "OutcomeNotKnown"
)

// queuePercent is the percentage of the queue limit up to which work of each
// class is accepted, so that the least urgent work is refused first.
var queuePercent = [classCount]int{urgent: 100, replacements: 100, requests: 90, services: 80, allAtOnce: 70, batch: 60}

// admit refuses work that can never run, that can't be recorded, or that would
// queue behind too much other work.
func (c *Core) admit(e Submitted) (task.Answer, bool) {
	w := e.Work
	if w.NeedsDurableRecord() && (!c.leaseValid || e.Partition == "") {
		return task.Refusal(w.Key(), CodeNotDurable,
			"The work needs a durable record, and none can be written now.", DefaultRetryAfter), false
	}
	if reason := c.neverFits(w, e.Partition); reason != "" {
		return task.Refusal(w.Key(), CodeNeverFits, reason, 0), false
	}
	return c.admitByLoad(w)
}

// admitByLoad refuses work that would queue behind too much other work, or miss
// its deadline there.
func (c *Core) admitByLoad(w task.Work) (task.Answer, bool) {
	k := initialClass(w)
	t := c.teamNamed(w.Team)
	ahead := c.queuedAhead(k, t)
	switch {
	case !w.Deadline.IsZero() && w.Deadline.Before(c.now):
		return task.Refusal(w.Key(), CodeDeadlinePassed, "The deadline had passed when the work arrived.", 0), false
	case t.queuedCount >= c.options.TeamQueueLimit:
		return task.Refusal(w.Key(), CodeTeamQueueFull, "Too much work of the team waits already.",
			c.startRate.retryAfter(t.queuedCount)), false
	case c.exceedsMemory(w, k):
		return task.Refusal(w.Key(), CodeOverloaded, "The work that waits or runs takes all the memory for it.",
			c.startRate.retryAfter(c.queuedCount)), false
	case c.queuedCount*100 >= c.options.QueueLimit*queuePercent[k]:
		return task.Refusal(w.Key(), CodeOverloaded, "Too much work waits already.", c.startRate.retryAfter(c.queuedCount)), false
	case c.missesDeadline(w, c.startRate.expectedWait(ahead)):
		return task.Refusal(w.Key(), CodeOverloaded, "There would be no room before the deadline.",
			c.startRate.retryAfter(ahead)), false
	}
	return task.Answer{}, true
}

// queuedAhead counts the queued jobs of a class and of all more urgent classes
// that compete with a team.
func (c *Core) queuedAhead(k class, t *team) int {
	n := 0
	for i := range k + 1 {
		n += c.competingJobs(i, t)
	}
	return n
}

// neverFits returns why work can never run, or "" if it can or if the cell is
// not known well enough to tell.
func (c *Core) neverFits(w task.Work, partition string) string {
	if reason := c.overQuota(w, w.TaskSize(), partition); reason != "" {
		return reason
	}
	if !c.cell.fullyKnown(c.now, c.options.DiscoveryPeriod) {
		return ""
	}
	return c.tooLarge(w)
}

// tooLarge returns why the known workers can't hold a task of the work, or not
// all tasks of a gang at once; "" if they can.
func (c *Core) tooLarge(w task.Work) string {
	size := w.TaskSize()
	if !c.cell.fitsEmptyWorker(size, c.now) {
		return fmt.Sprintf("No worker is large enough for one task of %v.", size)
	}
	if w.Kind != task.AllAtOnce || w.Tasks == 1 {
		return ""
	}
	if n := c.cell.maxConcurrent(size, w.Tasks, c.now); n < w.Tasks {
		return fmt.Sprintf("The tasks must start together: there are %d, and the whole cell runs %d of that size at once.", w.Tasks, n)
	}
	return ""
}

// overQuota returns why the work exceeds the part of the team's quota that its
// partition has, or "" if it does not. It counts one task of a batch run, and
// all tasks of other work.
func (c *Core) overQuota(w task.Work, size task.Size, partition string) string {
	t := c.teamNamed(w.Team)
	a := t.allotmentOf(partition)
	all := size.Times(int64(c.concurrentTasks(w)))
	switch {
	case all.Fits(a.quota.Headroom(task.Size{})):
		return ""
	case a.partCount > 1:
		return fmt.Sprintf("The work takes %v at once, and the quota of team %s is %v, of which its partition has one of %d parts.",
			all, w.Team, t.quota, a.partCount)
	}
	return fmt.Sprintf("The work takes %v at once, and the quota of team %s is %v.", all, w.Team, t.quota)
}

// concurrentTasks returns how many tasks of the work must run at the same time.
func (c *Core) concurrentTasks(w task.Work) int {
	if w.Kind == task.Batch {
		return 1
	}
	return w.Tasks
}

// endIfNeverFits refuses queued work that proves never to fit, or checks again
// later if the cell is not fully known and no known worker is large enough.
func (c *Core) endIfNeverFits(j *job) {
	if j.subqueue == nil || j.state != "Queued" {
		return
	}
	if reason := c.neverFits(j.work, j.partition); reason != "" {
		c.stopJob(j, task.Refusal(j.key, CodeNeverFits, reason, 0))
		return
	}
	if !c.cell.fullyKnown(c.now, c.options.DiscoveryPeriod) && c.tooLarge(j.work) != "" {
		c.wakeBy(j, c.now.Add(c.options.DiscoveryPeriod))
	}
}
