package workload

import (
	"time"
	"unsafe"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/task"
)

// Limits of a job.
const (
	// MaxSpecBytes limits the specification of a job.
	MaxSpecBytes = 4000
	// MaxTasks limits the tasks of a job so that its progress, some 40 bytes for each task,
	// fits a row of 64 KiB.
	MaxTasks = 1000
	// MaxSteps limits the steps of a job.
	MaxSteps = 200
)

// Job is a job as submitted by a caller. Its steps must not be modified.
type Job struct {
	// ID is chosen by the caller and identifies the job permanently.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Spec is passed unchanged to each task.
	Spec string `cbor:"3,keyasint"`
	// Steps refer to one another by their index.
	Steps []Step `cbor:"4,keyasint"`
	// Schedule is zero for a job that runs once, immediately.
	Schedule Schedule `cbor:"5,keyasint,omitempty"`
	// Accepted is when the job was accepted, in milliseconds since 1970.
	Accepted int64 `cbor:"6,keyasint"`
	// Organisation is the name of the organisation whose key submitted the job; "" is none.
	Organisation string `cbor:"7,keyasint,omitempty"`
	// BeyondShare reports whether the job exceeded the share of its organisation when it was
	// accepted. It then comes after all jobs that are within.
	BeyondShare bool `cbor:"8,keyasint,omitempty"`
	// Policy is that of the queue when it accepted the job. It is zero in records and calls of
	// earlier versions of this program.
	Policy Policy `cbor:"9,keyasint,omitempty"`
}

// Schedule repeats the steps of a job at given times.
type Schedule struct {
	// Count is the number of occurrences; 0 is no schedule.
	Count int `cbor:"1,keyasint,omitempty"`
	// First is when the first occurrence is due, in milliseconds since 1970.
	First int64 `cbor:"2,keyasint,omitempty"`
	// Interval is the time between two occurrences, in milliseconds.
	Interval int64 `cbor:"3,keyasint,omitempty"`
}

// Due returns when occurrence k is due, in milliseconds since 1970.
func (s Schedule) Due(k int) int64 { return s.First + int64(k)*s.Interval }

// Occurrences returns how many times the steps of a job run.
func (j Job) Occurrences() int { return max(1, j.Schedule.Count) }

// Step is a group of identical tasks.
type Step struct {
	// TaskCount is at least 1.
	TaskCount int `cbor:"1,keyasint"`
	// Size is the resource demand of each task.
	Size task.Size `cbor:"2,keyasint"`
	// Estimate is the approximate duration of a task.
	Estimate time.Duration `cbor:"3,keyasint,omitempty"`
	// After lists the indexes of earlier steps whose tasks must all be done first.
	After []int `cbor:"4,keyasint,omitempty"`
	// Checkpoints reports whether tasks save their progress.
	Checkpoints bool `cbor:"5,keyasint,omitempty"`
	// Gang reports whether the tasks make progress only while all of them run.
	Gang bool `cbor:"6,keyasint,omitempty"`
	// SameRack reports whether the tasks are slow unless they share a rack.
	SameRack bool `cbor:"7,keyasint,omitempty"`
	// Requires is a label that a worker must have; "" is none.
	Requires string `cbor:"8,keyasint,omitempty"`
	// Affinity is the rack that holds the data; "" is none.
	Affinity string `cbor:"9,keyasint,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 is no limit.
	MaxPerWorker int `cbor:"10,keyasint,omitempty"`
	// Speculative reports whether copies of a task may run at the same time.
	Speculative bool `cbor:"11,keyasint,omitempty"`
	// Daemon reports whether the tasks run until the job is cancelled.
	Daemon bool `cbor:"12,keyasint,omitempty"`
	// Image is what the tasks run; tasks with the same image behave alike.
	Image string `cbor:"13,keyasint,omitempty"`
	// LatencyTarget limits the tail latency of a daemon; 0 is no limit.
	LatencyTarget time.Duration `cbor:"14,keyasint,omitempty"`
	// Filler reports whether the tasks use only processors that others leave idle.
	Filler bool `cbor:"15,keyasint,omitempty"`
	// DisruptionBudget is how many tasks of a daemon the scheduler may make unavailable at
	// once.
	DisruptionBudget int `cbor:"16,keyasint,omitempty"`
}

// Demand returns the part of a worker's capacity that a task needs. A filler needs no
// processors.
func (s Step) Demand() task.Size {
	size := s.Size
	if s.Filler {
		size.Processors = 0
	}
	return size
}

// Bytes returns roughly how much memory a job takes.
func (j Job) Bytes() int64 {
	size := int(unsafe.Sizeof(j)) + len(j.ID) + len(j.Queue) + len(j.Spec) + j.Policy.Bytes()
	for _, s := range j.Steps {
		size += int(unsafe.Sizeof(s)) + len(s.After)*int(unsafe.Sizeof(0)) + len(s.Requires) + len(s.Affinity) + len(s.Image)
	}
	return int64(size)
}

// Validate returns the first fault of a job as an error.
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
	if err := j.Policy.validate(); err != nil {
		return err
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
