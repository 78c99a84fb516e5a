package workerstandin

import (
	"fmt"
	"sync"
)

// Monitor records the events of all runners and any violation of their invariants, such
// as two runs of a task at once. The zero value is ready to use.
type Monitor struct {
	mu sync.Mutex
	// running counts the running runs of each task, done its runs that ended as done.
	running map[string]int
	done    map[string]int
	faults  []string
	starts  int
	events  []RunEvent
}

func (m *Monitor) begin(task string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.running == nil {
		m.running, m.done = map[string]int{}, map[string]int{}
	}
	m.starts++
	m.running[task]++
	if m.running[task] > 1 {
		m.faults = append(m.faults, fmt.Sprintf("%s runs twice", task))
	}
	if m.done[task] > 0 {
		m.faults = append(m.faults, fmt.Sprintf("%s starts after it was done", task))
	}
}

func (m *Monitor) end(task string, done bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.running[task]--
	if done {
		m.done[task]++
	}
}

func (m *Monitor) recordFault(text string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, text)
}

// Faults returns descriptions of the violations seen so far, in order.
func (m *Monitor) Faults() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.faults...)
}

// Starts returns the number of runs started.
func (m *Monitor) Starts() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.starts
}

// Done returns the number of tasks with a run that ended as done.
func (m *Monitor) Done() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.done)
}
