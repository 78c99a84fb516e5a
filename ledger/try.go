package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/timer"
)

// errAnswerLost means that a store of usual speed has not answered a transaction in time,
// and that the transaction had not taken effect when this was checked.
const errAnswerLost = errors.ConstError("transaction not answered in time and not applied so far")

// commitResult is the answer of the store to a transaction.
type commitResult struct {
	version Version
	err     error
}

// headReading is the result of reading the head row.
type headReading struct {
	rows []Row
	err  error
	took time.Duration
}

const (
	// headReadInterval is the interval at which the head row is read while a transaction is
	// not answered. A store that was silent never answers the calls of that time; it is
	// known to be back as soon as a later read succeeds.
	headReadInterval = 200 * time.Millisecond
	// headReadTimeout bounds such a read. A store that is 100 times slower than usual takes
	// 400 ms for one.
	headReadTimeout = 600 * time.Millisecond
)

// tryCommit sends a transaction once. If no answer arrives within the timeout it reads
// the head row, again and again until one read succeeds. The row shows whether the
// transaction has taken effect, and the time of the read shows whether the answer is lost
// or the store is slow. A slow store must not be sent copies, which would only add to its
// load.
func (l *Ledger) tryCommit(ctx context.Context, t Transaction, id string) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	start := time.Now()
	answers := make(chan commitResult, 1)
	go func() {
		version, err := l.store.Commit(ctx, t)
		answers <- commitResult{version: version, err: err}
	}()
	overdue := time.NewTimer(l.timeout.duration())
	defer overdue.Stop()
	select {
	case a := <-answers:
		return l.handleAnswer(start, a)
	case <-overdue.C:
	}
	select {
	case a := <-answers:
		return l.handleAnswer(start, a)
	case r := <-l.readHeadUntilAnswered(ctx):
		if version, ok, err := committedVersion(r.rows, id); ok || err != nil {
			return version, err
		}
		if r.took < l.timeout.duration()/2 {
			return 0, errAnswerLost
		}
	}
	return l.handleAnswer(start, <-answers)
}

// readHeadUntilAnswered reads the head row at intervals until the context ends, and returns
// the first successful reading.
func (l *Ledger) readHeadUntilAnswered(ctx context.Context) <-chan headReading {
	readings := make(chan headReading, 1)
	ctx, succeeded := context.WithCancel(ctx)
	go func() {
		defer succeeded()
		for ok := true; ok; ok = timer.Sleep(ctx, headReadInterval) {
			go func() {
				if r := l.readHead(ctx); r.err == nil {
					select {
					case readings <- r:
						succeeded()
					default:
					}
				}
			}()
		}
	}()
	return readings
}

// readHead reads the head row once.
func (l *Ledger) readHead(ctx context.Context) headReading {
	ctx, cancel := context.WithTimeout(ctx, headReadTimeout)
	defer cancel()
	start := time.Now()
	page, err := l.store.Rows(ctx, HeadTable, l.cell, headKey, 1)
	return headReading{rows: page.Rows, err: err, took: time.Since(start)}
}

// handleAnswer returns the answer of the store, and updates the timeout if the
// transaction was committed or met a conflict.
func (l *Ledger) handleAnswer(start time.Time, a commitResult) (Version, error) {
	var conflict *ConflictError
	if a.err == nil || errors.As(a.err, &conflict) {
		l.timeout.observe(time.Since(start))
	}
	return a.version, a.err
}
