package workerstandin

import "time"

// Ways in which a run ends, as a Runner reports them.
const (
	HowDone    = "done"
	HowFailed  = "failed"
	HowStopped = "stopped"
	HowLapsed  = "lapsed"
)

// RunEventKind is the kind of an event at a Runner.
type RunEventKind string

const (
	// RunBegan is the start of a run, RunEnded an end that the Runner reports to
	// the owner.
	RunBegan RunEventKind = "RunBegan"
	RunEnded RunEventKind = "RunEnded"
	// RunGone is the end of a run by a restart of its worker, which the Runner does
	// not report to the owner.
	RunGone RunEventKind = "RunGone"
	// EndNoted is the owner's acknowledgement of an end.
	EndNoted RunEventKind = "EndNoted"
	// LeaseLapsed is the lapse of a worker's lease, which ends all its runs;
	// LifeEnded is a restart of the worker.
	LeaseLapsed RunEventKind = "LeaseLapsed"
	LifeEnded   RunEventKind = "LifeEnded"
)

// RunEvent is an event at a Runner.
type RunEvent struct {
	At     time.Time
	Kind   RunEventKind
	Worker string
	// Task and Run are empty in events of the whole worker.
	Task string `json:",omitempty"`
	Run  int    `json:",omitempty"`
	// Spec is the specification of a started run.
	Spec string `json:",omitempty"`
	// How is set for RunEnded and EndNoted.
	How string `json:",omitempty"`
	// Over reports whether the start exceeded the worker's capacity.
	Over bool `json:",omitempty"`
}

func (m *Monitor) record(e RunEvent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, e)
}

// EventsAfter returns the events of all runners in order, except the given number of
// earliest ones.
func (m *Monitor) EventsAfter(first int) []RunEvent {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]RunEvent(nil), m.events[first:]...)
}
