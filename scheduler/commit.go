package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/tenure"
)

const (
	// minCommitInterval is the minimum interval between the starts of two transactions.
	// It limits the load on the store to 40 calls per second and adds about 12 ms to a
	// start on average.
	minCommitInterval = 25 * time.Millisecond
	// commitMeanWeight is the weight of past values in the moving mean of the transaction
	// time.
	commitMeanWeight = 3
	// storeStallTimeout is how long a transaction may be in flight without a confirmed
	// commit before the owner reports a stall to the other hosts, which take the cell
	// over if the store serves them.
	storeStallTimeout = 900 * time.Millisecond
	// storeRefusalTimeout is how long the store may refuse the transaction in flight before the
	// owner reports a stall. A store that is merely slow doesn't refuse, and one that refuses
	// all hosts answers no host that could take the cell.
	storeRefusalTimeout = 300 * time.Millisecond
	// minRefusalThreshold is the minimum age of the transaction in flight at which new
	// jobs are refused. A store that is 100 times slower than usual takes 1 s and still
	// records.
	minRefusalThreshold = 1200 * time.Millisecond
	// maxRefusalThreshold is the maximum of that age. Callers wait 3 s, and a job
	// submitted now needs the rest of this transaction and the next one.
	maxRefusalThreshold = 1800 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of calls that are refused because the
	// store is slow or unavailable.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest Retry-After.
	maxRetryAfter = 4 * time.Second
	// pruneInterval is the interval between two removals of expired final states.
	pruneInterval = 2 * time.Second
)

// commitIfDue starts a transaction if there are changes to record or the lease is due for
// renewal. If the previous transaction started too recently, it returns how long to wait
// and true.
func (o *Owner) commitIfDue(ctx context.Context) (time.Duration, bool) {
	if o.committing {
		return 0, false
	}
	now := clock.Now()
	if o.records.isClean() && len(o.pendingEffects) == 0 && len(o.newJobReplies) == 0 && len(o.unconfirmed) == 0 && now-o.commitStart < tenure.RenewalInterval {
		return 0, false
	}
	if wait := o.commitStart + minCommitInterval - now; wait > 0 {
		return wait, true
	}
	o.commit(ctx, now)
	return 0, false
}

func (o *Owner) commit(ctx context.Context, now time.Duration) {
	o.queueNewJobReplies()
	changes, err := o.drainChanges(now)
	if err != nil {
		o.commitResults <- err
		return
	}
	o.inFlightEffects, o.pendingEffects = o.pendingEffects, nil
	o.unconfirmedInFlight, o.unconfirmed = o.unconfirmed, nil
	o.committing, o.commitStart = true, now
	o.inFlightSince.Store(int64(now))
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		err := o.ledger.Append(ctx, changes)
		o.counters.Commit.Record(clock.Now() - now)
		o.commitResults <- err
	}()
}

// drainChanges returns the rows for the next transaction.
func (o *Owner) drainChanges(now time.Duration) ([]ledger.Change, error) {
	changes, err := o.records.drainChanges()
	if err != nil {
		return nil, err
	}
	learned, err := o.learnedChange(now)
	if err != nil {
		return nil, err
	}
	return append(changes, learned...), nil
}

// completeCommit runs the effects that waited for the transaction that has just succeeded, but
// for those of jobs that it did not record.
func (o *Owner) completeCommit(unrecorded map[jobRecord]bool) {
	o.observeCommitTime(clock.Now() - o.commitStart)
	o.committing = false
	o.inFlightSince.Store(0)
	for _, e := range o.inFlightEffects {
		e.apply(unrecorded)
	}
	confirmUnknown(o.unconfirmedInFlight)
	o.inFlightEffects, o.unconfirmedInFlight, o.recordingJobs = nil, nil, nil
}

// observeCommitTime updates the statistics with the duration of a transaction.
func (o *Owner) observeCommitTime(length time.Duration) {
	o.lastCommitTime = length
	o.meanCommitTime += (length - o.meanCommitTime) / commitMeanWeight
}

// recordDelay returns how long a start placed now waits for its record: the rest of the
// transaction in flight and then its own.
func (o *Owner) recordDelay(now time.Duration) time.Duration {
	delay := o.meanCommitTime + minCommitInterval
	if o.committing {
		delay += max(0, o.commitStart+o.meanCommitTime-now)
	}
	return delay
}

// StoreStalled reports whether the store has stopped recording for this owner. A backlog
// that gathered while the store was slow may take several transactions; each confirmed
// one counts as progress.
func (o *Owner) StoreStalled() bool {
	now := clock.Now()
	if since, refused := o.ledger.RefusedSince(); refused && now-since > storeRefusalTimeout {
		return true
	}
	return o.commitAge(now) > storeStallTimeout && now-o.ledger.LastCommit() > storeStallTimeout
}

// commitTooSlow reports whether the transaction in flight takes so long that new jobs are
// refused: much longer than the last one. A store that is slow but records in time is no
// reason to refuse.
func (o *Owner) commitTooSlow(now time.Duration) bool {
	return o.commitAge(now) > min(maxRefusalThreshold, max(minRefusalThreshold, 3*o.lastCommitTime/2))
}

// commitAge returns how long the transaction in flight has been running, or 0 if there is
// none.
func (o *Owner) commitAge(now time.Duration) time.Duration {
	start := time.Duration(o.inFlightSince.Load())
	if start == 0 {
		return 0
	}
	return now - start
}

// mayGiveOrders reports whether this owner may send orders: it had the cell so recently
// that no other host can have owned it for long.
func (o *Owner) mayGiveOrders(now time.Duration) bool {
	return o.ownedWithin(now, tenure.OwnerTimeout)
}

// ownedWithin reports whether this owner certainly had the cell less than bound ago. A
// process that is suspended while the answer to its transaction is on its way gets no more
// time by that.
func (o *Owner) ownedWithin(now, bound time.Duration) bool {
	return now-o.ledger.OwnedAt() < bound
}

// resign records the remaining changes and releases the cell.
func (o *Owner) resign(ctx context.Context) error {
	if o.committing {
		unrecorded, err := o.setApartRejected(<-o.commitResults)
		if err != nil {
			return err
		}
		o.completeCommit(unrecorded)
	}
	o.dispatch(ctx)
	o.queueNewJobReplies()
	changes, err := o.drainChanges(clock.Now())
	if err != nil {
		return err
	}
	effects := o.pendingEffects
	unrecorded, err := o.setApartRejected(o.ledger.Resign(ctx, changes))
	if err != nil {
		return err
	}
	o.resigned = true
	for _, e := range effects {
		e.apply(unrecorded)
	}
	confirmUnknown(o.unconfirmed)
	o.answerAllQueries()
	return nil
}

// prune removes final states whose retention period has ended.
func (o *Owner) prune(now time.Duration) {
	if now-o.lastPrune < pruneInterval {
		return
	}
	o.lastPrune = now
	oldest := time.Now().Add(-o.options.StatusRetention - time.Minute).UnixMilli()
	oldestPreCancelled := time.Now().Add(-min(o.options.StatusRetention, preCancelRetention)).UnixMilli()
	var old []string
	o.records.finished.forEach(func(id string, f finished) {
		if f.State == preCancelled {
			if f.At < oldestPreCancelled {
				old = append(old, id)
			}
			return
		}
		if f.At < oldest && !o.pendingFinal[id] && !o.records.jobs.hasRow(id) {
			old = append(old, id)
		}
	})
	for _, id := range old {
		o.records.finished.remove(id)
	}
	o.records.countPreCancelled()
}
