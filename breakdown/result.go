package breakdown

import (
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Result is the outcome of a job.
type Result string

const (
	// Done is a job that was done by its objective, or whose objective is not known.
	Done Result = "Done"
	// Late is a job that was done after its objective or, if the logs have none, took more
	// than assumedObjectiveFactor times the median of its queue.
	Late   Result = "Late"
	Failed Result = "Failed"
	// Refused is a job whose calls were all refused. Unanswered is a job of which no call
	// was accepted and one got no response, so that its caller does not know of it, even if
	// it ran.
	Refused    Result = "Refused"
	Unanswered Result = "Unanswered"
	// Open is a job that was accepted and had not ended by the end of the logs.
	Open Result = "Open"
	// Untraced is a job whose end may be on a missing line.
	Untraced Result = "Untraced"
	// Cancelled is a job that was cancelled.
	Cancelled Result = "Cancelled"
)

// Results lists the results in order.
var Results = []Result{Done, Late, Failed, Refused, Unanswered, Open, Untraced, Cancelled}

// Missed reports whether the caller got less than the worth of a job with this result, as
// far as is known.
func (r Result) Missed() bool { return r != Done && r != Untraced && r != Cancelled }

// assumedObjectiveFactor is the objective of a job whose lines lack it, as a multiple of
// the median time from the first call to the end in its queue. Operators set objectives of
// about twice the time on healthy workers.
const assumedObjectiveFactor = 2

// findResult returns the result of a job, without regard to its objective. missing is the
// time of the last missing line, or zero.
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

// classifyMissed finds the late jobs of a queue and the phase to which the loss of each
// missed job is attributed.
func classifyMissed(tracks []*jobTrack) {
	var durations []time.Duration
	phases := map[Phase][]time.Duration{}
	for _, t := range tracks {
		if t.Result != Done {
			continue
		}
		durations = append(durations, t.duration())
		for _, p := range Phases {
			phases[p] = append(phases[p], t.Times[p])
		}
	}
	assumedObjective := assumedObjectiveFactor * percentile(durations, 0.5)
	usual := map[Phase]time.Duration{}
	for _, p := range Phases {
		usual[p] = percentile(phases[p], 0.5)
	}
	advised := len(phases[Advice]) > 0 && usual[Advice] > 0
	for _, t := range tracks {
		if t.Result == Done && t.duration() > positiveOr(t.objective, assumedObjective) {
			t.Result = Late
		}
		t.Lost = t.lostPhase(usual, advised)
	}
}

// duration returns the time from the first trace of a job to its end.
func (t *jobTrack) duration() time.Duration { return t.ended.Sub(t.firstSeen) }

func positiveOr(known, assumed time.Duration) time.Duration {
	if known > 0 {
		return known
	}
	return assumed
}

// lostPhase returns the phase to which the loss of a job is attributed. For a late job that
// is the phase with the largest excess over the median of its queue or, if there is no
// excess, the longest phase.
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

// longestPhase returns the phase with the largest excess over the usual time, and the
// excess.
func (t *jobTrack) longestPhase(usual map[Phase]time.Duration) (Phase, time.Duration) {
	worst := Phases[0]
	for _, p := range Phases {
		if t.Times[p]-usual[p] > t.Times[worst]-usual[worst] {
			worst = p
		}
	}
	return worst, t.Times[worst] - usual[worst]
}

// openPhase returns the phase of an open job at the end of the logs. Starts of runs are not
// logged, so a first run cannot be distinguished from the wait for capacity.
func (t *jobTrack) openPhase(advised bool) Phase {
	switch {
	case advised && len(t.advisedAt) == 0 && len(t.tasks) == 0:
		return Advice
	case t.Runs["Done"] == len(t.tasks):
		return Unaccounted
	}
	return Rerun
}
