package workerstandin

import (
	"encoding/json"
	"io"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Audit is what the stand-in has seen, for checks.
type Audit struct {
	Worker string
	// Starts counts the starts of each attempt; more than 1 is a fault.
	Starts map[string]int
	// Overcommitted tells that running attempts once took more than the
	// capacity.
	Overcommitted bool
	// Refused counts the commands refused for an older epoch.
	Refused int
	// LastStart is the time of the latest start.
	LastStart time.Time
	// Running lists the attempts that run now.
	Running []string
}

// Run is one line of the stand-in's journal: an attempt started or ended. The
// journal outlives a stand-in that is killed.
type Run struct {
	Worker  string
	Attempt string
	At      time.Time
	// Outcome is empty for a start.
	Outcome task.Outcome `json:",omitempty"`
	// Overcommitted tells that the start took more than the worker has.
	Overcommitted bool `json:",omitempty"`
}

// SetJournal makes the agent write a line for each start and end.
func (a *Agent) SetJournal(w io.Writer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journal = json.NewEncoder(w)
}

// record writes a line of the journal, with a.mu held.
func (a *Agent) record(r Run) {
	if a.journal == nil {
		return
	}
	r.Worker = a.id
	if err := a.journal.Encode(r); err != nil {
		a.journal = nil
	}
}
