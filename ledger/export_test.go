package ledger

import (
	"context"
	"time"
)

// AcquireAt is Acquire with a clock of the test.
func AcquireAt(ctx context.Context, now func() time.Duration, store Store, cell, owner, incarnation string, earlier Lease) (*Ledger, error) {
	return acquire(ctx, now, store, cell, owner, incarnation, earlier)
}
