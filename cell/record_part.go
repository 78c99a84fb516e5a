package cell

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// MaxPartTasks is the number of tasks in one part of a job's progress.
	MaxPartTasks = 32
	// MaxCheckpointBytes limits a checkpoint, so that a part of the progress fits a row of
	// the store even if its tasks have two runs each, on workers with IDs of 200 bytes.
	// Checkpoints of the platform have 16 characters.
	MaxCheckpointBytes = 512
)

// IsSinglePart reports whether the progress of a job, now and later, is in part 0 only.
func (p Progress) IsSinglePart(j workload.Job) bool {
	total := 0
	for _, s := range j.Steps {
		total += s.TaskCount
	}
	for _, s := range p.Steps {
		if s.First+len(s.Tasks) > MaxPartTasks {
			return false
		}
	}
	return total*j.Occurrences() <= MaxPartTasks
}

// Parts divides the progress of a job into parts of bounded size. Each covers the same tasks
// in every record of the job, so that it changes only with these. Part 0 holds the state and the
// policy.
func (p Progress) Parts(j workload.Job) map[int]Progress {
	offsets, total := make([]int, len(j.Steps)), 0
	for i, s := range j.Steps {
		offsets[i] = total
		total += s.TaskCount
	}
	parts := map[int]Progress{0: {State: p.State, Policy: p.Policy}}
	for _, s := range p.Steps {
		position := s.Occurrence*total + s.First
		if s.Step < len(offsets) {
			position += offsets[s.Step]
		}
		for {
			number := position / MaxPartTasks
			n := min(len(s.Tasks), (number+1)*MaxPartTasks-position)
			part := parts[number]
			part.Steps = append(part.Steps, StepProgress{Occurrence: s.Occurrence, Step: s.Step, First: s.First, FailedRun: s.FailedRun, Tasks: s.Tasks[:n]})
			parts[number] = part
			position, s.First, s.Tasks = position+n, s.First+n, s.Tasks[n:]
			if len(s.Tasks) == 0 {
				break
			}
		}
	}
	return parts
}

// JoinParts returns the progress of which the given ones are parts. Part 0 may hold tasks of
// other parts as well: earlier versions did not divide the progress.
func JoinParts(parts map[int]Progress) Progress {
	type stepKey struct{ occurrence, step int }
	tasks, failedRun := map[stepKey][]TaskProgress{}, map[stepKey]int{}
	for _, number := range slices.Sorted(maps.Keys(parts)) {
		for _, s := range parts[number].Steps {
			key := stepKey{s.Occurrence, s.Step}
			if missing := s.First + len(s.Tasks) - len(tasks[key]); missing > 0 {
				tasks[key] = append(tasks[key], make([]TaskProgress, missing)...)
			}
			copy(tasks[key][s.First:], s.Tasks)
			failedRun[key] = max(failedRun[key], s.FailedRun)
		}
	}
	joined := Progress{State: parts[0].State, Policy: parts[0].Policy}
	for key, list := range tasks {
		joined.Steps = append(joined.Steps, StepProgress{Occurrence: key.occurrence, Step: key.step, FailedRun: failedRun[key], Tasks: list})
	}
	slices.SortFunc(joined.Steps, func(a, b StepProgress) int {
		return cmp.Or(cmp.Compare(a.Occurrence, b.Occurrence), cmp.Compare(a.Step, b.Step))
	})
	return joined
}
