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

// jobTrack follows one job through the lines, which come in any order.
type jobTrack struct {
	Job
	// firstSeen is the first sign of the job, from which it is called; seen is its last line.
	firstSeen, lastSeen         time.Time
	callHost                    string
	submitted, recorded, ended  time.Time
	called, accepted, abandoned bool
	// refused tells that all calls were refused so far, unanswered that one had no reply.
	refused, unanswered bool
	state               workload.State
	objective           time.Duration
	work                float64
	// advisedAt holds the first advice of each step.
	advisedAt map[workload.StepID]time.Time
	tasks     map[workload.TaskID]*taskTrack
}

// taskTrack is what the logs tell of one task. A time that is not known is zero.
type taskTrack struct {
	id workload.TaskID
	// firstPlaced is the first placement; done is the end of the run that was done, begun its
	// placement, sent how long after it the order left, and unheard how long before the
	// end was heard of it may have been.
	firstPlaced, lastPlaced, done time.Time
	sendDelay, reportDelay        time.Duration
	// firstRun is the number of the run that was first placed, 0 if its line has none.
	firstRun int
	// takenOver tells that placed is when a new owner took the run over, whose age begins
	// there; lines have milliseconds.
	takenOver bool
}

func newJobTrack(id string) *jobTrack {
	return &jobTrack{
		Job:       Job{ID: id, Runs: map[string]int{}, Times: map[Phase]time.Duration{}},
		advisedAt: map[workload.StepID]time.Time{}, tasks: map[workload.TaskID]*taskTrack{},
	}
}

// addLine adds a line. unheard is how long the line's worker had not been heard of; recovered
// is when the tenure of the line began, or zero.
func (t *jobTrack) addLine(l line, unheard time.Duration, recovered time.Time) {
	t.readFields(l)
	switch {
	case l.Message == "intake: call answered":
		t.addCall(l)
	case l.Message == "cell: job submitted":
		t.Queue = l.Why
		// A job that was abandoned may be submitted again.
		t.submitted = later(t.submitted, l.Time)
		t.updateFirstSeen(l.Time)
	case l.Message == "cell: job abandoned":
		t.abandoned = true
	case l.Message == "cell: advice":
		t.addAdvice(l)
	case l.Message == "cell: run ended":
		t.addRunEnd(l, unheard, recovered)
	case l.Message == "cell: run lost":
		t.Runs["Lost"]++
		t.addPlacement(l, recovered)
	case l.Message == "cell: run withdrawn", strings.HasPrefix(l.Message, "cell: start "):
		t.addPlacement(l, recovered)
	case strings.HasPrefix(l.Message, "cell: job "):
		t.state, t.ended = workload.State(l.Message[len("cell: job "):]), l.Time
	}
}

// readFields reads what any line of a job may have.
func (t *jobTrack) readFields(l line) {
	t.lastSeen = later(t.lastSeen, l.Time)
	if l.AimMS != nil {
		t.objective = milliseconds(*l.AimMS)
	}
	if l.Work != nil {
		t.work = *l.Work
	}
	if l.Worth != nil {
		t.Worth = *l.Worth
	}
}

func (t *jobTrack) updateFirstSeen(at time.Time) { t.firstSeen = earlier(t.firstSeen, at) }

func (t *jobTrack) addCall(l line) {
	if l.Verb != "Submit" {
		return
	}
	begun := l.Time.Add(-milliseconds(l.MS))
	if !t.called || begun.Before(t.firstSeen) {
		t.callHost, t.Zone = l.Host, l.Zone
	}
	t.called = true
	t.updateFirstSeen(begun)
	if t.Queue == "" {
		t.Queue = l.Queue
	}
	switch l.Outcome {
	case "Accepted":
		t.accepted = true
		t.recorded = earlier(t.recorded, l.Time)
	case "":
		t.unanswered = true
	default:
		t.refused = true
	}
}

func (t *jobTrack) addAdvice(l line) {
	id, err := workload.ParseTaskID(l.Task + ".0")
	if err != nil {
		// A line without its step tells of the first one.
		id = workload.TaskID{}
	}
	t.advisedAt[id.StepID] = earlier(t.advisedAt[id.StepID], l.Time)
}

// task returns the task that a line tells of.
func (t *jobTrack) task(l line) *taskTrack {
	id, err := workload.ParseTaskID(l.Task)
	if err != nil {
		id = workload.TaskID{}
	}
	if t.tasks[id] == nil {
		t.tasks[id] = &taskTrack{id: id}
	}
	return t.tasks[id]
}

// addPlacement notes a placement, if the line has its age.
func (t *jobTrack) addPlacement(l line, recovered time.Time) {
	if l.AgeMS == 0 {
		return
	}
	k, at := t.task(l), l.Time.Add(-milliseconds(l.AgeMS))
	if k.firstPlaced.IsZero() || at.Before(k.firstPlaced) {
		k.firstRun, k.firstPlaced, k.takenOver = l.Run, at, !at.After(recovered.Add(time.Millisecond))
	}
}

func (t *jobTrack) addRunEnd(l line, unheard time.Duration, recovered time.Time) {
	t.Runs[l.Why]++
	t.addPlacement(l, recovered)
	k := t.task(l)
	if l.Why != "Done" || l.Time.Before(k.done) {
		return
	}
	age := milliseconds(l.AgeMS)
	k.lastPlaced, k.done, k.sendDelay = l.Time.Add(-age), l.Time, 0
	if l.SentMS != nil {
		k.sendDelay = min(age, milliseconds(*l.SentMS))
	}
	if l.UnheardMS != nil {
		unheard = milliseconds(*l.UnheardMS)
	}
	k.reportDelay = min(age-k.sendDelay, unheard)
}

// workDone returns the time of the runs that were done, for want of an estimate.
func (t *jobTrack) workDone() float64 {
	sum := time.Duration(0)
	for _, k := range t.tasks {
		sum += k.done.Sub(k.lastPlaced)
	}
	return sum.Seconds()
}
