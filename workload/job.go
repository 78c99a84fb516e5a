package workload

import (
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of a job.
const (
	// MaxSpecBytes is the longest specification of a job, in bytes.
	MaxSpecBytes = 4000
	// MaxTasks bounds the tasks of a job, so that its progress, some 40 bytes a
	// task, fits a row of 64 KiB.
	MaxTasks = 1000
	// MaxSteps bounds the steps of one job.
	MaxSteps = 200
)

// Job is what a caller hands in. Its steps must not change.
type Job struct {
	// ID is chosen by the caller and identifies the job for good.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that took the job.
	Queue string `cbor:"2,keyasint"`
	// Spec is passed to each task as it is.
	Spec string `cbor:"3,keyasint"`
	// Steps are in the order in which others refer to them.
	Steps []Step `cbor:"4,keyasint"`
	// Schedule is zero for a job that runs once, at once.
	Schedule Schedule `cbor:"5,keyasint,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since 1970.
	Accepted int64 `cbor:"6,keyasint"`
}

// Schedule makes the steps of a job run at given times.
type Schedule struct {
	// Count is how many occurrences there are; 0 is no schedule.
	Count int `cbor:"1,keyasint,omitempty"`
	// First is when the first is due, in milliseconds since 1970.
	First int64 `cbor:"2,keyasint,omitempty"`
	// Interval is the time between two, in milliseconds.
	Interval int64 `cbor:"3,keyasint,omitempty"`
}

// Due returns when occurrence k is due, in milliseconds since 1970.
func (s Schedule) Due(k int) int64 { return s.First + int64(k)*s.Interval }

// Occurrences returns how many times the steps of a job run.
func (j Job) Occurrences() int { return max(1, j.Schedule.Count) }

// Step is a number of like tasks.
type Step struct {
	// TaskCount is at least 1.
	TaskCount int `cbor:"1,keyasint"`
	// Size is what each task takes.
	Size task.Size `cbor:"2,keyasint"`
	// Estimate is a rough duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints tells that tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang tells that the tasks work only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack tells that the tasks are slow unless they share a rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that a worker must have; "" is none.
	Requires string `cbor:"8,keyasint,omitempty"`
	// Affinity is the rack with the data; "" is none.
	Affinity string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is no bound.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative allows copies of a task to run at once.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Daemon tells that the tasks run until the job is cancelled.
	Daemon bool `cbor:"12,keyasint,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget bounds the tail latency of a daemon; 0 is no bound.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Filler tells that the tasks use processors that others leave idle.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many tasks of a daemon may be away at once by
	// orders of the scheduler.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// Demand returns what a task takes from a worker's capacity.
func (s Step) Demand() task.Size {
	size := s.Size
	if s.Filler {
		size.Processors = 0
	}
	return size
}

// Validate reports the first fault of a job.
func (j Job) Validate() error {
	if len(j.ID) != 16 {
		return errors.NotValidf("ID of %d characters", len(j.ID))
	}
	if len(j.Spec) > MaxSpecBytes {
		return errors.NotValidf("specification of %d bytes", len(j.Spec))
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return errors.NotValidf("job of %d steps", len(j.Steps))
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.validate(i); err != nil {
			return errors.Annotatef(err, "step %d", i)
		}
		tasks += s.TaskCount
	}
	if tasks > MaxTasks {
		return errors.NotValidf("job of %d tasks", tasks)
	}
	if s := j.Schedule; s.Count < 0 || s.Count > 1 && s.Interval <= 0 {
		return errors.NotValidf("schedule of %d times every %d ms", s.Count, s.Interval)
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.TaskCount < 1 || s.TaskCount > MaxTasks {
		return errors.NotValidf("number of tasks %d", s.TaskCount)
	}
	if s.Size.Processors < 0 || s.Size.Memory < 0 || s.Size.Accelerators < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 {
		return errors.NotValidf("negative size")
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.NotValidf("dependency on step %d", a)
		}
	}
	return nil
}
