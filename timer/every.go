package timer

import (
	"context"
	"time"
)

// Every calls a function once per interval until the context ends. A tick that falls
// due while the function runs is delayed until it returns; further ones are dropped.
func Every(ctx context.Context, interval time.Duration, call func(now time.Time)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			call(now)
		}
	}
}
