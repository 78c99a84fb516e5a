package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// maxSubmissions is how often a caller sends its work at most.
	maxSubmissions = 8
	// retryStream is the stream of random numbers for those who come back.
	retryStream = 1 << 32
)

// isRefusal reports whether an answer says that the work did not run, or of a
// repeat that this try of it did not.
func isRefusal(a task.Answer, w *work) bool {
	return a.State == task.NotRun || a.State == task.Unknown && w.submissions > 1 && a.RetryAfter > 0 && w.undispatched == len(w.tasks)
}

// handleRefusal notes a refusal. The caller comes back after the time that it was told
// and up to a half of it more, if that is before its deadline.
func (r *run) handleRefusal(caller uint64, w *work, after time.Duration) {
	c := r.result.Classes[w.class]
	c.Refusals++
	c.MaxRefusalTime = max(c.MaxRefusalTime, r.now-w.lastSubmittedAt)
	if after <= 0 {
		c.WithoutRetryAfter++
	}
	pause := after + time.Duration(r.random.Int64N(int64(after)/2+1))
	late := w.item.Timeout > 0 && r.now+pause >= w.item.At+w.item.Timeout
	if after <= 0 || late || w.submissions >= maxSubmissions {
		c.Refused++
		r.markAnswered(w)
		return
	}
	w.awaitingRetry = true
	r.after(pause, func() { r.resubmit(caller, w) })
}

// resubmit sends work again that was refused.
func (r *run) resubmit(caller uint64, w *work) {
	if !w.awaitingRetry {
		return
	}
	w.awaitingRetry = false
	r.result.Classes[w.class].Retries++
	r.result.LastRetry = r.now
	r.submit(caller, w)
}
