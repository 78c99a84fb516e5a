package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/pace"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Pace is an order to let a run work at a share.
type Pace struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
	// Percent is the share.
	Percent int
}

// adjustPace keeps the services of a worker within their latency targets by the share of
// what fills beside them.
func (c *Cell) adjustPace(now time.Duration, w *worker, report Report) {
	var services []pace.Service
	var fills []*run
	for _, l := range report.Running {
		r := w.runs[runKey{l.Task, l.Run}]
		s, _ := c.findTask(l.Task)
		if r == nil || s == nil || r.state != running {
			continue
		}
		if s.Filler {
			fills = append(fills, r)
		} else if s.Daemon && s.LatencyTarget > 0 {
			services = append(services, pace.Service{TailLatency: time.Duration(l.Measure) * time.Millisecond, TargetLatency: s.LatencyTarget})
		}
	}
	w.needsPacing = len(services) > 0 && len(fills) > 0
	earlier := w.pace.Share()
	w.pace = w.pace.WithReport(now, services)
	if w.pace.Share() != earlier {
		c.log(LogEntry{Event: "share changed", Worker: w.ID, Reason: formatCount(w.pace.Share(), pace.FullShare)})
	}
	for _, r := range fills {
		if r.orderedShare != w.pace.Share() {
			r.orderedShare = w.pace.Share()
			c.actions.Paces = append(c.actions.Paces, Pace{Worker: w.Worker, Task: r.id, Run: r.number, Percent: r.orderedShare})
		}
	}
}

// NeedsPacing reports whether a worker has services beside tasks that fill, so that it
// must be looked at more often.
func (c *Cell) NeedsPacing(id string) bool { return c.workers[id] != nil && c.workers[id].needsPacing }

// HandlePaceAnswer tells what became of an order; one without effect is given again.
func (c *Cell) HandlePaceAnswer(p Pace, answer Answer) {
	w := c.workers[p.Worker.ID]
	if w == nil || answer == Accepted {
		return
	}
	if r := w.runs[runKey{p.Task, p.Run}]; r != nil {
		r.orderedShare = unknownShare
	}
}

// unknownShare is the share of a run whose worker may have another one than was
// ordered.
const unknownShare = -1
