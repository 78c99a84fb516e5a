package caller

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/quantity"
	"github.com/vanillaquay/vanillaquay/task"
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
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return reject(CodeBodyTooLarge, "The body is larger than "+h.limits.Body.String()+".")
	case errors.Is(err, os.ErrDeadlineExceeded):
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
	work := body.Task(team, h.region)
	if err := work.Validate(); err != nil {
		a := task.Refusal(work.Key(), CodeBadWork, "The work is not valid: "+err.Error()+".", 0)
		return task.Work{}, &a
	}
	return work, nil
}
