package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"
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

// tryCommit sends a transaction once. If no answer arrives within the timeout it reads
// the head row. The row shows whether the transaction has taken effect, and the time of
// the read shows whether the answer is lost or the store is slow. A slow store must not
// be sent copies, which would only add to its load.
func (l *Ledger) tryCommit(ctx context.Context, t Transaction, id string) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, maxTimeout)
	defer cancel()
	start := time.Now()
	answers := make(chan commitResult, 1)
	go func() {
		version, err := l.store.Commit(ctx, t)
		answers <- commitResult{version: version, err: err}
	}()
	timer := time.NewTimer(l.timeout.duration())
	defer timer.Stop()
	select {
	case a := <-answers:
		return l.handleAnswer(start, a)
	case <-timer.C:
	}
	select {
	case a := <-answers:
		return l.handleAnswer(start, a)
	case r := <-l.readHead(ctx):
		if r.err != nil {
			break
		}
		if version, ok, err := committedVersion(r.rows, id); ok || err != nil {
			return version, err
		}
		if r.took < l.timeout.duration()/2 {
			return 0, errAnswerLost
		}
	}
	return l.handleAnswer(start, <-answers)
}

// readHead starts to read the head row.
func (l *Ledger) readHead(ctx context.Context) <-chan headReading {
	readings := make(chan headReading, 1)
	go func() {
		start := time.Now()
		page, err := l.store.Rows(ctx, HeadTable, l.cell, headKey, 1)
		readings <- headReading{rows: page.Rows, err: err, took: time.Since(start)}
	}()
	return readings
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
