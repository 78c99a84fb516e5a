package demo

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// run is one run of an attempt on a worker.
type run struct {
	worker, attempt string
	start           time.Time
	// end is zero while the attempt runs.
	end time.Time
}

// history records the runs on the workers. It implements io.Writer for the
// journals of the stand-ins. Use newHistory to make one.
type history struct {
	mu sync.Mutex
	// runs holds the runs of each task by its name, "team/id/task".
	runs          map[string][]run
	overcommitted bool
}

func newHistory() *history { return &history{runs: map[string][]run{}} }

// Write records one journal line.
func (h *history) Write(line []byte) (int, error) {
	var r workerstandin.Run
	if err := json.Unmarshal(line, &r); err != nil {
		return 0, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	name := taskName(r.Attempt)
	if r.Outcome == "" {
		h.runs[name] = append(h.runs[name], run{worker: r.Worker, attempt: r.Attempt, start: r.At})
		h.overcommitted = h.overcommitted || r.Overcommitted
		return len(line), nil
	}
	h.finish(h.runs[name], func(each run) bool { return each.attempt == r.Attempt && each.worker == r.Worker }, r.At)
	return len(line), nil
}

// markWorkerLost records the end of all runs on a worker.
func (h *history) markWorkerLost(worker string, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, runs := range h.runs {
		h.finish(runs, func(each run) bool { return each.worker == worker }, at)
	}
}

func (h *history) finish(runs []run, match func(run) bool, at time.Time) {
	for i := range runs {
		if runs[i].end.IsZero() && match(runs[i]) {
			runs[i].end = at
		}
	}
}

// byTask returns the runs of a piece of work, grouped by task, in the order of
// the tasks' names.
func (h *history) byTask(id string) [][]run {
	h.mu.Lock()
	defer h.mu.Unlock()
	prefix := team + "/" + id + "/"
	var all [][]run
	for _, name := range slices.Sorted(maps.Keys(h.runs)) {
		if strings.HasPrefix(name, prefix) {
			all = append(all, slices.Clone(h.runs[name]))
		}
	}
	return all
}

// busiestWorker returns the worker with the most running attempts.
func (h *history) busiestWorker() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	open := map[string]int{}
	for _, runs := range h.runs {
		for _, r := range runs {
			if r.end.IsZero() {
				open[r.worker]++
			}
		}
	}
	best := "w1"
	for _, name := range slices.Sorted(maps.Keys(open)) {
		if open[name] > open[best] {
			best = name
		}
	}
	return best
}

// concurrentTask returns a task that had two runs at the same time, or "".
func (h *history) concurrentTask() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, runs := range h.runs {
		slices.SortFunc(runs, func(a, b run) int { return a.start.Compare(b.start) })
		for i := 1; i < len(runs); i++ {
			if before := runs[i-1]; before.end.IsZero() || before.end.After(runs[i].start) {
				return name
			}
		}
	}
	return ""
}

// taskName returns the task of an attempt named "team/id/task/number".
func taskName(attempt string) string {
	return attempt[:max(0, strings.LastIndex(attempt, "/"))]
}
