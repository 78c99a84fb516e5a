package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// maxSubmissions is the maximum number of times a caller submits its work.
	maxSubmissions = 8
	// retryStream selects the random numbers that spread retries.
	retryStream = 1 << 32
)

// isRefusal reports whether an answer says that the work did not run. An
// unknown outcome of a resubmission also counts if it has a retry time and no
// task of the work was ever dispatched.
func isRefusal(a task.Answer, w *work) bool {
	return a.State == task.NotRun || a.State == task.Unknown && w.submissions > 1 && a.RetryAfter > 0 && w.undispatched == len(w.tasks)
}

// handleRefusal counts a refusal and schedules the caller's retry, after the
// given time plus a random part of up to half of it. The caller gives up if
// that is past its deadline, no time was given or maxSubmissions is reached.
func (r *run) handleRefusal(caller uint64, w *work, after time.Duration) {
	c := r.result.Classes[w.class]
	c.Refusals++
	c.MaxRefusalTime = max(c.MaxRefusalTime, r.now-w.lastSubmittedAt)
	if after <= 0 {
		c.WithoutRetryAfter++
	}
	delay := after + time.Duration(r.random.Int64N(int64(after)/2+1))
	pastDeadline := w.item.Timeout > 0 && r.now+delay >= w.item.At+w.item.Timeout
	if after <= 0 || pastDeadline || w.submissions >= maxSubmissions {
		c.Refused++
		r.markAnswered(w)
		return
	}
	w.awaitingRetry = true
	r.after(delay, func() { r.resubmit(caller, w) })
}

// resubmit submits refused work again.
func (r *run) resubmit(caller uint64, w *work) {
	if !w.awaitingRetry {
		return
	}
	w.awaitingRetry = false
	r.result.Classes[w.class].Retries++
	r.result.LastRetry = r.now
	r.submit(caller, w)
}
