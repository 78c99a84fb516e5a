package breakdown

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// computeTimes computes the times of a job's phases by following its tasks from the one
// that ended last back to the first call. The logs lack the dependencies between steps, so
// a task's predecessor is assumed to be the task of an earlier step that ended last before
// the task was placed.
func (t *jobTrack) computeTimes() {
	if t.called {
		t.addTime(Acceptance, t.firstSeen, t.submitted)
	}
	switch t.state {
	case workload.Done:
		t.computeDoneTimes()
	case workload.Failed:
		t.computeFailedTimes()
	default:
		t.addTime(Advice, t.submitted, t.firstAdvice())
	}
}

func (t *jobTrack) computeDoneTimes() {
	k := t.lastDone(nil)
	if k == nil {
		advised := t.firstAdvice()
		t.addTime(Advice, t.submitted, advised)
		t.addTime(Unaccounted, later(t.submitted, advised), t.ended)
		return
	}
	// The job ends with its last task, apart from a short delay.
	t.addTime(Running, k.done, t.ended)
	for k != nil {
		t.addRunTimes(k)
		predecessor := t.lastDone(k)
		t.addWaitTimes(k, predecessor)
		k = predecessor
	}
}

// computeFailedTimes attributes all time from the first placement to Rerun.
func (t *jobTrack) computeFailedTimes() {
	var k *taskTrack
	for _, o := range t.tasks {
		if !o.firstPlaced.IsZero() && (k == nil || o.firstPlaced.Before(k.firstPlaced) || o.firstPlaced.Equal(k.firstPlaced) && k.endsAfter(o)) {
			k = o
		}
	}
	if k == nil {
		t.addTime(Unaccounted, t.submitted, t.ended)
		return
	}
	t.addWaitTimes(k, nil)
	t.addTime(Rerun, k.firstPlaced, t.ended)
}

// firstAdvice returns the time of the first advice for any step, or zero.
func (t *jobTrack) firstAdvice() time.Time {
	var at time.Time
	for _, advised := range t.advisedAt {
		at = earlier(at, advised)
	}
	return at
}

// lastDone returns the task that ended last. If a task is given, only tasks of earlier
// steps of the same occurrence that ended before its placement are considered.
func (t *jobTrack) lastDone(before *taskTrack) *taskTrack {
	var found *taskTrack
	for _, k := range t.tasks {
		if k.done.IsZero() || found != nil && !k.endsAfter(found) {
			continue
		}
		if before != nil && (k.id.Step >= before.id.Step || k.id.Occurrence != before.id.Occurrence || k.done.After(before.firstPlaced)) {
			continue
		}
		found = k
	}
	return found
}

// endsAfter orders tasks by their ends, and tasks with equal ends by step and index.
func (k *taskTrack) endsAfter(o *taskTrack) bool {
	if !k.done.Equal(o.done) {
		return k.done.After(o.done)
	}
	return cmp.Or(cmp.Compare(k.id.Step, o.id.Step), cmp.Compare(k.id.Index, o.id.Index)) > 0
}

// addRunTimes adds the times of a task's phases from its first placement to its end.
func (t *jobTrack) addRunTimes(k *taskTrack) {
	t.addTime(Rerun, k.firstPlaced, k.lastPlaced)
	sentAt := k.lastPlaced.Add(k.sendDelay)
	if k.firstPlaced.Equal(k.lastPlaced) {
		// No order is sent before the job is recorded, which is known from the response to
		// the call.
		sentAt = later(sentAt, t.recorded)
	}
	if sentAt.After(k.done) {
		sentAt = k.done
	}
	t.addTime(Record, k.lastPlaced, sentAt)
	endedBy := later(sentAt, k.done.Add(-k.reportDelay))
	t.addTime(Running, sentAt, endedBy)
	t.addTime(ReportDelay, endedBy, k.done)
}

// addWaitTimes adds the times of a task's phases before its first placement.
func (t *jobTrack) addWaitTimes(k, predecessor *taskTrack) {
	ready := t.submitted
	if predecessor != nil {
		ready = predecessor.done
	}
	if ready.IsZero() {
		t.addTime(Unaccounted, t.firstSeen, k.firstPlaced)
		return
	}
	if k.id.Occurrence > 0 && predecessor == nil {
		// The due time of a later occurrence is not in the logs.
		t.addTime(Unaccounted, ready, k.firstPlaced)
		return
	}
	advised := t.advisedAt[k.id.StepID]
	if advised.After(k.firstPlaced) {
		// The advice was requested again, and the first response is not in the logs.
		advised = k.firstPlaced
	}
	t.addTime(Advice, ready, advised)
	wait := CapacityWait
	switch {
	case k.takenOver:
		wait = Takeover
	case k.firstRun > 1:
		// The lines of the earlier runs are missing.
		wait = Unaccounted
	}
	t.addTime(wait, later(ready, advised), k.firstPlaced)
}

// addTime adds the time of a phase. The clocks of hosts differ, so a phase may seem to end
// before it begins; it then counts as 0.
func (t *jobTrack) addTime(p Phase, from, to time.Time) {
	if from.IsZero() || to.IsZero() {
		return
	}
	spent := max(0, to.Sub(from))
	if spent > 0 || recordedWhenZero[p] {
		t.Times[p] += spent
	}
}

// recordedWhenZero holds the phases that are recorded even with a time of 0. A job has
// Advice only if an advice was logged.
var recordedWhenZero = map[Phase]bool{Acceptance: true, Advice: true, CapacityWait: true, Running: true}
