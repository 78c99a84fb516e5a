package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// neverEstimated is the version of the models of a job without estimates.
const neverEstimated = -1

// learnDuration updates the model of a queue after a run that ended as done. took is its time on
// a worker of usual speed.
func (c *Cell) learnDuration(s *step, took time.Duration) {
	if s.Daemon || s.Filler {
		return
	}
	weight := 1.0
	if !s.Gang {
		// The tasks of a step have the same estimate and deviate from it alike.
		weight /= float64(len(s.tasks))
	}
	queue := s.job.Queue
	c.calibrations[queue] = c.calibrations[queue].With(c.durations[queue], s.Estimate, took)
	c.durations[queue] = c.durations[queue].With(s.Estimate, took, weight)
	c.durationsChanged = true
}

// publishDurations makes what the models have learned since the last call take effect. The
// estimates of all waiting jobs are computed again, which is too expensive after each run.
func (c *Cell) publishDurations() {
	if c.durationsChanged {
		c.updateFleetSpeeds()
		clear(c.spreads)
		c.durationVersion++
		c.durationsChanged = false
	}
}

// updateEstimates computes the estimates of a job again if the models have changed since.
func (c *Cell) updateEstimates(j *job) {
	if j.estimatedAt == c.durationVersion {
		return
	}
	j.estimatedAt = c.durationVersion
	model := c.durations[j.Queue]
	clear(j.chainEstimates)
	j.work, j.longestChain = 0, 0
	for i := len(j.Steps) - 1; i >= 0; i-- {
		s := j.Steps[i]
		duration := model.Centre(s.Estimate)
		j.chainEstimates[i] += duration
		j.work += float64(s.TaskCount) * duration.Seconds() * float64(s.Size.Processors) / float64(task.Processor)
		for _, a := range s.After {
			j.chainEstimates[a] = max(j.chainEstimates[a], j.chainEstimates[i])
		}
		j.longestChain = max(j.longestChain, j.chainEstimates[i])
	}
}
