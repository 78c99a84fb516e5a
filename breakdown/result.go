package breakdown

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Result is what became of a job.
type Result string

// The results.
const (
	// Done is a job that was done in time, or whose objective is not known.
	Done Result = "Done"
	// Late is a job that was done after its objective, or, where the logs name none, that
	// took assumedAim times the median of its queue.
	Late   Result = "Late"
	Failed Result = "Failed"
	// Refused is a job of which all calls were refused; Unanswered is one of which no call
	// was accepted and one had no reply, so that its caller doesn't know of it, done or not.
	Refused    Result = "Refused"
	Unanswered Result = "Unanswered"
	// Open is a job that was accepted and had not ended at the end of the logs.
	Open Result = "Open"
	// Untraced is a job whose end may be on a line that is missing.
	Untraced Result = "Untraced"
	// Cancelled is a job that its caller gave up.
	Cancelled Result = "Cancelled"
)

// Results lists the results in their order.
var Results = []Result{Done, Late, Failed, Refused, Unanswered, Open, Untraced, Cancelled}

// Missed reports whether a job with the result brought its caller less than it was worth,
// as far as is known.
func (r Result) Missed() bool { return r != Done && r != Untraced && r != Cancelled }

// assumedObjectiveFactor is the objective of a job that its lines don't name, in medians of the time
// from the first call to the end in its queue. Operators set objectives of about twice
// the time on sound workers.
const assumedObjectiveFactor = 2

// findResult tells the result of a job, which is not late yet. missing is when the last of the
// missing lines was written, or zero.
func (t *jobTrack) findResult(missing time.Time) Result {
	if t.unanswered && !t.accepted {
		return Unanswered
	}
	switch t.state {
	case workload.Done:
		return Done
	case workload.Failed:
		return Failed
	case workload.Cancelled:
		return Cancelled
	}
	switch {
	case t.accepted && (t.submitted.IsZero() || !missing.Before(t.lastSeen)):
		return Untraced
	case t.accepted:
		return Open
	case t.refused, t.abandoned:
		return Refused
	case !missing.Before(t.lastSeen):
		return Untraced
	}
	return Open
}

// classifyMissed finds the late jobs of a queue and the phase in which each missed job was lost.
func classifyMissed(tracks []*jobTrack) {
	var whole []time.Duration
	phases := map[Phase][]time.Duration{}
	for _, t := range tracks {
		if t.Result != Done {
			continue
		}
		whole = append(whole, t.duration())
		for _, p := range Phases {
			phases[p] = append(phases[p], t.Times[p])
		}
	}
	aim := assumedObjectiveFactor * percentile(whole, 0.5)
	usual := map[Phase]time.Duration{}
	for _, p := range Phases {
		usual[p] = percentile(phases[p], 0.5)
	}
	advised := len(phases[Advice]) > 0 && usual[Advice] > 0
	for _, t := range tracks {
		if t.Result == Done && t.duration() > positiveOr(t.objective, aim) {
			t.Result = Late
		}
		t.Lost = t.lostPhase(usual, advised)
	}
}

// duration is the time from the first sign of a job to its end.
func (t *jobTrack) duration() time.Duration { return t.ended.Sub(t.firstSeen) }

func positiveOr(known, assumed time.Duration) time.Duration {
	if known > 0 {
		return known
	}
	return assumed
}

// lostPhase returns the phase in which a job was lost. A late job was lost in the phase that
// took most beyond what is usual in its queue, or, if none did, that took longest.
func (t *jobTrack) lostPhase(usual map[Phase]time.Duration, advised bool) Phase {
	switch t.Result {
	case Refused, Unanswered:
		return Acceptance
	case Failed:
		return Rerun
	case Open:
		return t.openPhase(advised)
	case Late:
		if p, beyond := t.longestPhase(usual); beyond > 0 {
			return p
		}
		p, _ := t.longestPhase(nil)
		return p
	}
	return ""
}

// longestPhase returns the phase that took longest beyond what is usual.
func (t *jobTrack) longestPhase(usual map[Phase]time.Duration) (Phase, time.Duration) {
	worst := Phases[0]
	for _, p := range Phases {
		if t.Times[p]-usual[p] > t.Times[worst]-usual[worst] {
			worst = p
		}
	}
	return worst, t.Times[worst] - usual[worst]
}

// openPhase returns the phase in which an open job was at the end of the logs. Starts have no
// lines, so that a first run can't be told from the wait for room.
func (t *jobTrack) openPhase(advised bool) Phase {
	switch {
	case advised && len(t.advisedAt) == 0 && len(t.tasks) == 0:
		return Advice
	case t.Runs["Done"] == len(t.tasks):
		return Unaccounted
	}
	return Rerun
}
