package scheduler

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/tenure"
)

const (
	// commitPause is the least time between two transactions; it bounds calls to
	// the store at 40 a second, and adds some 12 ms to a start on average.
	commitPause = 25 * time.Millisecond
	// commitWeight is the weight of the past in the mean length of a transaction.
	commitWeight = 3
	// stallBound is how long the store may record nothing before an owner says so to the
	// other hosts, which take the cell if the store serves them.
	stallBound = 900 * time.Millisecond
	// leastRefusal is how long a transaction may take at least before new jobs are
	// refused: a store that is 100 times slower than usual takes 1 s, and records.
	leastRefusal = 1200 * time.Millisecond
	// mostRefusal bounds that time: callers wait 3 s, of which a job that comes now needs
	// the rest of this transaction and the next.
	mostRefusal = 1800 * time.Millisecond
	// stallRetry is when callers that were refused then may come back.
	stallRetry = time.Second
	// longestRetry bounds that time.
	longestRetry = 4 * time.Second
	// pruneInterval is the pause between two removals of old final states.
	pruneInterval = 2 * time.Second
)

// commitDue begins a transaction if there is something to record or the lease is
// due. If it is too early it returns how long to wait.
func (o *Owner) commitDue(ctx context.Context) (time.Duration, bool) {
	if o.committing {
		return 0, false
	}
	now := clock.Now()
	if o.records.empty() && len(o.effects) == 0 && len(o.fresh) == 0 && now-o.commitBegun < tenure.RenewalInterval {
		return 0, false
	}
	if wait := o.commitBegun + commitPause - now; wait > 0 {
		return wait, true
	}
	o.commit(ctx, now)
	return 0, false
}

func (o *Owner) commit(ctx context.Context, now time.Duration) {
	o.acceptFresh()
	changes, err := o.records.take()
	if err != nil {
		o.committed <- err
		return
	}
	o.underway, o.effects = o.effects, nil
	o.committing, o.commitBegun = true, now
	o.underWay.Store(int64(now))
	o.group.Add(1)
	go func() {
		defer o.group.Done()
		err := o.ledger.Append(ctx, changes)
		o.count.Commit.Record(clock.Now() - now)
		o.committed <- err
	}()
}

// release lets out what waited for the transaction that has succeeded.
func (o *Owner) release() {
	o.learnDelay(clock.Now() - o.commitBegun)
	o.committing = false
	o.underWay.Store(0)
	o.commitEnded.Store(int64(clock.Now()))
	for _, effect := range o.underway {
		effect()
	}
	o.underway, o.recording = nil, nil
}

// learnDelay takes the length of a transaction.
func (o *Owner) learnDelay(length time.Duration) {
	o.commitLast = length
	o.commitMean += (length - o.commitMean) / commitWeight
}

// recordDelay is how long a start that is placed now waits for its record: for the
// rest of the transaction under way, and then for its own.
func (o *Owner) recordDelay(now time.Duration) time.Duration {
	delay := o.commitMean + commitPause
	if o.committing {
		delay += max(0, o.commitBegun+o.commitMean-now)
	}
	return delay
}

// StoreStalled reports whether the store does not record for this owner. What gathered while
// the store is slow may take several transactions, each of which shows that it does.
func (o *Owner) StoreStalled() bool {
	now := clock.Now()
	return o.recordsFor(now) > stallBound && now-o.ledger.LastCommit() > stallBound
}

// stalled reports whether recording takes too long for new jobs: much longer than the last
// time. A slow store is no reason to refuse what it will record in time.
func (o *Owner) stalled(now time.Duration) bool {
	return o.recordsFor(now) > min(mostRefusal, max(leastRefusal, 3*o.commitLast/2))
}

// recordsFor returns for how long the transaction under way has been.
func (o *Owner) recordsFor(now time.Duration) time.Duration {
	begun := time.Duration(o.underWay.Load())
	if begun == 0 {
		return 0
	}
	return now - begun
}

// orderly reports whether this owner may give orders: nobody else can have had the
// cell for long.
func (o *Owner) orderly(now time.Duration) bool { return o.recordedWithin(now, tenure.OwnerTimeout) }

// recordedWithin reports whether the last transaction has succeeded a short time ago.
func (o *Owner) recordedWithin(now, bound time.Duration) bool {
	return now-time.Duration(o.commitEnded.Load()) < bound
}

// resign records what is left and gives the cell up.
func (o *Owner) resign(ctx context.Context) error {
	if o.committing {
		if err := <-o.committed; err != nil {
			return err
		}
		o.release()
	}
	o.dispatch(ctx)
	o.acceptFresh()
	changes, err := o.records.take()
	if err != nil {
		return err
	}
	effects := o.effects
	if err := o.ledger.Resign(ctx, changes); err != nil {
		return err
	}
	o.resigned = true
	for _, effect := range effects {
		effect()
	}
	return nil
}

// prune removes final states that need not be told any more.
func (o *Owner) prune(now time.Duration) {
	if now-o.pruned < pruneInterval {
		return
	}
	o.pruned = now
	oldest := time.Now().Add(-o.options.StatusRetention - time.Minute).UnixMilli()
	var old []string
	o.records.finished.each(func(id string, f finished) {
		if f.At < oldest && !o.pendingFinal[id] && !o.records.jobs.has(id) {
			old = append(old, id)
		}
	})
	for _, id := range old {
		o.records.finished.remove(id)
	}
}
