package forecast

import "time"

const (
	medianProbability = 0.5
	highProbability   = 0.9
)

// Calibration compares the predictions for a queue with the run times. The zero value has
// compared none.
type Calibration struct {
	// Ended counts the tasks, WithinMedian and WithinHigh those of them that took no longer than
	// the predicted median and 90th percentile.
	Ended, WithinMedian, WithinHigh int
	// PredictedSeconds and ActualSeconds are the sums of the predicted means and of the run times,
	// on a worker of usual speed.
	PredictedSeconds, ActualSeconds float64
}

// With returns the calibration after a task that took the given time. m is the model before.
func (c Calibration) With(m Model, estimate, took time.Duration) Calibration {
	if estimate <= 0 || took <= 0 {
		return c
	}
	c.Ended++
	if took <= m.Quantile(estimate, medianProbability) {
		c.WithinMedian++
	}
	if took <= m.Quantile(estimate, highProbability) {
		c.WithinHigh++
	}
	c.PredictedSeconds += m.Mean(estimate).Seconds()
	c.ActualSeconds += took.Seconds()
	return c
}
