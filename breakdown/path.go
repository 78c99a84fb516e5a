package breakdown

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// computeTimes fills in the times of a job: from the task that ended last back to the first
// call. The logs don't tell which steps a step comes after, so the latest end of an
// earlier step is taken, if it was before the placement.
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
	// The job is over with its last task, but for a moment.
	t.addTime(Running, k.done, t.ended)
	for k != nil {
		t.addRunTimes(k)
		earlier := t.lastDone(k)
		t.addWaitTimes(k, earlier)
		k = earlier
	}
}

// computeFailedTimes counts all from the first placement as runs that came to nothing.
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

// firstAdvice returns the first advice for any step, or zero.
func (t *jobTrack) firstAdvice() time.Time {
	var at time.Time
	for _, advised := range t.advisedAt {
		at = earlier(at, advised)
	}
	return at
}

// lastDone returns the task that was done last of all, or of the earlier steps in the
// occurrence of a task and before its placement.
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

// endsAfter orders tasks by their ends, and those that end at once by their names.
func (k *taskTrack) endsAfter(o *taskTrack) bool {
	if !k.done.Equal(o.done) {
		return k.done.After(o.done)
	}
	return cmp.Or(cmp.Compare(k.id.Step, o.id.Step), cmp.Compare(k.id.Index, o.id.Index)) > 0
}

// addRunTimes adds the time of a task from its first placement to its end.
func (t *jobTrack) addRunTimes(k *taskTrack) {
	t.addTime(Rerun, k.firstPlaced, k.lastPlaced)
	left := k.lastPlaced.Add(k.sendDelay)
	if k.firstPlaced.Equal(k.lastPlaced) {
		// No order leaves before the job's own record, which the answer to the call tells.
		left = later(left, t.recorded)
	}
	if left.After(k.done) {
		left = k.done
	}
	t.addTime(Record, k.lastPlaced, left)
	heard := later(left, k.done.Add(-k.reportDelay))
	t.addTime(Running, left, heard)
	t.addTime(ReportDelay, heard, k.done)
}

// addWaitTimes adds the time that a task waited for its first placement.
func (t *jobTrack) addWaitTimes(k, earlier *taskTrack) {
	ready := t.submitted
	if earlier != nil {
		ready = earlier.done
	}
	if ready.IsZero() {
		t.addTime(Unaccounted, t.firstSeen, k.firstPlaced)
		return
	}
	if k.id.Occurrence > 0 && earlier == nil {
		// The time at which a later occurrence was due is not in the logs.
		t.addTime(Unaccounted, ready, k.firstPlaced)
		return
	}
	advised := t.advisedAt[k.id.StepID]
	if advised.After(k.firstPlaced) {
		// The advice was asked for again, and the first answer is not in the logs.
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

// addTime adds the time of a phase. The clocks of hosts differ, so that a phase may seem
// to end before it begins.
func (t *jobTrack) addTime(p Phase, from, to time.Time) {
	if from.IsZero() || to.IsZero() {
		return
	}
	spent := max(0, to.Sub(from))
	if spent > 0 || recordedWhenZero[p] {
		t.Times[p] += spent
	}
}

// recordedWhenZero holds the phases that count however short they were; no job goes through
// Advice but one that had some.
var recordedWhenZero = map[Phase]bool{Acceptance: true, Advice: true, CapacityWait: true, Running: true}
