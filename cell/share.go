package cell

import (
	"time"

	"github.com/vanillaquay/vanillaquay/pace"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Pace is an order that sets the processor share of a run.
type Pace struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
	// Percent is the processor share.
	Percent int
}

// adjustPace adjusts the processor share of the fillers on a worker so that the services
// beside them meet their latency targets.
func (c *Cell) adjustPace(now time.Duration, w *worker, report Report) {
	var services []pace.Service
	var fillers []*run
	for _, l := range report.Running {
		r := w.runs[runKey{l.Task, l.Run}]
		s, _ := c.findTask(l.Task)
		if r == nil || s == nil || r.state != running {
			continue
		}
		if s.Filler {
			fillers = append(fillers, r)
		} else if s.Daemon && s.LatencyTarget > 0 {
			services = append(services, pace.Service{TailLatency: time.Duration(l.Measure) * time.Millisecond, TargetLatency: s.LatencyTarget})
		}
	}
	w.needsPacing = len(services) > 0 && len(fillers) > 0
	previous := w.pace.Share()
	w.pace = w.pace.WithReport(now, services)
	if w.pace.Share() != previous {
		c.log(LogEntry{Event: "share changed", Worker: w.ID, Reason: formatCount(w.pace.Share(), pace.FullShare)})
	}
	for _, r := range fillers {
		if r.orderedShare != w.pace.Share() {
			// Progress is expected at the new rate from now on.
			r.orderedShare, r.progressedAt = w.pace.Share(), now
			c.actions.Paces = append(c.actions.Paces, Pace{Worker: w.Worker, Task: r.id, Run: r.number, Percent: r.orderedShare})
		}
	}
}

// NeedsPacing reports whether a worker runs services with a latency target beside fillers, so
// that it must be polled more often.
func (c *Cell) NeedsPacing(id string) bool { return c.workers[id] != nil && c.workers[id].needsPacing }

// HandlePaceAnswer processes the answer to an order. An order that was not accepted is sent
// again.
func (c *Cell) HandlePaceAnswer(p Pace, answer Answer) {
	w := c.workers[p.Worker.ID]
	if w == nil || answer == Accepted {
		return
	}
	if r := w.runs[runKey{p.Task, p.Run}]; r != nil {
		r.orderedShare = unknownShare
	}
}

// unknownShare is the share of a run whose worker may use another share than was ordered.
const unknownShare = -1
