package caller

import (
	"context"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/task"
)

// Margins before a caller's deadline. Each is at most the remaining time divided by its
// divisor.
const (
	// placementMargin brings forward the deadline that the owner receives, so that work
	// that has not started by then is answered in time.
	placementMargin        = time.Second
	placementMarginDivisor = 4
	// answerMargin is how long before the deadline the entry host answers by itself.
	answerMargin        = 25 * time.Millisecond
	answerMarginDivisor = 10
	// overdueWait is the wait for the owner's answer if the deadline had passed when
	// the work arrived.
	overdueWait = 500 * time.Millisecond
	// statusTimeout bounds a query for the current state.
	statusTimeout = 2 * time.Second
)

// callOwner makes a call. If the final answer does not come in time, or the host stops
// while work continues without its caller, it returns the current state instead.
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

// cancelOnStop cancels a wait when the host begins to stop.
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

// currentStatus queries the current state of work. A submission is sent again, since a
// status query could overtake the first one.
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
