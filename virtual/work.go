package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/load"
)

// work is an item of the load and its progress.
type work struct {
	item  *load.Item
	class load.Class
	tasks []taskState
	// waiting is the number of tasks that have never started.
	waiting int
	// startedAt is when the last task started for the first time; 0 before.
	startedAt time.Duration
	// undispatched is the number of tasks that were never sent to a rack.
	undispatched int
	answered     bool
	// submissions counts the submissions; lastSubmittedAt is the time of the
	// last.
	submissions     int
	lastSubmittedAt time.Duration
	// awaitingRetry reports whether the caller was refused and will submit
	// again.
	awaitingRetry bool
	// failed reports whether the final answer is a failure or an unknown
	// outcome.
	failed bool
}

// taskState is the progress of one task.
type taskState struct {
	// dispatched reports whether the task was sent to a rack.
	dispatched bool
	// started reports whether the task has started at least once on a worker
	// that was not failing.
	started bool
	// running counts the running attempts of the task; more than 1 is a
	// violation.
	running int
	// checkpointed is the run time saved by checkpoints.
	checkpointed time.Duration
}

func newWork(item *load.Item) *work {
	n := item.Work.Tasks
	return &work{item: item, class: item.Class(), tasks: make([]taskState, n), waiting: n, undispatched: n}
}

func (w *work) started() bool { return w.waiting == 0 }

// markStarted records the start of a task on a worker that is not failing, and
// reports whether every task of the work has now started for the first time.
func (w *work) markStarted(i int) bool {
	t := &w.tasks[i]
	if t.started {
		return false
	}
	t.started = true
	w.waiting--
	return w.waiting == 0
}

// markDispatched records that a task was sent to a rack, and reports whether
// every task of the work has now been sent for the first time.
func (w *work) markDispatched(i int) bool {
	t := &w.tasks[i]
	if t.dispatched {
		return false
	}
	t.dispatched = true
	w.undispatched--
	return w.undispatched == 0
}
