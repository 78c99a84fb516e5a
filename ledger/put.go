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
