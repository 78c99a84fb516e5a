package breakdown

import (
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Job is the history of one job according to the logs.
type Job struct {
	ID, Queue string
	// Zone is the availability zone of the host that received the first call, or "" if
	// unknown.
	Zone string
	Size Size
	// Called is the time of the first call, or of the submission if that is the first trace
	// of the job, relative to the beginning of the logs.
	Called time.Duration
	Result Result
	// Lost is the phase to which the loss of a missed job is attributed, "" for other jobs.
	Lost Phase
	// Times holds the time that the job spent in each phase.
	Times map[Phase]time.Duration
	// Runs counts the runs by how they ended.
	Runs map[string]int
	// Worth is the job's worth, 0 if the logs lack it.
	Worth float64
}

// jobTrack collects the data of one job from its lines, which may be added in any order.
type jobTrack struct {
	Job
	// firstSeen is the earliest known time of the job, from a call or its submission;
	// lastSeen is the time of its last line.
	firstSeen, lastSeen         time.Time
	callHost                    string
	submitted, recorded, ended  time.Time
	called, accepted, abandoned bool
	// refused reports whether a call was refused, unanswered whether a call got no response.
	refused, unanswered bool
	state               workload.State
	objective           time.Duration
	work                float64
	// advisedAt holds the time of the first advice for each step.
	advisedAt map[workload.StepID]time.Time
	tasks     map[workload.TaskID]*taskTrack
}

// taskTrack collects the data of one task. An unknown time is zero.
type taskTrack struct {
	id workload.TaskID
	// firstPlaced is the first placement. done is the end of the successful run, lastPlaced
	// the placement of that run, sendDelay the time from there until its order was sent, and
	// reportDelay the longest possible time from the end of the run until the owner was
	// informed.
	firstPlaced, lastPlaced, done time.Time
	sendDelay, reportDelay        time.Duration
	// firstRun is the number of the run that was placed first, 0 if its line lacks the
	// number.
	firstRun int
	// takenOver reports whether firstPlaced is the time at which a new owner took the run
	// over, from which it counts the run's age. Log times have a resolution of 1 ms.
	takenOver bool
}

func newJobTrack(id string) *jobTrack {
	return &jobTrack{
		Job:       Job{ID: id, Runs: map[string]int{}, Times: map[Phase]time.Duration{}},
		advisedAt: map[workload.StepID]time.Time{}, tasks: map[workload.TaskID]*taskTrack{},
	}
}

// addLine adds a line. silence is how long the line's worker had been silent; recovered is
// the time at which the owner of the line's tenure had recovered, or zero.
func (t *jobTrack) addLine(l line, silence time.Duration, recovered time.Time) {
	t.readFields(l)
	switch {
	case l.Message == "intake: call answered":
		t.addCall(l)
	case l.Message == "cell: job submitted":
		t.Queue = l.Why
		// An abandoned job may be submitted again.
		t.submitted = later(t.submitted, l.Time)
		t.updateFirstSeen(l.Time)
	case l.Message == "cell: job abandoned":
		t.abandoned = true
	case l.Message == "cell: advice":
		t.addAdvice(l)
	case l.Message == "cell: run ended":
		t.addRunEnd(l, silence, recovered)
	case l.Message == "cell: run lost":
		t.Runs["Lost"]++
		t.addPlacement(l, recovered)
	case l.Message == "cell: run withdrawn", strings.HasPrefix(l.Message, "cell: start "):
		t.addPlacement(l, recovered)
	case strings.HasPrefix(l.Message, "cell: job "):
		t.state, t.ended = workload.State(l.Message[len("cell: job "):]), l.Time
	}
}

// readFields reads the fields that any line of a job may have.
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
		// A line without a step concerns the first step.
		id = workload.TaskID{}
	}
	t.advisedAt[id.StepID] = earlier(t.advisedAt[id.StepID], l.Time)
}

// task returns the task that a line concerns.
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

// addPlacement records a placement if the line has the age of its run.
func (t *jobTrack) addPlacement(l line, recovered time.Time) {
	if l.AgeMS == 0 {
		return
	}
	k, at := t.task(l), l.Time.Add(-milliseconds(l.AgeMS))
	if k.firstPlaced.IsZero() || at.Before(k.firstPlaced) {
		k.firstRun, k.firstPlaced, k.takenOver = l.Run, at, !at.After(recovered.Add(time.Millisecond))
	}
}

func (t *jobTrack) addRunEnd(l line, silence time.Duration, recovered time.Time) {
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
		silence = milliseconds(*l.UnheardMS)
	}
	k.reportDelay = min(age-k.sendDelay, silence)
}

// workDone returns the total time of the successful runs in seconds, which stands in for a
// missing estimate.
func (t *jobTrack) workDone() float64 {
	sum := time.Duration(0)
	for _, k := range t.tasks {
		sum += k.done.Sub(k.lastPlaced)
	}
	return sum.Seconds()
}
