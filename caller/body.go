package caller

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/budget"
	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/server"
	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// decodeCostRatio is the memory that decoding a body takes, as a multiple of its size: package
	// json holds the text once more in a buffer that grows, and the payload.
	decodeCostRatio = 4
	// workCostRatio is the memory that a request takes until it is answered, as a multiple of its
	// payload, which is encoded for its owner, and workBytes, in bytes, what the rest of it takes.
	workCostRatio = 3
	workBytes     = 4 << 10
	// overloadRetryAfter is when callers should come back whose request found no memory. Requests
	// that do not arrive are dropped within some seconds.
	overloadRetryAfter = time.Second
)

// deadlines sets the deadlines of one connection. Errors are ignored, since the
// response writers of tests support no deadlines.
type deadlines struct{ controller *http.ResponseController }

func (h *handler) connectionDeadlines(w http.ResponseWriter) deadlines {
	return deadlines{http.NewResponseController(w)}
}

func (d deadlines) setRead(timeout quantity.Duration) {
	_ = d.controller.SetReadDeadline(time.Now().Add(time.Duration(timeout)))
}

func (d deadlines) clearRead() { _ = d.controller.SetReadDeadline(time.Time{}) }

func (d deadlines) setWrite(timeout quantity.Duration) {
	_ = d.controller.SetWriteDeadline(time.Now().Add(time.Duration(timeout)))
}

// parseSubmission reads a submission, or returns an answer that says why it is invalid.
// An invalid submission never runs.
func (h *handler) parseSubmission(w http.ResponseWriter, r *http.Request, team string) (task.Work, *task.Answer) {
	reject := func(code, reason string) (task.Work, *task.Answer) {
		a := task.Refusal(task.Key{Team: team}, code, reason, 0)
		return task.Work{}, &a
	}
	limit := int64(h.limits.Body)
	if r.ContentLength > limit {
		// Close the connection instead of reading the rest of the body.
		w.Header().Set("Connection", "close")
		return reject(CodeBodyTooLarge, "The body is larger than "+h.limits.Body.String()+".")
	}
	h.connectionDeadlines(w).setRead(h.limits.BodyTimeout)
	data, err := budget.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	charge, cost := budget.FromContext(r.Context()), decodeCostRatio*int64(len(data))
	if err == nil && !charge.Reserve(cost) {
		err = server.ErrDropped
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, server.ErrDropped):
		// An earlier try with the same ID may have run.
		a := unknownAnswer(task.Key{Team: team}, CodeHostOverloaded, "The entry host has no memory for the request now.", overloadRetryAfter)
		return task.Work{}, &a
	case errors.As(err, &tooLarge):
		return reject(CodeBodyTooLarge, "The body is larger than "+h.limits.Body.String()+".")
	case errors.Is(err, server.ErrTooSlow) || errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return reject(CodeBodyTimeout, "The body did not arrive within "+h.limits.BodyTimeout.String()+".")
	case err != nil:
		return reject(CodeBadBody, "The body was cut short.")
	}
	h.connectionDeadlines(w).clearRead()
	var body Work
	if err := quantity.DecodeStrict(data, &body); err != nil {
		return reject(CodeBadBody, "The body is not valid: "+err.Error()+".")
	}
	charge.Shrink(min(cost, workCostRatio*int64(len(body.Payload))+workBytes))
	work := body.Task(team, h.region)
	if err := work.Validate(); err != nil {
		a := task.Refusal(work.Key(), CodeBadWork, "The work is not valid: "+err.Error()+".", 0)
		return task.Work{}, &a
	}
	return work, nil
}
