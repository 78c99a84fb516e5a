package breakdown

import (
	"cmp"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// follow fills in the times of a job: from the task that ended last back to the first
// call. The logs don't tell which steps a step comes after, so the latest end of an
// earlier step is taken, if it was before the placement.
func (t *track) follow() {
	if t.called {
		t.spend(Acceptance, t.first, t.submitted)
	}
	switch t.state {
	case workload.Done:
		t.followDone()
	case workload.Failed:
		t.followFailed()
	default:
		t.spend(Advice, t.submitted, t.firstAdvice())
	}
}

func (t *track) followDone() {
	k := t.latest(nil)
	if k == nil {
		advised := t.firstAdvice()
		t.spend(Advice, t.submitted, advised)
		t.spend(Untold, last(t.submitted, advised), t.over)
		return
	}
	// The job is over with its last task, but for a moment.
	t.spend(Running, k.done, t.over)
	for k != nil {
		t.spendRun(k)
		earlier := t.latest(k)
		t.spendWait(k, earlier)
		k = earlier
	}
}

// followFailed counts all from the first placement as runs that came to nothing.
func (t *track) followFailed() {
	var k *taskTrack
	for _, o := range t.tasks {
		if !o.placed.IsZero() && (k == nil || o.placed.Before(k.placed) || o.placed.Equal(k.placed) && k.after(o)) {
			k = o
		}
	}
	if k == nil {
		t.spend(Untold, t.submitted, t.over)
		return
	}
	t.spendWait(k, nil)
	t.spend(RunAgain, k.placed, t.over)
}

// firstAdvice returns the first advice for any step, or zero.
func (t *track) firstAdvice() time.Time {
	var at time.Time
	for _, advised := range t.steps {
		at = first(at, advised)
	}
	return at
}

// latest returns the task that was done last of all, or of the earlier steps in the
// occurrence of a task and before its placement.
func (t *track) latest(before *taskTrack) *taskTrack {
	var found *taskTrack
	for _, k := range t.tasks {
		if k.done.IsZero() || found != nil && !k.after(found) {
			continue
		}
		if before != nil && (k.id.Step >= before.id.Step || k.id.Occurrence != before.id.Occurrence || k.done.After(before.placed)) {
			continue
		}
		found = k
	}
	return found
}

// after orders tasks by their ends, and those that end at once by their names.
func (k *taskTrack) after(o *taskTrack) bool {
	if !k.done.Equal(o.done) {
		return k.done.After(o.done)
	}
	return cmp.Or(cmp.Compare(k.id.Step, o.id.Step), cmp.Compare(k.id.Index, o.id.Index)) > 0
}

// spendRun adds the time of a task from its first placement to its end.
func (t *track) spendRun(k *taskTrack) {
	t.spend(RunAgain, k.placed, k.begun)
	left := k.begun.Add(k.sent)
	if k.placed.Equal(k.begun) {
		// No order leaves before the job's own record, which the answer to the call tells.
		left = last(left, t.recorded)
	}
	if left.After(k.done) {
		left = k.done
	}
	t.spend(Record, k.begun, left)
	heard := last(left, k.done.Add(-k.unheard))
	t.spend(Running, left, heard)
	t.spend(Unheard, heard, k.done)
}

// spendWait adds the time that a task waited for its first placement.
func (t *track) spendWait(k, earlier *taskTrack) {
	ready := t.submitted
	if earlier != nil {
		ready = earlier.done
	}
	if ready.IsZero() {
		t.spend(Untold, t.first, k.placed)
		return
	}
	if k.id.Occurrence > 0 && earlier == nil {
		// The time at which a later occurrence was due is not in the logs.
		t.spend(Untold, ready, k.placed)
		return
	}
	advised := t.steps[k.id.StepID]
	if advised.After(k.placed) {
		// The advice was asked for again, and the first answer is not in the logs.
		advised = k.placed
	}
	t.spend(Advice, ready, advised)
	wait := Room
	switch {
	case k.restored:
		wait = Takeover
	case k.run > 1:
		// The lines of the earlier runs are missing.
		wait = Untold
	}
	t.spend(wait, last(ready, advised), k.placed)
}

// spend adds the time of a phase. The clocks of hosts differ, so that a phase may seem
// to end before it begins.
func (t *track) spend(p Phase, from, to time.Time) {
	if from.IsZero() || to.IsZero() {
		return
	}
	spent := max(0, to.Sub(from))
	if spent > 0 || always[p] {
		t.Times[p] += spent
	}
}

// always holds the phases that count however short they were; no job goes through
// Advice but one that had some.
var always = map[Phase]bool{Acceptance: true, Advice: true, Room: true, Running: true}
