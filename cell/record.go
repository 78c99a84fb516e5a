package cell

import "github.com/vanillaquay/vanillaquay/workload"

// Progress is the part of a job's record that changes.
type Progress struct {
	State workload.State `cbor:"1,keyasint"`
	// Steps holds the steps that have had a run.
	Steps []StepProgress `cbor:"2,keyasint,omitempty"`
	// Policy is nil while the placement is that under which the job was accepted.
	Policy *workload.Policy `cbor:"3,keyasint,omitempty"`
}

// StepProgress is the progress of one occurrence of a step.
type StepProgress struct {
	Occurrence int            `cbor:"1,keyasint,omitempty"`
	Step       int            `cbor:"2,keyasint,omitempty"`
	Tasks      []TaskProgress `cbor:"3,keyasint"`
	// First is the index of the first of Tasks; it differs from 0 only in a part of the
	// progress.
	First int `cbor:"4,keyasint,omitempty"`
	// FailedRun is the last run of a gang whose failure was counted; 0 for other steps.
	FailedRun int `cbor:"5,keyasint,omitempty"`
}

// TaskProgress is the progress of one task.
type TaskProgress struct {
	_    struct{} `cbor:",toarray"`
	Done bool
	// Run is the highest run number of the task.
	Run      int
	Failures int
	// Checkpoint is "" for a task that is done, which needs none.
	Checkpoint string
	Runs       []RunProgress
}

// RunProgress is a run that may be on a worker.
type RunProgress struct {
	_      struct{} `cbor:",toarray"`
	Run    int
	Worker string
	Life   int64
}

// Change is a job whose record is out of date.
type Change struct {
	Job workload.Job
	// New reports whether the job itself has no record yet.
	New      bool
	Progress Progress
}

// Closed reports whether a job is final and has no open runs.
func (p Progress) Closed() bool {
	if !p.State.Final() {
		return false
	}
	for _, s := range p.Steps {
		for _, t := range s.Tasks {
			if len(t.Runs) > 0 {
				return false
			}
		}
	}
	return true
}

// openRuns returns the runs of the job that have not ended.
func (j *job) openRuns() []*run {
	var runs []*run
	for _, s := range j.steps {
		for _, t := range s.tasks {
			runs = append(runs, t.runs...)
		}
	}
	return runs
}

// progress returns the current progress of a job for its record.
func (j *job) progress() Progress {
	p := Progress{State: j.state, Policy: j.recordedPolicy()}
	for _, s := range j.steps {
		if s.hadRun {
			p.Steps = append(p.Steps, s.progress())
		}
	}
	return p
}

func (s *step) progress() StepProgress {
	p := StepProgress{Occurrence: s.id.Occurrence, Step: s.id.Step, Tasks: make([]TaskProgress, len(s.tasks))}
	if s.Gang {
		p.FailedRun = s.lastFailedRun
	}
	for i, t := range s.tasks {
		p.Tasks[i] = TaskProgress{Done: t.done, Run: t.lastRun, Failures: t.failures}
		if !t.done {
			p.Tasks[i].Checkpoint = t.checkpoint
		}
		for _, r := range t.runs {
			p.Tasks[i].Runs = append(p.Tasks[i].Runs, RunProgress{Run: r.number, Worker: r.worker.ID, Life: r.worker.Life})
		}
	}
	return p
}
