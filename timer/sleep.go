package timer

import (
	"context"
	"time"
)

// Sleep waits for the given duration. It returns early with false if the context ends
// first, and true otherwise.
func Sleep(ctx context.Context, duration time.Duration) bool {
	t := time.NewTimer(duration)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
