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

// stepTask moves the task of an attempt along the chart Task. An event that the
// state does not take changes nothing.
func (a *attempt) stepTask(e chart.Event) {
	if taskChart.Takes(a.taskState, e) {
		a.taskState, _ = taskChart.Next(a.taskState, e)
	}
}

// stepEnded notes that the attempt has ended, and whether another one follows.
func (a *attempt) stepEnded(again bool) {
	if again {
		a.stepTask(repeatEvent)
		return
	}
	a.stepTask(endEvent)
}

// retries reports whether another attempt follows on the one that has ended.
func (a *attempt) retries() bool { return a.taskState == "Repeating" || a.taskState == "Pausing" }

// endDurable reports whether the end of the attempt is durable.
func (a *attempt) endDurable() bool { return a.taskState == "Pausing" || a.taskState == "Settled" }
