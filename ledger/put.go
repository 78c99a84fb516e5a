package ledger

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/timer"
)

// Put writes a row unconditionally. It retries, with a pause, until the store accepts the
// row, and reports false if the context ends first.
func Put(ctx context.Context, store Store, row Row, pause time.Duration) bool {
	for {
		if _, err := store.Commit(ctx, Transaction{Writes: []Row{row}}); err == nil {
			return true
		}
		if !timer.Sleep(ctx, pause) {
			return false
		}
	}
}

// PutUnlessFinal writes a row, unless the present one is final: then it keeps that. A writer
// that was suspended after it read the row does not replace what was written since. It retries,
// with a pause, and reports false if the context ends first.
func PutUnlessFinal(ctx context.Context, store Store, row Row, pause time.Duration, isFinal func(value []byte) bool) bool {
	for {
		if err := tryPutUnlessFinal(ctx, store, row, isFinal); err == nil {
			return true
		}
		if !timer.Sleep(ctx, pause) {
			return false
		}
	}
}

func tryPutUnlessFinal(ctx context.Context, store Store, row Row, isFinal func(value []byte) bool) error {
	page, err := store.Rows(ctx, row.Table, row.Part, row.Key, 1)
	if err != nil {
		return err
	}
	expected := Row{Table: row.Table, Part: row.Part, Key: row.Key}
	if len(page.Rows) > 0 && page.Rows[0].Key == row.Key {
		if isFinal(page.Rows[0].Value) {
			return nil
		}
		expected.Version = page.Rows[0].Version
	}
	_, err = store.Commit(ctx, Transaction{Expected: []Row{expected}, Writes: []Row{row}})
	return err
}
