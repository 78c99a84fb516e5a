package scheduler

import (
	"bytes"
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// learnedInterval is the interval at which a transaction also records what the cell has
	// learned.
	learnedInterval = 2 * time.Second
	learnedKey      = "learned"
)

// learnedRows is what the rows with learned values held when they were last written, by key.
type learnedRows map[string][]byte

// learnedChange returns the rows with what the cell has learned that are out of date, or nothing
// if the last ones were written too recently. Each row holds as many queues as fit.
func (o *Owner) learnedChange(now time.Duration) ([]ledger.Change, error) {
	if now-o.lastLearned < learnedInterval {
		return nil, nil
	}
	o.lastLearned = now
	var changes []ledger.Change
	written := learnedRows{}
	for i, l := range o.cell.Learned().Split(pageBytes) {
		value, err := codec.Marshal(l)
		if err != nil {
			return nil, errors.Annotate(err, "encoding what the cell has learned")
		}
		key := partKey(learnedKey, i)
		written[key] = value
		if !bytes.Equal(o.learned[key], value) {
			changes = append(changes, ledger.Change{Writes: []ledger.Row{{Table: ledger.LearnedTable, Part: o.options.Cell, Key: key, Value: value}}})
		}
	}
	for key := range o.learned {
		if _, ok := written[key]; !ok {
			changes = append(changes, ledger.Change{Removes: []ledger.Row{{Table: ledger.LearnedTable, Part: o.options.Cell, Key: key}}})
		}
	}
	o.learned = written
	return changes, nil
}

// recoverLearned loads what earlier owners learned. A row that can't be decoded is ignored, as
// all of it can be learned again.
func (o *Owner) recoverLearned(ctx context.Context) error {
	rows, _, err := ledger.ReadAll(ctx, o.store, ledger.LearnedTable, o.options.Cell)
	if err != nil {
		return err
	}
	for _, r := range rows {
		o.learned[r.Key] = r.Value
		var l cell.Learned
		if err := codec.Unmarshal(r.Value, &l); err != nil {
			o.log.WithField("why", err.Error()).Warn("scheduler: row of learned values ignored; they are learned again")
			continue
		}
		o.cell.RestoreLearned(l)
	}
	return nil
}
