package scheduler

import (
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

// learnedChange returns the row with what the cell has learned, or nothing if the last one
// was written too recently.
func (o *Owner) learnedChange(now time.Duration) ([]ledger.Change, error) {
	if now-o.lastLearned < learnedInterval {
		return nil, nil
	}
	o.lastLearned = now
	value, err := codec.Marshal(o.cell.Learned())
	if err != nil {
		return nil, errors.Annotate(err, "encoding what the cell has learned")
	}
	row := ledger.Row{Table: ledger.LearnedTable, Part: o.options.Cell, Key: learnedKey, Value: value}
	return []ledger.Change{{Writes: []ledger.Row{row}}}, nil
}

// recoverLearned loads what earlier owners learned. A row that can't be decoded is ignored, as
// all of it can be learned again.
func (o *Owner) recoverLearned(ctx context.Context) error {
	rows, _, err := ledger.ReadAll(ctx, o.store, ledger.LearnedTable, o.options.Cell)
	if err != nil {
		return err
	}
	for _, r := range rows {
		var l cell.Learned
		if err := codec.Unmarshal(r.Value, &l); err != nil {
			o.log.WithField("why", err.Error()).Warn("scheduler: row of learned values ignored; they are learned again")
			continue
		}
		o.cell.RestoreLearned(l)
	}
	return nil
}
