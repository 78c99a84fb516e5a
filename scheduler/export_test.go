package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/upkeep"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Records exports records to the tests of this package.
type Records = records

// NewRecords returns empty records of a cell.
func NewRecords(part string) *Records { return newRecords(part) }

// Add adds a change of a job.
func (r *records) Add(wall int64, c cell.Change) { r.add(wall, c) }

// DrainChanges returns the rows to write.
func (r *records) DrainChanges() ([]ledger.Change, error) { return r.drainChanges() }

// Abandon removes a job that has not been drained yet.
func (r *records) Abandon(id string) { r.abandon(id) }

// RemoveFinished removes the state of a final job.
func (r *records) RemoveFinished(id string) { r.finished.remove(id) }

// Load loads rows that earlier owners wrote.
func (r *records) Load(rows ...ledger.Row) error {
	var finished, progress []ledger.Row
	for _, row := range rows {
		if row.Table == ledger.PolicyTable {
			if err := r.jobs.policies.load([]ledger.Row{row}); err != nil {
				return err
			}
		}
	}
	for _, row := range rows {
		switch row.Table {
		case ledger.PolicyTable:
		case ledger.FinishedTable:
			finished = append(finished, row)
		case ledger.JobTable:
			if _, err := r.jobs.load(row); err != nil {
				return err
			}
		default:
			progress = append(progress, row)
		}
	}
	if err := r.finished.load(finished); err != nil {
		return err
	}
	return r.progress.load(progress)
}

// LoadJobs returns the jobs of a row that an earlier owner wrote.
func (r *records) LoadJobs(row ledger.Row) ([]workload.Job, error) { return r.jobs.load(row) }

// HasRow calls hasRow for a job.
func (r *records) HasRow(id string) bool { return r.jobs.hasRow(id) }

// Progress returns the progress of a job that is not closed.
func (r *records) Progress(id string) (cell.Progress, bool) { return r.progress.get(id) }

// Finished reports whether a job is final.
func (r *records) Finished(id string) bool {
	_, ok := r.finished.get(id)
	return ok
}

// PreCancel calls preCancel.
func (r *records) PreCancel(wall int64, id string) { r.preCancel(wall, id) }

// IsPreCancelled calls isPreCancelled.
func (r *records) IsPreCancelled(id string) bool { return r.isPreCancelled(id) }

// SendCopies exports sendCopies.
var SendCopies = sendCopies

// AnswerLosses exports answerLosses.
type AnswerLosses = answerLosses

// Note calls note.
func (l *answerLosses) Note(now time.Duration) { l.note(now) }

// ThresholdReached calls thresholdReached.
func (l *answerLosses) ThresholdReached(now time.Duration) bool { return l.thresholdReached(now) }

// WorkerRamp exports workerRamp.
type WorkerRamp = workerRamp

// NewWorkerRamp calls newWorkerRamp.
func NewWorkerRamp() WorkerRamp { return newWorkerRamp() }

// Available calls available.
func (a *workerRamp) Available(now time.Duration) int { return a.available(now) }

// Consume calls consume.
func (a *workerRamp) Consume(workers int) { a.consume(workers) }

// TryEnqueue calls tryEnqueue.
func (o *Owner) TryEnqueue(e func(now time.Duration)) bool { return o.tryEnqueue(e) }

// HandleEvent calls handleEvent.
func (o *Owner) HandleEvent(e func(now time.Duration)) { o.handleEvent(e) }

// RecordedEnds exports recordedEnds.
type RecordedEnds = recordedEnds

// Record calls record.
func (n *recordedEnds) Record(life, number int64) { n.record(life, number) }

// LastDiscardable calls lastDiscardable.
func (n *recordedEnds) LastDiscardable(life int64) int64 { return n.lastDiscardable(life) }

// AdvanceClock calls advanceClock.
func (o *Owner) AdvanceClock() { o.advanceClock() }

// Never exports never.
const Never = never

// Schedule calls schedule.
func (o *Owner) Schedule(now time.Duration) time.Duration { return o.schedule(now) }

// MarkStale makes a scheduling pass due.
func (o *Owner) MarkStale() { o.cell.SetCatalogue(workload.Catalogue{}) }

// ExecuteCall calls handleCall for a call of the host h.
func (o *Owner) ExecuteCall(now, waited time.Duration, c intake.Call) {
	o.handleCall(now, waited, "h", c)
}

