package workerstandin

import (
	"encoding/json"
	"io"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Audit is the record of an agent's activity, for checks by tests.
type Audit struct {
	Worker string
	// Starts counts the starts of each attempt; a count above 1 is an error of
	// the owner.
	Starts map[string]int
	// Overcommitted reports whether the sizes of the running attempts have ever
	// exceeded the capacity.
	Overcommitted bool
	// Refused counts the commands and adoptions refused because of their epoch,
	// session or batch number.
	Refused int
	// LastStart is the time of the latest start.
	LastStart time.Time
	// Running lists the attempts that are running.
	Running []string
}

// Run is one line of the stand-in's journal: the start or the end of an attempt.
// In a file, the journal survives a stand-in that is killed.
type Run struct {
	Worker  string
	Attempt string
	At      time.Time
	// Outcome is empty for a start.
	Outcome task.Outcome `json:",omitempty"`
	// Overcommitted reports whether the start exceeded the worker's capacity.
	Overcommitted bool `json:",omitempty"`
}

// SetJournal makes the agent write a line to w for each start and end.
func (a *Agent) SetJournal(w io.Writer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journal = json.NewEncoder(w)
}

// record writes a line of the journal. A failed write ends the journal. The caller
// holds a.mu.
func (a *Agent) record(r Run) {
	if a.journal == nil {
		return
	}
	r.Worker = a.id
	if err := a.journal.Encode(r); err != nil {
		a.journal = nil
	}
}
