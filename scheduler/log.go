package scheduler

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
)

// loadLogInterval is the interval between two log lines about the load.
const loadLogInterval = 2 * time.Second

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
		"steps": l.Steps, "gangs": l.Gangs, "unadvised": l.Unadvised, "unrouted": l.Unrouted, "questions": o.dispatcher.QueueLength(), "commit_ms": o.meanCommitTime.Milliseconds(),
	}).Info("scheduler: load")
}

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
			fields["aim_ms"], fields["work_s"] = n.Objective.Milliseconds(), math.Round(100*n.Work)/100
		}
		o.log.WithFields(fields).Info("cell: " + n.Event)
	}
}
