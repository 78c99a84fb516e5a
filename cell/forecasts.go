package cell

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/forecast"
)

// Forecast tells operators how good the predictions for a queue are.
type Forecast struct {
	Queue string
	forecast.Calibration
	// Observations and Deviation are those of the queue's model.
	Observations, Deviation float64
}

// TakeForecasts returns the predictions since the last call, compared with the run times, for
// the queues with the most ended tasks, up to limit.
func (c *Cell) TakeForecasts(limit int) []Forecast {
	forecasts := make([]Forecast, 0, len(c.calibrations))
	for queue, k := range c.calibrations {
		m := c.durations[queue]
		forecasts = append(forecasts, Forecast{Queue: queue, Calibration: k, Observations: m.Observations(), Deviation: m.Deviation()})
	}
	clear(c.calibrations)
	slices.SortFunc(forecasts, func(a, b Forecast) int { return cmp.Or(cmp.Compare(b.Ended, a.Ended), cmp.Compare(a.Queue, b.Queue)) })
	return forecasts[:min(limit, len(forecasts))]
}
