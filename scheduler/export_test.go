package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Records is records for tests of this package.
type Records = records

// NewRecords returns empty records of a cell.
func NewRecords(part string) *Records { return newRecords(part) }

// Add takes a change of a job.
func (r *records) Add(wall int64, c cell.Change) { r.add(wall, c) }

// Take returns the rows to write.
func (r *records) Take() ([]ledger.Change, error) { return r.take() }

// Abandon forgets a job that was not taken yet.
func (r *records) Abandon(id string) { r.abandon(id) }

// Forget forgets the state of a final job.
func (r *records) Forget(id string) { r.finished.remove(id) }

// Read takes the rows that earlier owners wrote.
func (r *records) Read(rows ...ledger.Row) error {
	var finished, progress []ledger.Row
	for _, row := range rows {
		switch row.Table {
		case ledger.FinishedTable:
			finished = append(finished, row)
		case ledger.JobTable:
			if _, err := r.jobs.read(row); err != nil {
				return err
			}
		default:
			progress = append(progress, row)
		}
	}
	if err := r.finished.read(finished); err != nil {
		return err
	}
	return r.progress.read(progress)
}

// Jobs returns the jobs of a row that an earlier owner wrote.
func (r *records) Jobs(row ledger.Row) ([]workload.Job, error) { return r.jobs.read(row) }

// HasRow reports whether a row has a job.
func (r *records) HasRow(id string) bool { return r.jobs.has(id) }

// Progress returns the progress of a job that is not over.
func (r *records) Progress(id string) (cell.Progress, bool) { return r.progress.get(id) }

// Finished reports whether a job is final.
func (r *records) Finished(id string) bool {
	_, ok := r.finished.get(id)
	return ok
}

// SendCopies is sendCopies.
var SendCopies = sendCopies

// Losses is losses.
type Losses = losses

// Note is note.
func (l *losses) Note(now time.Duration) { l.note(now) }

// Many is many.
func (l *losses) Many(now time.Duration) bool { return l.many(now) }

// Attending is attending.
type Attending = attending

// NewAttending is newAttending.
func NewAttending() Attending { return newAttending() }

// Allow is allow.
func (a *attending) Allow(now time.Duration) int { return a.allow(now) }

// Took is took.
func (a *attending) Took(workers int) { a.took(workers) }

// Post hands an event to an owner, and Handle takes one with those behind it.
func (o *Owner) Post(e func(now time.Duration)) bool { return o.post(e) }

// Handle is handle.
func (o *Owner) Handle(e func(now time.Duration)) { o.handle(e) }

// Noted is noted.
type Noted = noted

// Heard is heard.
func (n *noted) Heard(life int64) { n.heard(life) }

// Record is record.
func (n *noted) Record(life, number int64) { n.record(life, number) }

// Forget is forget.
func (n *noted) Forget() int64 { return n.forget() }

// Advance is advance.
func (o *Owner) Advance() { o.advance() }

// Never is never.
const Never = never

// Schedule is schedule.
func (o *Owner) Schedule(now time.Duration) time.Duration { return o.schedule(now) }

// Change changes what may be placed.
func (o *Owner) Change() { o.cell.SetCatalogue(workload.Catalogue{}) }

// Take is take.
func (o *Owner) Take(now, waited time.Duration, c intake.Call) { o.take(now, waited, "h", c) }

// WorkerSeen takes the announcement of a worker.
func (o *Owner) WorkerSeen(now time.Duration, w workload.Worker) { o.cell.HandleAnnouncement(now, w) }

// WorkerGone takes a worker off.
func (o *Owner) WorkerGone(now time.Duration, id string) { o.cell.RemoveWorker(now, id) }

// Attend is attend.
func (o *Owner) Attend(ctx context.Context) { o.attend(ctx) }

// ListWorkers is listWorkers.
func (o *Owner) ListWorkers(now time.Duration, rows []ledger.Row) { o.listWorkers(now, rows) }

// DropMissing is dropMissing.
func (o *Owner) DropMissing(now time.Duration) { o.dropMissing(now) }

// Record makes a transaction last that began at begun, after one of a length.
func (o *Owner) Record(begun, last time.Duration) {
	o.learnDelay(last)
	o.underWay.Store(int64(begun))
}

// AbandonFresh is abandonFresh.
func (o *Owner) AbandonFresh(now time.Duration) { o.abandonFresh(now) }

// Write is write.
func (o *Owner) Write(notes []cell.LogEntry) { o.write(notes) }

// TakeWaves is takeWaves.
func (o *Owner) TakeWaves(now time.Duration) { o.takeWaves(now) }

// RestoreWave takes what an earlier owner recorded of a wave.
func (o *Owner) RestoreWave(p upkeep.Progress) { o.waves.restored[p.Wave] = p }

// Waves returns what is to be recorded of waves.
func (o *Owner) Waves() []upkeep.Progress { return o.records.waves }

// Dispatch is dispatch.
func (o *Owner) Dispatch(ctx context.Context) { o.dispatch(ctx) }

// Questions returns how many questions wait.
func (o *Owner) Questions() int { return o.desk.QueueLength() }

// Catalogue puts a version of the operator's queues in force.
func (o *Owner) Catalogue(c workload.Catalogue) { o.cell.SetCatalogue(c) }