// ChangedJobs returns the jobs that have changed since the last call.
func (o *Owner) ChangedJobs() []workload.Job {
	var jobs []workload.Job
	_, changes, _ := o.cell.TakeOutput()
	for _, c := range changes {
		jobs = append(jobs, c.Job)
	}
	return jobs
}

// WaitingJobs returns the number of jobs of a queue that wait.
func (o *Owner) WaitingJobs(queue string) int { return o.cell.WaitingJobCount(queue) }

// MayGiveOrders calls mayGiveOrders.
func (o *Owner) MayGiveOrders(now time.Duration) bool { return o.mayGiveOrders(now) }

// Prune calls prune.
func (o *Owner) Prune(now time.Duration) { o.prune(now) }

// AnnounceWorker applies the announcement of a worker.
func (o *Owner) AnnounceWorker(now time.Duration, w workload.Worker) {
	o.cell.HandleAnnouncement(now, w)
}

// RemoveWorker removes a worker from the cell.
func (o *Owner) RemoveWorker(now time.Duration, id string) { o.cell.RemoveWorker(now, id) }

// SyncSessions calls syncSessions.
func (o *Owner) SyncSessions(ctx context.Context) { o.syncSessions(ctx) }

// ApplyWorkerList applies a list of rows of the worker table.
func (o *Owner) ApplyWorkerList(now time.Duration, rows []ledger.Row) {
	o.applyWorkerList(now, o.decodeAnnouncements(rows))
}

// ApplyWorkerRow applies a change of a row of the worker table.
func (o *Owner) ApplyWorkerRow(now time.Duration, r ledger.Row) {
	o.applyAnnouncement(now, o.decodeAnnouncement(r))
}

// RejectionLog exports rejectionLog.
type RejectionLog = rejectionLog

// Allow calls allow.
func (l *rejectionLog) Allow(now time.Duration, key string) (bool, int) { return l.allow(now, key) }

// RemoveMissing calls removeMissing.
func (o *Owner) RemoveMissing(now time.Duration) { o.removeMissing(now) }

// SetCommitInFlight simulates a transaction in flight since start, after one that took
// last.
func (o *Owner) SetCommitInFlight(start, last time.Duration) {
	o.observeCommitTime(last)
	o.inFlightSince.Store(int64(start))
}

// AbandonNewJobs calls abandonNewJobs.
func (o *Owner) AbandonNewJobs(now time.Duration) { o.abandonNewJobs(now) }

// LogEntries calls logEntries.
func (o *Owner) LogEntries(entries []cell.LogEntry) { o.logEntries(entries) }

// PlanNewWaves calls planNewWaves.
func (o *Owner) PlanNewWaves(now time.Duration) { o.planNewWaves(now) }

// RestoreWave sets the recorded progress of a wave.
func (o *Owner) RestoreWave(p upkeep.Progress) { o.waves.restored[p.Wave] = p }

// UnrecordedWaves returns the wave progress that is still to be recorded.
func (o *Owner) UnrecordedWaves() []upkeep.Progress { return o.records.waves }

// Dispatch calls dispatch.
func (o *Owner) Dispatch(ctx context.Context) { o.dispatch(ctx) }

// WaitingQuestions returns the number of advice questions that wait for a host.
func (o *Owner) WaitingQuestions() int { return o.dispatcher.QueueLength() }

// ApplyCatalogue applies a version of the operator's queues at once.
func (o *Owner) ApplyCatalogue(c workload.Catalogue) {
	o.SetCatalogue(c)
	o.applyCatalogue()
}

// UpdateOrganisations calls updateOrganisations.
func (o *Owner) UpdateOrganisations(now time.Duration) { o.updateOrganisations(now) }

// Cell returns the cell of an owner that does not run.
func (o *Owner) Cell() *cell.Cell { return o.cell }

// LearnedRows returns the rows with what the cell has learned, if they are due.
func (o *Owner) LearnedRows(now time.Duration) ([]ledger.Row, error) {
	changes, err := o.learnedChange(now)
	var rows []ledger.Row
	for _, c := range changes {
		rows = append(rows, c.Writes...)
	}
	return rows, err
}

// RecoverLearned calls recoverLearned.
func (o *Owner) RecoverLearned(ctx context.Context) error { return o.recoverLearned(ctx) }

// AddChanges calls addChanges.
func (o *Owner) AddChanges(changes []cell.Change) { o.addChanges(changes) }

