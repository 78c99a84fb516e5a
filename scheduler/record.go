package scheduler

import (
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

// maxRemovedRows bounds the rows of closed jobs that one transaction removes.
const maxRemovedRows = 16

// finished is the retained state of a final job.
type finished struct {
	_     struct{} `cbor:",toarray"`
	State workload.State
	// At is when the job became final, in milliseconds since 1970.
	At int64
}

const (
	// preCancelled is the retained state of a job that was cancelled before any copy of its
	// submission arrived. Callers are told that there is no such job until one arrives, and
	// then that it is cancelled.
	preCancelled workload.State = "PreCancelled"
	// MaxPreCancelled bounds the jobs in that state. Each takes some 50 bytes in the store,
	// which a takeover reads.
	MaxPreCancelled = 10000
	// preCancelRetention is how long jobs stay in that state. Copies of a submission arrive
	// some seconds after the first at most.
	preCancelRetention = time.Minute
)

// records mirrors the rows of the cell's jobs in the store, including changes that are
// about to be written. A final job has an entry in finished, and an entry in progress as
// long as its runs use capacity. After that its row in the job table is removed when
// there is time, and its entry in finished is removed only after that row.
type records struct {
	part     string
	progress progressTable
	finished pagedTable[finished]
	jobs     *jobPages
	// preCancelledCount is the number of jobs in the state preCancelled, and may include some
	// that have left it since the last countPreCancelled.
	preCancelledCount int
	// waves holds the progress of waves that has changed.
	waves []upkeep.Progress
}

func newRecords(part string) *records {
	r := &records{part: part, jobs: newJobPages(part)}
	r.progress.table.table, r.finished.table = ledger.ProgressTable, ledger.FinishedTable
	return r
}

// add adds a change of a job. wall is the time in milliseconds since 1970.
func (r *records) add(wall int64, c cell.Change) {
	if c.New {
		r.jobs.addJob(c.Job)
	}
	if !c.Progress.Closed() {
		r.progress.set(c.Job, c.Progress)
	}
	if !c.Progress.State.Final() {
		return
	}
	if _, ok := r.finished.get(c.Job.ID); !ok {
		r.finished.set(c.Job.ID, finished{State: c.Progress.State, At: wall})
	}
	if c.Progress.Closed() {
		r.progress.remove(c.Job.ID)
		r.jobs.markClosed(c.Job.ID)
	}
}

// isPreCancelled reports whether a job was cancelled and has not been submitted.
func (r *records) isPreCancelled(id string) bool {
	f, ok := r.finished.get(id)
	return ok && f.State == preCancelled
}

// preCancel notes that an unknown job was cancelled. wall is the time in milliseconds since
// 1970.
func (r *records) preCancel(wall int64, id string) {
	r.preCancelledCount++
	r.finished.set(id, finished{State: preCancelled, At: wall})
}

func (r *records) countPreCancelled() {
	r.preCancelledCount = 0
	r.finished.forEach(func(_ string, f finished) {
		if f.State == preCancelled {
			r.preCancelledCount++
		}
	})
}

// submitPreCancelled notes that a job was submitted after its cancellation.
func (r *records) submitPreCancelled(wall int64, id string) {
	r.finished.set(id, finished{State: workload.Cancelled, At: wall})
}

// abandon removes a job that was added and not drained yet.
func (r *records) abandon(id string) {
	r.jobs.abandon(id)
	r.progress.remove(id)
}

// isClean reports whether no change has to be written soon. Rows to be removed don't
// count.
func (r *records) isClean() bool {
	return len(r.jobs.unwritten) == 0 && len(r.waves) == 0 && r.progress.isClean() && r.finished.isClean()
}

// drainChanges returns the rows to write. They may be split between transactions at any
// point: a job without progress has not begun, and a final job stays final whatever else
// is left of it.
func (r *records) drainChanges() ([]ledger.Change, error) {
	changes, err := r.jobs.drainWrites()
	if err != nil {
		return nil, err
	}
	final, err := r.finished.drainChanges(r.part)
	if err != nil {
		return nil, err
	}
	progress, err := r.progress.drainChanges(r.part)
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
	changes = append(changes, r.jobs.drainRemovals(maxRemovedRows)...)
	return changes, nil
}
