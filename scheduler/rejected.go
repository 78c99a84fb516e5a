package scheduler

import (
	"slices"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
)

// jobRecord is the part of a job's record that is in one table. Without a job it stands for
// those of all jobs.
type jobRecord struct{ table, job string }

// effect is what to do once a transaction has succeeded.
type effect struct {
	// needs holds the records without which the effect must not be carried out.
	needs []jobRecord
	run   func()
	// skip replaces run if the store has rejected one of these. It may be nil.
	skip func()
}

// apply carries out the effect of a transaction that did not record all that it should.
func (e effect) apply(unrecorded map[jobRecord]bool) {
	switch {
	case !slices.ContainsFunc(e.needs, func(r jobRecord) bool { return unrecorded[r] }):
		e.run()
	case e.skip != nil:
		e.skip()
	}
}

// setApartRejected handles the result of a transaction. Rows that the store rejects for good
// don't end the tenure: they are logged, the records that they held are returned, and all else
// goes on.
func (o *Owner) setApartRejected(err error) (unrecorded map[jobRecord]bool, _ error) {
	unrecorded = map[jobRecord]bool{}
	for _, id := range o.records.progress.rejectedJobs() {
		unrecorded[jobRecord{ledger.ProgressTable, id}] = true
	}
	var rejected *ledger.RejectedError
	if !errors.As(err, &rejected) {
		return unrecorded, err
	}
	for _, c := range rejected.Changes {
		for _, r := range c.Writes {
			jobs := o.setApart(r)
			for _, id := range jobs {
				unrecorded[jobRecord{r.Table, id}], unrecorded[jobRecord{table: r.Table}] = true, true
			}
			o.counters.RejectedRows.Add(1)
			o.log.WithFields(logrus.Fields{"table": r.Table, "key": r.Key, "bytes": len(r.Value), "jobs": jobs, "fence": o.Fence()}).Error("scheduler: row rejected by the store")
		}
	}
	return unrecorded, nil
}

// setApart makes the records consistent with the rejection of a row, and returns the jobs that
// it would have recorded. New jobs are abandoned; their callers are refused.
func (o *Owner) setApart(r ledger.Row) []string {
	switch r.Table {
	case ledger.JobTable:
		jobs := o.records.jobs.reject(r.Key)
		for _, id := range jobs {
			o.abandon(clock.Now(), id)
			o.records.progress.remove(id)
			o.dispatcher.RemoveJob(id)
		}
		return jobs
	case ledger.ProgressTable:
		return o.records.progress.reject(r.Key)
	case ledger.FinishedTable:
		jobs := o.records.finished.reject(r.Key)
		for _, id := range jobs {
			if _, ok := o.records.finished.get(id); ok {
				o.markPendingFinal(id)
			}
		}
		return jobs
	default:
		return nil
	}
}
