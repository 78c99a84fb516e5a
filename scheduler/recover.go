package scheduler

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// workerFeedInterval limits the watch of the worker table to two calls per second.
	workerFeedInterval = 500 * time.Millisecond
	// missingGracePeriod is how long a worker may be missing from the list before it is
	// removed. Entries that expired while the store was unavailable reappear within 2 s.
	missingGracePeriod = 2500 * time.Millisecond
)

// recover loads what earlier owners recorded.
func (o *Owner) recover(ctx context.Context) error {
	start := clock.Now()
	var workers, jobs []ledger.Row
	// The tables are read concurrently, as a slow store takes long for each.
	reads, readContext := errgroup.WithContext(ctx)
	reads.Go(func() (err error) {
		workers, _, err = ledger.ReadAll(readContext, o.store, platform.WorkerTable, "")
		return err
	})
	reads.Go(func() (err error) {
		jobs, _, err = ledger.ReadAll(readContext, o.store, ledger.JobTable, o.options.Cell)
		return err
	})
	reads.Go(func() error { return o.recoverTable(readContext, ledger.PolicyTable, o.records.jobs.policies.load) })
	reads.Go(func() error { return o.recoverTable(readContext, ledger.FinishedTable, o.records.finished.load) })
	reads.Go(func() error { return o.recoverTable(readContext, ledger.ProgressTable, o.records.progress.load) })
	reads.Go(func() error { return o.recoverWaves(readContext) })
	reads.Go(func() error { return o.recoverLearned(readContext) })
	if err := reads.Wait(); err != nil {
		return errors.Trace(err)
	}
	o.records.countPreCancelled()
	o.applyWorkerList(start, o.decodeAnnouncements(workers))
	now := clock.Now()
	o.cell.Tick(now, time.Now().UnixMilli())
	orderDeadline := now + o.options.EarlierOwnerTimeout
	for _, r := range jobs {
		page, err := o.records.jobs.load(r)
		if err != nil {
			return err
		}
		for _, job := range page {
			o.restoreJob(now, orderDeadline, job)
		}
	}
	o.log.WithFields(logrus.Fields{
		"fence": o.Fence(), "jobs": o.cell.JobCount(), "finished": o.records.finished.len(), "workers": o.cell.WorkerCount(), "ms": (clock.Now() - start).Milliseconds(),
	}).Info("scheduler: recovered")
	return nil
}

// restoreJob restores a job, or the remaining runs of a final one. An earlier owner may
// give orders until orderDeadline.
func (o *Owner) restoreJob(now, orderDeadline time.Duration, job workload.Job) {
	progress, hasProgress := o.records.progress.get(job.ID)
	f, final := o.records.finished.get(job.ID)
	if final && (!hasProgress || progress.Closed()) {
		o.records.progress.remove(job.ID)
		o.records.jobs.markClosed(job.ID)
		return
	}
	if final {
		progress.State = f.State
	}
	o.cell.Restore(now, orderDeadline, job, progress)
}

// recoverTable loads one table.
func (o *Owner) recoverTable(ctx context.Context, table string, load func(rows []ledger.Row) error) error {
	rows, _, err := ledger.ReadAll(ctx, o.store, table, o.options.Cell)
	if err != nil {
		return err
	}
	return load(rows)
}

// watchWorkers follows the announcements of workers in the store. It decodes them itself, so
// that those of other writers don't delay the event loop.
func (o *Owner) watchWorkers(ctx context.Context) {
	ledger.Watch{
		Store: o.store, Table: platform.WorkerTable, MinInterval: workerFeedInterval, FeedWait: 2 * time.Second,
		OnList: func(rows []ledger.Row) {
			list := o.decodeAnnouncements(rows)
			o.enqueue(ctx, func(now time.Duration) { o.applyWorkerList(now, list) })
		},
		OnChange: func(r ledger.Row) {
			a := o.decodeAnnouncement(r)
			o.enqueue(ctx, func(now time.Duration) { o.applyAnnouncement(now, a) })
		},
		OnError: func(err error) { o.log.WithField("why", err.Error()).Warn("scheduler: list of workers not read") },
	}.Run(ctx)
}

// applyWorkerList applies a complete list of workers.
func (o *Owner) applyWorkerList(now time.Duration, list []announcement) {
	listed := map[string]bool{}
	for _, a := range list {
		listed[a.id] = true
		o.applyAnnouncement(now, a)
	}
	for _, id := range o.cell.WorkerIDs() {
		if !listed[id] {
			o.markMissing(now, id)
		}
	}
}

// applyAnnouncement applies a row of the worker table. A row that announces no worker counts
// as a missing one: what was announced before may no longer hold.
func (o *Owner) applyAnnouncement(now time.Duration, a announcement) {
	if !a.usable {
		o.markMissing(now, a.id)
		return
	}
	o.cell.HandleAnnouncement(now, a.worker)
	if d := o.sessions[a.id]; d != nil {
		previous := d.worker.Swap(&a.worker)
		if previous.Address != a.worker.Address || previous.Life != a.worker.Life {
			d.requestHold()
		}
		if previous.Life != a.worker.Life {
			life, _, _ := d.life.get()
			d.life.replace(life, a.worker.Life)
			// The hold in flight may be that of a process that has ended.
			d.requestPoll()
		}
		d.missingSince = 0
	}
}

// markMissing notes that a worker is not listed. The worker is removed at once if it has
// no session, or else by removeMissing after the grace period.
func (o *Owner) markMissing(now time.Duration, id string) {
	d := o.sessions[id]
	switch {
	case d == nil:
		o.cell.RemoveWorker(now, id)
	case d.missingSince == 0:
		d.missingSince = now
	}
}

// removeMissing removes the workers that have been missing for longer than the grace
// period.
func (o *Owner) removeMissing(now time.Duration) {
	for id, d := range o.sessions {
		if d.missingSince != 0 && now-d.missingSince > missingGracePeriod {
			o.cell.RemoveWorker(now, id)
		}
	}
}
