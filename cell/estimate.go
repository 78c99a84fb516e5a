package cell

import (
	"math"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// priorWeight is the weight, in steps, of the assumption that declared estimates are
	// right. It decides for a queue of which few steps have ended.
	priorWeight = 4
	// priorVariance is the variance of the logarithm of the estimates under that assumption.
	priorVariance = 0.25
	// durationMemory is the number of recent steps of a queue that its model mostly reflects.
	durationMemory = 200
	// minModelDuration bounds the durations that a model uses, whose logarithms are taken.
	minModelDuration = time.Millisecond
	// neverEstimated is the version of the models of a job without estimates.
	neverEstimated = -1
)

// DurationModel predicts how long the tasks of a queue take from their declared estimates, by
// a linear regression of the logarithms: estimates may be wrong by a factor, and where they
// are, the mean of the queue tells more. The zero value trusts the estimates.
type DurationModel struct {
	// Weight is the sum of the weights of the observations.
	Weight float64 `cbor:"1,keyasint"`
	// X and Y are the weighted sums of the logarithms of estimates and durations.
	X float64 `cbor:"2,keyasint"`
	Y float64 `cbor:"3,keyasint"`
	// XX and XY are the weighted sums of the products of these logarithms.
	XX float64 `cbor:"4,keyasint"`
	XY float64 `cbor:"5,keyasint"`
}

// With returns the model after an observation with a weight of at most 1.
func (m DurationModel) With(estimate, took time.Duration, weight float64) DurationModel {
	if estimate <= 0 || took <= 0 {
		return m
	}
	keep := 1 - weight/durationMemory
	x, y := logSeconds(estimate), logSeconds(took)
	return DurationModel{
		Weight: keep*m.Weight + weight,
		X:      keep*m.X + weight*x,
		Y:      keep*m.Y + weight*y,
		XX:     keep*m.XX + weight*x*x,
		XY:     keep*m.XY + weight*x*y,
	}
}

// Predict returns the expected duration of a task with a declared estimate.
func (m DurationModel) Predict(estimate time.Duration) time.Duration {
	if estimate <= 0 || m.Weight == 0 {
		return estimate
	}
	x, y := m.X/m.Weight, m.Y/m.Weight
	prior := priorWeight * priorVariance
	slope := max(0, (m.XY-m.Weight*x*y+prior)/(m.XX-m.Weight*x*x+prior))
	// Without observations the line passes through equal logarithms.
	offset := m.Weight / (m.Weight + priorWeight) * (y - x)
	predicted := x + offset + slope*(logSeconds(estimate)-x)
	return time.Duration(math.Exp(predicted) * float64(time.Second))
}

// isValid reports whether observations can have led to the model.
func (m DurationModel) isValid() bool {
	for _, sum := range []float64{m.X, m.Y, m.XX, m.XY} {
		if math.IsNaN(sum) || math.IsInf(sum, 0) {
			return false
		}
	}
	return isPositive(m.Weight)
}

func logSeconds(d time.Duration) float64 { return math.Log(max(d, minModelDuration).Seconds()) }

// learnDuration updates the model of a queue after a run that ended as done.
func (c *Cell) learnDuration(s *step, took time.Duration) {
	if s.Daemon || s.Filler {
		return
	}
	weight := 1.0
	if !s.Gang {
		// The tasks of a step have the same estimate and deviate from it alike.
		weight /= float64(len(s.tasks))
	}
	c.durations[s.job.Queue] = c.durations[s.job.Queue].With(s.Estimate, took, weight)
	c.durationsChanged = true
}

// publishDurations makes what the models have learned since the last call take effect. The
// estimates of all waiting jobs are computed again, which is too expensive after each run.
func (c *Cell) publishDurations() {
	if c.durationsChanged {
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
		duration := model.Predict(s.Estimate)
		j.chainEstimates[i] += duration
		j.work += float64(s.TaskCount) * duration.Seconds() * float64(s.Size.Processors) / float64(task.Processor)
		for _, a := range s.After {
			j.chainEstimates[a] = max(j.chainEstimates[a], j.chainEstimates[i])
		}
		j.longestChain = max(j.longestChain, j.chainEstimates[i])
	}
}
