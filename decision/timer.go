package decision

import (
	"container/heap"
	"time"
)

// timer is when a job is next due.
type timer struct {
	at time.Time
	// sequence breaks ties, so that a run is reproducible.
	sequence uint64
	job      *job
	// index is the position in the heap.
	index int
}

// timers is a heap of timers, the earliest at the top.
type timers []*timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].sequence < t[j].sequence
}

func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	m := x.(*timer)
	m.index = len(*t)
	*t = append(*t, m)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	m := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return m
}

// wakeBy schedules a job for the first tick after the given time, or after now
// if that is later, so that a tick handles each job at most once.
func (c *Core) wakeBy(j *job, at time.Time) {
	if !at.After(c.now) {
		at = c.now.Add(time.Nanosecond)
	}
	if j.timer == nil {
		c.timerSequence++
		j.timer = &timer{at: at, sequence: c.timerSequence, job: j}
		heap.Push(&c.timers, j.timer)
		return
	}
	if at.Before(j.timer.at) {
		j.timer.at = at
		heap.Fix(&c.timers, j.timer.index)
	}
}

// cancelTimer removes the timer of a job.
func (c *Core) cancelTimer(j *job) {
	if j.timer != nil {
		heap.Remove(&c.timers, j.timer.index)
		j.timer = nil
	}
}

// tick handles everything that is due.
func (c *Core) tick() {
	for len(c.timers) > 0 && !c.timers[0].at.After(c.now) {
		j := c.timers[0].job
		c.cancelTimer(j)
		c.wakeJob(j)
	}
	c.endQuarantines()
	c.updateFairShare()
	c.preemptBlocked()
	c.startRate.update(c.now, c.queuedCount)
	c.tickPeers()
}

// wakeJob handles what is due for a job and sets its next timer.
func (c *Core) wakeJob(j *job) {
	if requestChart.Final(j.state) {
		c.expireAnswer(j)
		return
	}
	c.retryRecords(j)
	c.checkDeadline(j)
	if requestChart.Final(j.state) {
		return
	}
	c.resendOverdue(j)
	c.resumePaused(j)
	c.endIfNeverFits(j)
	if j.placeable() {
		c.enqueueIfIdle(j)
	}
	c.rearmTimer(j)
}

// rearmTimer sets the timer for the next known event of a job.
func (c *Core) rearmTimer(j *job) {
	if len(j.unrecorded) > 0 {
		c.wakeBy(j, c.now.Add(recordRetryInterval))
	}
	if !j.deadlineReported && j.work.Deadline.After(c.now) {
		c.wakeBy(j, j.work.Deadline)
	}
	if c.awaitsAnswer(j) {
		c.wakeBy(j, c.now.Add(answerTimeout))
	} else if j.activeCount() > 0 {
		c.wakeBy(j, c.now.Add(runningCheckInterval))
	}
	if j.placeable() && j.notBefore.After(c.now) {
		c.wakeBy(j, j.notBefore)
	}
}
