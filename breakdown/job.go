package breakdown

import (
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Job is what the logs tell of one job.
type Job struct {
	ID, Queue string
	// Zone is the availability zone of the host that took the first call, or "".
	Zone string
	Size Size
	// Called is when the job was first heard of, since the beginning of the logs.
	Called time.Duration
	Result Result
	// Lost is the phase in which the job was lost or late, "" if it was neither.
	Lost Phase
	// Times holds the phases that the job went through.
	Times map[Phase]time.Duration
	// Runs counts the runs by how they ended.
	Runs map[string]int
	// Worth is what the job is worth, 0 if the logs don't say.
	Worth float64
}

// track follows one job through the lines, which come in any order.
type track struct {
	Job
	// first is the first sign of the job, from which it is called; seen is its last line.
	first, seen                 time.Time
	caller                      string
	submitted, recorded, over   time.Time
	called, accepted, abandoned bool
	// refused tells that all calls were refused so far, unanswered that one had no reply.
	refused, unanswered bool
	state               workload.State
	aim                 time.Duration
	work                float64
	// steps holds the first advice of each step.
	steps map[workload.StepID]time.Time
	tasks map[workload.TaskID]*taskTrack
}

// taskTrack is what the logs tell of one task. A time that is not known is zero.
type taskTrack struct {
	id workload.TaskID
	// placed is the first placement; done is the end of the run that was done, begun its
	// placement, sent how long after it the order left, and unheard how long before the
	// end was heard of it may have been.
	placed, begun, done time.Time
	sent, unheard       time.Duration
	// run is the number of the run that was first placed, 0 if its line has none.
	run int
	// restored tells that placed is when a new owner took the run over, whose age begins
	// there; lines have milliseconds.
	restored bool
}

func newTrack(id string) *track {
	return &track{
		Job:   Job{ID: id, Runs: map[string]int{}, Times: map[Phase]time.Duration{}},
		steps: map[workload.StepID]time.Time{}, tasks: map[workload.TaskID]*taskTrack{},
	}
}

// take adds a line. unheard is how long the line's worker had not been heard of; recovered
// is when the tenure of the line began, or zero.
func (t *track) take(l line, unheard time.Duration, recovered time.Time) {
	t.note(l)
	switch {
	case l.Message == "intake: call answered":
		t.takeCall(l)
	case l.Message == "cell: job submitted":
		t.Queue = l.Why
		// A job that was abandoned may be submitted again.
		t.submitted = last(t.submitted, l.Time)
		t.sign(l.Time)
	case l.Message == "cell: job abandoned":
		t.abandoned = true
	case l.Message == "cell: advice":
		t.advise(l)
	case l.Message == "cell: run ended":
		t.end(l, unheard, recovered)
	case l.Message == "cell: run lost":
		t.Runs["Lost"]++
		t.place(l, recovered)
	case l.Message == "cell: run withdrawn", strings.HasPrefix(l.Message, "cell: start "):
		t.place(l, recovered)
	case strings.HasPrefix(l.Message, "cell: job "):
		t.state, t.over = workload.State(l.Message[len("cell: job "):]), l.Time
	}
}

// note reads what any line of a job may have.
func (t *track) note(l line) {
	t.seen = last(t.seen, l.Time)
	if l.AimMS != nil {
		t.aim = milliseconds(*l.AimMS)
	}
	if l.Work != nil {
		t.work = *l.Work
	}
	if l.Worth != nil {
		t.Worth = *l.Worth
	}
}

func (t *track) sign(at time.Time) { t.first = first(t.first, at) }

func (t *track) takeCall(l line) {
	if l.Verb != "Submit" {
		return
	}
	begun := l.Time.Add(-milliseconds(l.MS))
	if !t.called || begun.Before(t.first) {
		t.caller, t.Zone = l.Host, l.Zone
	}
	t.called = true
	t.sign(begun)
	if t.Queue == "" {
		t.Queue = l.Queue
	}
	switch l.Outcome {
	case "Accepted":
		t.accepted = true
		t.recorded = first(t.recorded, l.Time)
	case "":
		t.unanswered = true
	default:
		t.refused = true
	}
}

func (t *track) advise(l line) {
	id, err := workload.ParseTaskID(l.Task + ".0")
	if err != nil {
		// A line without its step tells of the first one.
		id = workload.TaskID{}
	}
	t.steps[id.StepID] = first(t.steps[id.StepID], l.Time)
}

// task returns the task that a line tells of.
func (t *track) task(l line) *taskTrack {
	id, err := workload.ParseTaskID(l.Task)
	if err != nil {
		id = workload.TaskID{}
	}
	if t.tasks[id] == nil {
		t.tasks[id] = &taskTrack{id: id}
	}
	return t.tasks[id]
}

// place notes a placement, if the line has its age.
func (t *track) place(l line, recovered time.Time) {
	if l.AgeMS == 0 {
		return
	}
	k, at := t.task(l), l.Time.Add(-milliseconds(l.AgeMS))
	if k.placed.IsZero() || at.Before(k.placed) {
		k.run, k.placed, k.restored = l.Run, at, !at.After(recovered.Add(time.Millisecond))
	}
}

func (t *track) end(l line, unheard time.Duration, recovered time.Time) {
	t.Runs[l.Why]++
	t.place(l, recovered)
	k := t.task(l)
	if l.Why != "Done" || l.Time.Before(k.done) {
		return
	}
	age := milliseconds(l.AgeMS)
	k.begun, k.done, k.sent = l.Time.Add(-age), l.Time, 0
	if l.SentMS != nil {
		k.sent = min(age, milliseconds(*l.SentMS))
	}
	if l.UnheardMS != nil {
		unheard = milliseconds(*l.UnheardMS)
	}
	k.unheard = min(age-k.sent, unheard)
}

// workDone returns the time of the runs that were done, for want of an estimate.
func (t *track) workDone() float64 {
	sum := time.Duration(0)
	for _, k := range t.tasks {
		sum += k.done.Sub(k.begun)
	}
	return sum.Seconds()
}
