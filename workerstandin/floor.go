package workerstandin

import (
	"fmt"
	"sync"
)

// Monitor sees what all runners do, and notes what must never happen. The zero value
// is ready.
type Monitor struct {
	mu sync.Mutex
	// running counts the runs of each task, done those that ended so.
	running map[string]int
	done    map[string]int
	faults  []string
	starts  int
	events  []RunEvent
}

func (f *Monitor) begin(task string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.running == nil {
		f.running, f.done = map[string]int{}, map[string]int{}
	}
	f.starts++
	f.running[task]++
	if f.running[task] > 1 {
		f.faults = append(f.faults, fmt.Sprintf("%s runs twice", task))
	}
	if f.done[task] > 0 {
		f.faults = append(f.faults, fmt.Sprintf("%s starts after it was done", task))
	}
}

func (f *Monitor) end(task string, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[task]--
	if done {
		f.done[task]++
	}
}

func (f *Monitor) recordFault(text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = append(f.faults, text)
}

// Faults returns what should not have happened.
func (f *Monitor) Faults() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.faults...)
}

// Starts returns how many runs have begun.
func (f *Monitor) Starts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.starts
}

// Done returns how many tasks are done.
func (f *Monitor) Done() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.done)
}