// BeginCommit starts a transaction that the test applies to a store, and returns its changes.
func (o *Owner) BeginCommit(now time.Duration) ([]ledger.Change, error) {
	o.queueNewJobReplies()
	changes, err := o.records.drainChanges()
	o.inFlightEffects, o.pendingEffects = o.pendingEffects, nil
	o.unconfirmedInFlight, o.unconfirmed = o.unconfirmed, nil
	o.committing = true
	o.inFlightSince.Store(int64(now))
	return changes, err
}

// CompleteCommit calls completeCommit.
func (o *Owner) CompleteCommit() { o.completeCommit(nil) }

// HasChanges reports whether a transaction is due.
func (o *Owner) HasChanges() bool {
	return !o.records.isClean() || len(o.pendingEffects) > 0 || len(o.newJobReplies) > 0 || len(o.unconfirmed) > 0
}

// RestoreJobs restores the jobs in the rows that an earlier owner wrote.
func (o *Owner) RestoreJobs(now, orderDeadline time.Duration, rows []ledger.Row) error {
	if err := o.records.Load(rows...); err != nil {
		return err
	}
	for _, r := range rows {
		if r.Table != ledger.JobTable {
			continue
		}
		jobs, err := o.records.jobs.load(r)
		if err != nil {
			return err
		}
		for _, job := range jobs {
			o.restoreJob(now, orderDeadline, job)
		}
	}
	return nil
}

// EndCommit ends a transaction of which the store has rejected some changes.
func (o *Owner) EndCommit(rejected []ledger.Change) error {
	var result error
	if len(rejected) > 0 {
		result = &ledger.RejectedError{Changes: rejected}
	}
	unrecorded, err := o.setApartRejected(result)
	if err == nil {
		o.completeCommit(unrecorded)
	}
	return err
}

// Effect exports effect.
type Effect = effect

// NewEffect returns an effect that needs one record.
func NewEffect(table, job string, run, skip func()) Effect {
	return effect{needs: []jobRecord{{table, job}}, run: run, skip: skip}
}

// Apply calls apply after a transaction that did not write one record.
func (e effect) Apply(table, job string) { e.apply(map[jobRecord]bool{{table, job}: true}) }

// LearnedChanges returns the rows to write and to remove for what the cell has learned.
func (o *Owner) LearnedChanges(now time.Duration) (written, removed []ledger.Row, err error) {
	changes, err := o.learnedChange(now)
	for _, c := range changes {
		written, removed = append(written, c.Writes...), append(removed, c.Removes...)
	}
	return written, removed, err
}

// AddEffect adds an effect of the next transaction.
func (o *Owner) AddEffect(e Effect) { o.pendingEffects = append(o.pendingEffects, e) }

// Session exports workerSession.
type Session = workerSession

// OpenSession returns the session of a worker, which sends nothing by itself.
func (o *Owner) OpenSession(w workload.Worker) *Session {
	d := &workerSession{owner: o, orders: newOrderQueue(), polls: ring.New[struct{}](1), wake: ring.New[struct{}](1), cancel: func() {}}
	d.worker.Store(&w)
	d.life.replace(0, w.Life)
	o.sessions[w.ID] = d
	return d
}

// HandleReport calls handleReport.
func (d *workerSession) HandleReport(now, sent time.Duration, id string, report cell.Report) {
	d.handleReport(now, sent, id, report)
}

// Life returns the life that calls are meant for.
func (d *workerSession) Life() int64 { return d.instance().Life }

// PollRequested reports whether a poll is pending.
func (d *workerSession) PollRequested() bool { return d.polls.Depth() > 0 }

// ApplyAnnouncement calls applyAnnouncement for the row of a worker.
func (o *Owner) ApplyAnnouncement(now time.Duration, w workload.Worker) {
	o.applyAnnouncement(now, announcement{id: w.ID, worker: w, usable: true})
}

// CurrentLife exports currentLife.
type CurrentLife = currentLife

// Get calls get.
func (c *currentLife) Get() (life int64, clockOffset time.Duration, heard bool) { return c.get() }

// Replace calls replace.
func (c *currentLife) Replace(previous, life int64) { c.replace(previous, life) }

// SetHeard calls setHeard.
func (c *currentLife) SetHeard(life int64, clockOffset time.Duration) (current, before bool) {
	return c.setHeard(life, clockOffset)
}

// SetSilent calls setSilent.
func (c *currentLife) SetSilent(life int64) bool { return c.setSilent(life) }

// AnswerDueQueries calls answerDueQueries.
func (o *Owner) AnswerDueQueries(now time.Duration) { o.answerDueQueries(now) }

// LogForecasts calls logForecasts.
func (o *Owner) LogForecasts(now time.Duration) { o.logForecasts(now) }
