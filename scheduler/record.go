package scheduler

import (
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

// removalsMost bounds the rows of jobs that are over that one transaction removes.
const removalsMost = 16

// finished is what is kept of a job that is final.
type finished struct {
	_     struct{} `cbor:",toarray"`
	State workload.State
	// At is when the job became final, in milliseconds since 1970.
	At int64
}

// records is what the store has, or is about to have, of the jobs of a cell. A job
// that is final has an entry in finished; it has one in progress as long as runs of it
// take room. Its row in the table of jobs is removed after that, when there is time, and its
// entry in finished not before that.
type records struct {
	part     string
	progress book[cell.Progress]
	finished book[finished]
	jobs     *jobPages
	// waves holds the progress of waves that has changed.
	waves []upkeep.Progress
}

func newRecords(part string) *records {
	r := &records{part: part, jobs: newJobPages(part)}
	r.progress.table, r.finished.table = ledger.ProgressTable, ledger.FinishedTable
	return r
}

// add takes a change of a job.
func (r *records) add(wall int64, c cell.Change) {
	if c.New {
		r.jobs.create(c.Job)
	}
	if !c.Progress.Closed() {
		r.progress.set(c.Job.ID, c.Progress)
	}
	if !c.Progress.State.Final() {
		return
	}
	if _, ok := r.finished.get(c.Job.ID); !ok {
		r.finished.set(c.Job.ID, finished{State: c.Progress.State, At: wall})
	}
	if c.Progress.Closed() {
		r.progress.remove(c.Job.ID)
		r.jobs.over(c.Job.ID)
	}
}

// abandon forgets a job that was created and not taken yet.
func (r *records) abandon(id string) {
	r.jobs.abandon(id)
	r.progress.remove(id)
}

// empty reports whether nothing has to be written soon.
func (r *records) empty() bool {
	return len(r.jobs.created) == 0 && len(r.waves) == 0 && r.progress.empty() && r.finished.empty()
}

// take returns the rows to write. They may be split between transactions at any
// place: a job without progress hasn't begun, and one that is final stays so
// whatever else is left of it.
func (r *records) take() ([]ledger.Change, error) {
	changes, err := r.jobs.writes()
	if err != nil {
		return nil, err
	}
	final, err := r.finished.take(r.part)
	if err != nil {
		return nil, err
	}
	progress, err := r.progress.take(r.part)
	if err != nil {
		return nil, err
	}
	changes = append(append(changes, final...), progress...)
	wave, err := waveChanges(r.part, r.waves)
	if err != nil {
		return nil, err
	}
	r.waves = nil
	changes = append(changes, wave...)
	changes = append(changes, r.jobs.removes(removalsMost)...)
	return changes, nil
}
