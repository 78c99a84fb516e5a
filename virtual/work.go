package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/load"
)

// work is one item of the load with what became of it.
type work struct {
	item  *load.Item
	class load.Class
	tasks []taskState
	// waiting is the number of tasks that have never started.
	waiting int
	// startedAt is when the last of them started; 0 before.
	startedAt time.Duration
	// undispatched is the number of tasks that no rack was ever asked to start.
	undispatched int
	answered     bool
	// submissions counts the submissions, and sent is the time of the last.
	submissions     int
	lastSubmittedAt time.Duration
	// awaitingRetry tells that the caller was refused and will come back.
	awaitingRetry bool
	// failed tells that the final answer is a failure or an unknown outcome.
	failed bool
}

// taskState is one task.
type taskState struct {
	// dispatched tells that a rack was asked to start the task.
	dispatched bool
	// started tells that the task has started at least once, on a worker that did
	// not fail it at once.
	started bool
	// running counts attempts that run now; above 1 is a fault.
	running int
	// checkpointed is the run time that checkpoints keep.
	checkpointed time.Duration
}

func newWork(item *load.Item) *work {
	n := item.Work.Tasks
	return &work{item: item, class: item.Class(), tasks: make([]taskState, n), waiting: n, undispatched: n}
}

func (w *work) started() bool { return w.waiting == 0 }

// markStarted notes the start of a task that does not fail at once, and reports whether
// it was the last of the work that had never started.
func (w *work) markStarted(i int) bool {
	t := &w.tasks[i]
	if t.started {
		return false
	}
	t.started = true
	w.waiting--
	return w.waiting == 0
}

// markDispatched notes that a rack is asked to start a task and reports whether it was the
// last of the work for which none had been.
func (w *work) markDispatched(i int) bool {
	t := &w.tasks[i]
	if t.dispatched {
		return false
	}
	t.dispatched = true
	w.undispatched--
	return w.undispatched == 0
}
