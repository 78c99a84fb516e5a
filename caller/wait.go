package caller

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/task"
)

// Margins before a caller's deadline, and their largest share of the time that
// is left.
const (
	// placeMargin is when the decision gives up work that has not started, so
	// that its answer is in time.
	placeMargin = time.Second
	placeShare  = 4
	// answerMargin is when the front answers by itself.
	answerMargin = 25 * time.Millisecond
	answerShare  = 10
	// lateWait is how long the owner may take to answer work whose deadline had
	// passed when it arrived.
	lateWait = 500 * time.Millisecond
	// currentTimeout bounds the question for what is known by now.
	currentTimeout = 2 * time.Second
)

// wait makes a call. Where the final answer does not come in time, or the host
// stops and the work goes on without its caller, it tells what is known by now.
func (f *handler) wait(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait, finish bool) task.Answer {
	_, bounded := ctx.Deadline()
	waiting, cancel := context.WithTimeout(ctx, time.Duration(f.limits.Wait))
	defer cancel()
	if wait && !finish {
		stop := f.cancelOnStop(waiting, cancel)
		defer stop()
	}
	a, err := f.calls.Call(waiting, verb, key, work, wait)
	if err == nil {
		return a
	}
	if bounded && ctx.Err() != nil {
		return unknown(key, CodeNoAnswer, "No answer came before the deadline; ask for the status.", decision.DefaultRetryAfter)
	}
	return f.current(ctx, verb, key, work)
}

// cancelOnStop ends a wait when the host begins to stop.
func (f *handler) cancelOnStop(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-f.stopping:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// current asks what is known of work by now. A submission is made again, since a
// question could overtake it.
func (f *handler) current(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work) task.Answer {
	ctx, cancel := context.WithTimeout(ctx, currentTimeout)
	defer cancel()
	if verb != peer.Submit {
		verb = peer.Status
	}
	work.FirstTry = false
	a, err := f.calls.Call(ctx, verb, key, work, false)
	if err != nil {
		return unknown(key, CodeNoAnswer, "No answer came in time; ask for the status.", decision.DefaultRetryAfter)
	}
	if !a.State.Final() {
		a.RetryAfter = decision.DefaultRetryAfter
	}
	return a
}
