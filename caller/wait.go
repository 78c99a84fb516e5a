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
	// placementMargin is when the decision gives up work that has not started, so
	// that its answer is in time.
	placementMargin        = time.Second
	placementMarginDivisor = 4
	// answerMargin is when the front answers by itself.
	answerMargin        = 25 * time.Millisecond
	answerMarginDivisor = 10
	// overdueWait is how long the owner may take to answer work whose deadline had
	// passed when it arrived.
	overdueWait = 500 * time.Millisecond
	// statusTimeout bounds the question for what is known by now.
	statusTimeout = 2 * time.Second
)

// callOwner makes a call. Where the final answer does not come in time, or the host
// stops and the work goes on without its caller, it tells what is known by now.
func (h *handler) callOwner(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work, wait, waitWhileStopping bool) task.Answer {
	_, bounded := ctx.Deadline()
	waitCtx, cancel := context.WithTimeout(ctx, time.Duration(h.limits.Wait))
	defer cancel()
	if wait && !waitWhileStopping {
		stop := h.cancelOnStop(waitCtx, cancel)
		defer stop()
	}
	a, err := h.owners.Call(waitCtx, verb, key, work, wait)
	if err == nil {
		return a
	}
	if bounded && ctx.Err() != nil {
		return unknownAnswer(key, CodeNoAnswer, "No answer came before the deadline; ask for the status.", decision.DefaultRetryAfter)
	}
	return h.currentStatus(ctx, verb, key, work)
}

// cancelOnStop ends a wait when the host begins to stop.
func (h *handler) cancelOnStop(ctx context.Context, cancel context.CancelFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-h.stopping:
			cancel()
		case <-ctx.Done():
		case <-done:
		}
	}()
	return func() { close(done) }
}

// currentStatus asks what is known of work by now. A submission is made again, since a
// question could overtake it.
func (h *handler) currentStatus(ctx context.Context, verb peer.CallVerb, key task.Key, work task.Work) task.Answer {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	if verb != peer.Submit {
		verb = peer.Status
	}
	work.FirstTry = false
	a, err := h.owners.Call(ctx, verb, key, work, false)
	if err != nil {
		return unknownAnswer(key, CodeNoAnswer, "No answer came in time; ask for the status.", decision.DefaultRetryAfter)
	}
	if !a.State.Final() {
		a.RetryAfter = decision.DefaultRetryAfter
	}
	return a
}
