package decision

import "github.com/vanillaquay/vanillaquay/chart"

// Events of the chart Task.
const (
	repeatEvent = chart.Event("Repeat")
	endEvent    = chart.Event("End")
	keptEvent   = chart.Event("Kept")
	stopEvent   = chart.Event("Stop")
	retryEvent  = chart.Event("Retry")
)

// stepTask applies an event of the chart Task. An event that the current state
// does not accept changes nothing.
func (a *attempt) stepTask(e chart.Event) {
	if taskChart.Accepts(a.taskState, e) {
		a.taskState, _ = taskChart.Next(a.taskState, e)
	}
}

// stepEnded records that the attempt has ended, and whether another one
// follows.
func (a *attempt) stepEnded(retry bool) {
	if retry {
		a.stepTask(repeatEvent)
		return
	}
	a.stepTask(endEvent)
}

// willRetry reports whether another attempt follows the one that has ended.
func (a *attempt) willRetry() bool { return a.taskState == "Repeating" || a.taskState == "Pausing" }

// endDurable reports whether the end of the attempt is durable.
func (a *attempt) endDurable() bool { return a.taskState == "Pausing" || a.taskState == "Settled" }
