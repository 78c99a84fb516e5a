package scheduler

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// loadLogInterval is the interval between two log lines about the load, and
	// forecastLogInterval that between those about predicted run times.
	loadLogInterval     = 2 * time.Second
	forecastLogInterval = 10 * time.Second
	// maxForecasts is the number of queues in the dump with the quality of their predictions, and
	// maxLoggedForecasts that of those in the log: a cell may have thousands.
	maxForecasts       = 100
	maxLoggedForecasts = 10
)

// logLoad logs the load every loadLogInterval.
func (o *Owner) logLoad(now time.Duration) {
	if now-o.lastLoadLog < loadLogInterval {
		return
	}
	o.lastLoadLog = now
	l := o.cell.Load(now)
	o.log.WithFields(logrus.Fields{
		"jobs": l.Jobs, "workers": l.Usable, "paused": l.Paused, "silent": l.Silent,
		"processors": l.Capacity / 1000, "used": l.Used / 1000, "held": l.Held / 1000, "wanted": l.Wanted / 1000,
		"steps": l.Steps, "gangs": l.Gangs, "unadvised": l.Unadvised, "unrouted": l.Unrouted, "orphaned": l.Orphaned, "questions": o.dispatcher.QueueLength(), "commit_ms": o.meanCommitTime.Milliseconds(),
	}).Info("scheduler: load")
}

// logForecasts logs every forecastLogInterval how the run times since then compare with the
// predictions, for the queues with the most ended tasks.
func (o *Owner) logForecasts(now time.Duration) {
	if now-o.lastForecastLog < forecastLogInterval {
		return
	}
	o.lastForecastLog = now
	forecasts := o.cell.TakeForecasts(maxForecasts)
	o.forecasts.Store(&forecasts)
	for _, f := range forecasts[:min(len(forecasts), maxLoggedForecasts)] {
		ended := float64(max(1, f.Ended))
		o.log.WithFields(logrus.Fields{
			"queue": f.Queue, "ended": f.Ended, "within_median": round(float64(f.WithinMedian) / ended), "within_p90": round(float64(f.WithinHigh) / ended),
			"predicted_s": round(f.PredictedSeconds / ended), "actual_s": round(f.ActualSeconds / ended), "deviation": round(f.Deviation), "observations": round(f.Observations),
		}).Info("scheduler: forecast")
	}
}

// Forecasts returns how the predictions compare with the run times, as logged last. It may be
// called by other goroutines than the event loop.
func (o *Owner) Forecasts() []cell.Forecast {
	if forecasts := o.forecasts.Load(); forecasts != nil {
		return *forecasts
	}
	return nil
}

// round returns a number with two decimals, for the log.
func round(x float64) float64 { return math.Round(100*x) / 100 }

// logEntries logs the decisions of the cell.
func (o *Owner) logEntries(entries []cell.LogEntry) {
	for _, n := range entries {
		fields := logrus.Fields{"fence": o.Fence()}
		for name, value := range map[string]string{"job": n.Job, "task": n.Task, "worker": n.Worker, "why": n.Reason} {
			if value != "" {
				fields[name] = value
			}
		}
		if n.Run != 0 {
			fields["run"] = n.Run
		}
		if n.Age != 0 {
			fields["age_ms"] = n.Age.Milliseconds()
		}
		if n.Work != 0 {
			fields["aim_ms"], fields["work_s"] = n.Objective.Milliseconds(), round(n.Work)
		}
		o.log.WithFields(fields).Info("cell: " + n.Event)
	}
}
