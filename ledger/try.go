package ledger

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errAnswerLost tells that a store of usual speed has not answered a transaction, which
// has not taken effect so far.
const errAnswerLost = errors.ConstError("the answer to a transaction is lost")

// answer is what a store says to a transaction.
type answer struct {
	version Version
	err     error
}

// reading is a look at the head row.
type reading struct {
	rows []Row
	err  error
	took time.Duration
}

// try sends a transaction once. If no answer comes in the usual time it looks at the
// head row, which tells whether the transaction has taken effect, and by its own speed
// whether the answer is lost or the store is slow: copies would keep a slow one busy.
func (l *Ledger) try(ctx context.Context, t Transaction, number string) (Version, error) {
	ctx, cancel := context.WithTimeout(ctx, mostPatience)
	defer cancel()
	begun := time.Now()
	answers := make(chan answer, 1)
	go func() {
		version, err := l.store.Commit(ctx, t)
		answers <- answer{version: version, err: err}
	}()
	usual := time.NewTimer(l.patience.length())
	defer usual.Stop()
	select {
	case a := <-answers:
		return l.answered(begun, a)
	case <-usual.C:
	}
	select {
	case a := <-answers:
		return l.answered(begun, a)
	case r := <-l.look(ctx):
		if r.err != nil {
			break
		}
		if version, ok, err := written(r.rows, number); ok || err != nil {
			return version, err
		}
		if r.took < l.patience.length()/2 {
			return 0, errAnswerLost
		}
	}
	return l.answered(begun, <-answers)
}

// look reads the head row.
func (l *Ledger) look(ctx context.Context) <-chan reading {
	readings := make(chan reading, 1)
	go func() {
		begun := time.Now()
		page, err := l.store.Rows(ctx, HeadTable, l.cell, headKey, 1)
		readings <- reading{rows: page.Rows, err: err, took: time.Since(begun)}
	}()
	return readings
}

// answered learns the pace of the store from an answer.
func (l *Ledger) answered(begun time.Time, a answer) (Version, error) {
	var conflict *ConflictError
	if a.err == nil || errors.As(a.err, &conflict) {
		l.patience.learn(time.Since(begun))
	}
	return a.version, a.err
}
