package workload

import (
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// StepID identifies one occurrence of a step.
type StepID struct {
	Job        string `cbor:"1,keyasint"`
	Occurrence int    `cbor:"2,keyasint,omitempty"`
	Step       int    `cbor:"3,keyasint,omitempty"`
}

// String returns the parts of the ID separated by dots.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task.
type TaskID struct {
	StepID
	Index int
}

// String returns the parts of the ID separated by dots.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the result of TaskID.String.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, errors.NotValidf("task name %q", text)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, errors.NotValidf("task name %q", text)
		}
		numbers[i] = n
	}
	return TaskID{StepID: StepID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1]}, Index: numbers[2]}, nil
}
