package timer_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/timer"
)

func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		qt.Assert(t, timer.Sleep(ctx, time.Millisecond), qt.IsTrue)
		qt.Assert(t, timer.Sleep(ctx, time.Hour), qt.IsFalse)
		qt.Assert(t, time.Since(began), qt.Equals, time.Second)
	})
}

func TestEveryDropsTicksWhileRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
		defer cancel()
		began := time.Now()
		var calls []time.Duration
		timer.Every(ctx, 2*time.Second, func(now time.Time) {
			calls = append(calls, now.Sub(began))
			time.Sleep(5 * time.Second)
		})
		qt.Assert(t, calls, qt.DeepEquals, []time.Duration{2 * time.Second, 4 * time.Second, 8 * time.Second})
	})
}
