package soak

import (
	"strconv"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// runID identifies a run on a worker.
type runID struct {
	worker, task string
	run          int
}

// taskRuns holds the runs of a task up to the event being replayed.
type taskRuns struct {
	// running holds the start times of the active runs.
	running map[runID]time.Time
	// done and failed are the runs that ended in that way.
	done, failed []runID
}

// checkRuns replays the events of the workers.
func (c *checker) checkRuns() {
	acknowledged := c.acknowledgedEnds()
	tasks := map[string]*taskRuns{}
	for _, e := range c.Events {
		if e.Kind == workerstandin.LifeEnded {
			c.lifeEnds[e.Worker] = e.At
		}
		if e.Task == "" {
			continue
		}
		t := tasks[e.Task]
		if t == nil {
			t = &taskRuns{running: map[runID]time.Time{}}
			tasks[e.Task] = t
		}
		id := runID{e.Worker, e.Task, e.Run}
		switch e.Kind {
		case workerstandin.RunBegan:
			c.checkStart(e, t, acknowledged, tasks)
			t.running[id] = e.At
			c.checkLimit(e)
		case workerstandin.RunEnded, workerstandin.RunGone:
			if _, running := t.running[id]; running {
				c.subtractUsage(e.Task)
			}
			delete(t.running, id)
			c.checkCancelled(e.Task, e.At)
			t.addEnd(e, id)
		}
	}
	for name, t := range tasks {
		if len(t.running) > 0 {
			c.checkCancelled(name, c.At)
		}
	}
}

func (t *taskRuns) addEnd(e workerstandin.RunEvent, id runID) {
	switch {
	case e.Kind != workerstandin.RunEnded:
	case e.How == workerstandin.HowDone:
		t.done = append(t.done, id)
	case e.How == workerstandin.HowFailed:
		t.failed = append(t.failed, id)
	}
}

// acknowledgedEnds returns the ends that an owner acknowledged at any time. An end is never
// acknowledged if its worker's lease lapsed, or its life ended, before.
func (c *checker) acknowledgedEnds() map[runID]bool {
	acknowledged, pending := map[runID]bool{}, map[string]map[runID]bool{}
	for _, e := range c.Events {
		id := runID{e.Worker, e.Task, e.Run}
		switch e.Kind {
		case workerstandin.RunEnded:
			if pending[e.Worker] == nil {
				pending[e.Worker] = map[runID]bool{}
			}
			pending[e.Worker][id] = true
		case workerstandin.EndNoted:
			acknowledged[id] = acknowledged[id] || pending[e.Worker][id]
		case workerstandin.LeaseLapsed, workerstandin.LifeEnded:
			delete(pending, e.Worker)
		}
	}
	return acknowledged
}

func countAcknowledged(ids []runID, acknowledged map[runID]bool) int {
	n := 0
	for _, id := range ids {
		if acknowledged[id] {
			n++
		}
	}
	return n
}

// checkStart checks the start of a run against the rules.
func (c *checker) checkStart(e workerstandin.RunEvent, t *taskRuns, acknowledged map[runID]bool, tasks map[string]*taskRuns) {
	if len(t.running) > 0 {
		c.addViolation(e.At, "TWICE", "run %d of %s starts on %s while another run is active", e.Run, e.Task, e.Worker)
	}
	if countAcknowledged(t.done, acknowledged) > 0 {
		c.addViolation(e.At, "TWICE", "run %d of %s starts on %s after an end as done was acknowledged", e.Run, e.Task, e.Worker)
	}
	if countAcknowledged(t.failed, acknowledged) >= maxFailedRuns {
		c.addViolation(e.At, "BUDGET", "run %d of %s starts on %s after %d failed runs", e.Run, e.Task, e.Worker, maxFailedRuns)
	}
	if e.Over {
		c.addViolation(e.At, "LIMIT", "run %d of %s brings %s over its capacity", e.Run, e.Task, e.Worker)
	}
	c.checkDrain(e)
	c.checkRequested(e, tasks)
}

// checkDrain checks that a run does not start on a draining worker.
func (c *checker) checkDrain(e workerstandin.RunEvent) {
	for _, d := range c.Disruptions {
		isOver := !d.To.IsZero() && d.To.Before(e.At) || c.lifeEnds[e.Worker].After(d.From)
		if d.Fault.Kind != DrainWorker || workerName(d.Fault.Worker) != e.Worker || isOver {
			continue
		}
		if late := e.At.Sub(d.From); late > maxDrainDelay && c.isUndisturbed(d.From, e.At, keepsConnections) {
			c.addViolation(e.At, "DRAIN", "%s starts %s, %s after it announced that it is draining", e.Worker, e.Task, late)
		}
	}
}

// checkRequested checks the start of a run against the calls about its job.
func (c *checker) checkRequested(e workerstandin.RunEvent, tasks map[string]*taskRuns) {
	id, step, ok := parseTask(e.Task)
	v := c.jobs[id]
	switch {
	case !ok || v == nil || step >= len(v.Steps):
		c.addViolation(e.At, "UNASKED", "%s starts %s, which no caller submitted", e.Worker, e.Task)
		return
	case v.Spec != e.Spec:
		c.addViolation(e.At, "UNASKED", "%s starts %s with a specification that differs from the submitted one", e.Worker, e.Task)
	case v.rejected:
		c.addViolation(e.At, "REFUSED", "%s starts %s, but each submission of its job was rejected", e.Worker, e.Task)
	case !v.cancelled.IsZero() && e.At.Sub(v.cancelled) > maxCancelDelay && c.isUndisturbed(e.At, e.At, keepsConnections):
		c.addViolation(e.At, "UNASKED", "%s starts %s, %s after %s", e.Worker, e.Task, e.At.Sub(v.cancelled), v.describeCancellation())
	}
	for _, before := range v.Steps[step].After {
		for index := range v.Steps[before].Tasks {
			name := taskName(id, before, index)
			if tasks[name] == nil || len(tasks[name].done) == 0 {
				c.addViolation(e.At, "ORDER", "%s starts %s before %s is done", e.Worker, e.Task, name)
			}
		}
	}
}

// checkCancelled checks that a task, which ran until a time, has not run on through a calm
// stretch after its job was cancelled.
func (c *checker) checkCancelled(name string, until time.Time) {
	id, _, _ := parseTask(name)
	v := c.jobs[id]
	if v != nil && !v.cancelled.IsZero() && c.hasCalmStretch(v.cancelled, until, maxCancelDelay+maxStopTime) {
		c.addViolation(until, "UNASKED", "%s runs until %s after %s", name, until.Sub(v.cancelled), v.describeCancellation())
	}
}

// parseTask returns the job and the step in the name of a task.
func parseTask(name string) (string, int, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, false
	}
	step, err := strconv.Atoi(parts[2])
	return parts[0], step, err == nil
}
