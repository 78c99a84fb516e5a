package workerstandin

import "time"

// How a run ended, as a Runner lists it.
const (
	HowDone    = "done"
	HowFailed  = "failed"
	HowStopped = "stopped"
	HowLapsed  = "lapsed"
)

// RunEventKind tells what happened at a Runner.
type RunEventKind string

const (
	// RunBegan is the start of a run, RunEnded the end of one that is listed.
	RunBegan RunEventKind = "RunBegan"
	RunEnded RunEventKind = "RunEnded"
	// RunGone is the end of a run with the life of its worker, which lists nothing.
	RunGone RunEventKind = "RunGone"
	// EndNoted is that an owner has acknowledged an end.
	EndNoted RunEventKind = "EndNoted"
	// LeaseLapsed ends all runs of a worker, LifeEnded is a restart.
	LeaseLapsed RunEventKind = "LeaseLapsed"
	LifeEnded   RunEventKind = "LifeEnded"
)

// RunEvent is something that happened at a Runner.
type RunEvent struct {
	At     time.Time
	Kind   RunEventKind
	Worker string
	// Task and Run are empty for what concerns the whole worker.
	Task string `json:",omitempty"`
	Run  int    `json:",omitempty"`
	// Spec is the specification that a start carried.
	Spec string `json:",omitempty"`
	// How is set for RunEnded and EndNoted.
	How string `json:",omitempty"`
	// Over tells that the start took more than the worker has.
	Over bool `json:",omitempty"`
}

func (f *Monitor) record(e RunEvent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

// EventsAfter returns what happened at all runners, without the first ones, in order.
func (f *Monitor) EventsAfter(first int) []RunEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]RunEvent(nil), f.events[first:]...)
}
