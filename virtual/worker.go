package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// start sends an attempt to its worker.
func (o *rackOwner) start(a *attempt) {
	o.run.after(o.run.options.LocalDelay, func() { o.startOnWorker(a) })
}

// startOnWorker starts an attempt on its worker.
func (o *rackOwner) startOnWorker(a *attempt) {
	w := o.workers[a.worker]
	if w.silent || a.status == decision.Ended {
		return
	}
	a.startedAt = o.run.now
	a.status = decision.Placed
	o.recordStart(a)
	o.report(a)
	if w.failing {
		o.run.after(failureDelay, func() { o.end(a, task.Broke) })
		return
	}
	o.run.after(o.run.options.UsageInterval, func() { o.usage(a) })
	item := a.work.item
	if item.RunTime == 0 {
		return
	}
	a.slowdown = slowdown(item.Used, a.command.Size)
	left := item.RunTime - a.work.tasks[a.command.Attempt.Task].checkpointed
	o.run.after(time.Duration(float64(left)*a.slowdown), func() { o.end(a, task.Succeeded) })
}

// slowdown returns the factor by which limiting a task to its reservation
// lengthens its run.
func slowdown(used, reserved task.Size) float64 {
	factor := 1.0
	if reserved.Processors > 0 {
		factor = max(factor, float64(used.Processors)/float64(reserved.Processors))
	}
	if reserved.Memory > 0 {
		factor = max(factor, float64(used.Memory)/float64(reserved.Memory))
	}
	return factor
}

func (o *rackOwner) recordStart(a *attempt) {
	r := o.run
	t := &a.work.tasks[a.command.Attempt.Task]
	if t.running > 0 {
		r.result.DuplicateStarts++
	}
	t.running++
	r.running++
	r.result.MaxRunning = max(r.result.MaxRunning, r.running)
	w := o.workers[a.worker]
	if r.pastFailureDetection() {
		r.result.Attempts++
		if w.failing && r.now >= w.failingSince+failureDetectionTime {
			r.result.FailingWorkerStarts++
		}
	}
	if w.failing {
		// A start that is bound to fail does not end the caller's wait.
		return
	}
	if a.work.markStarted(a.command.Attempt.Task) {
		c := r.result.Classes[a.work.class]
		c.Started++
		a.work.startedAt = r.now
		c.Waits.add(r.now - a.work.item.At)
		r.result.LastStart = r.now
	}
}

// usage periodically reports what a running attempt can use.
func (o *rackOwner) usage(a *attempt) {
	if a.status != decision.Placed || o.workers[a.worker].silent {
		return
	}
	o.run.report(o, decision.Usage{Attempt: a.command.Attempt, Rack: o.name, Worker: a.worker, Used: a.work.item.Used})
	o.run.after(o.run.options.UsageInterval, func() { o.usage(a) })
}

// stop ends an attempt that the scheduler has withdrawn.
func (o *rackOwner) stop(a *attempt) {
	if o.workers[a.worker].silent || a.status == decision.Ended {
		return
	}
	if a.startedAt >= 0 && !a.work.answered && a.work.item.CancelAt == 0 {
		o.run.result.Wasted += o.run.now - a.startedAt
	}
	o.end(a, task.Stopped)
}

// checkpoint saves the progress of an attempt and then ends it.
func (o *rackOwner) checkpoint(a *attempt) {
	if a.status != decision.Placed || o.workers[a.worker].silent {
		return
	}
	o.run.after(checkpointTime, func() {
		if a.status != decision.Placed {
			return
		}
		ran := o.run.now - a.startedAt - checkpointTime
		if a.slowdown > 0 {
			a.work.tasks[a.command.Attempt.Task].checkpointed += time.Duration(float64(ran) / a.slowdown)
		}
		o.run.result.Wasted += checkpointTime
		o.end(a, task.Stopped)
	})
}

// end releases the reservation of an attempt and reports its end.
func (o *rackOwner) end(a *attempt, outcome task.Outcome) {
	if a.status == decision.Ended {
		return
	}
	if outcome != task.Lost && o.workers[a.worker].silent {
		return
	}
	o.account(a)
	a.status, a.outcome = decision.Ended, outcome
	o.release(a)
	o.report(a)
}

// account adds the run time and use of an attempt to the result.
func (o *rackOwner) account(a *attempt) {
	if a.startedAt < 0 {
		return
	}
	r := o.run
	r.running--
	r.result.RunTime += r.now - a.startedAt
	a.work.tasks[a.command.Attempt.Task].running--
	from, until := min(a.startedAt, r.load.Length), min(r.now, r.load.Length)
	r.result.Used.add(minSize(a.work.item.Used, a.command.Size), until-from)
}

// finish accounts for the attempts that are still running at the end of the
// run.
func (o *rackOwner) finish() {
	for _, id := range o.activeAttempts() {
		o.account(o.attempts[id])
	}
}

// minSize returns the smaller amount of each resource.
func minSize(a, b task.Size) task.Size {
	a.Processors = min(a.Processors, b.Processors)
	a.Memory = min(a.Memory, b.Memory)
	a.Accelerators = min(a.Accelerators, b.Accelerators)
	return a
}
