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

// deadlines sets the deadlines of one connection. A connection that has none,
// as in a test, is left alone.
type deadlines struct{ controller *http.ResponseController }

func (f *handler) deadline(w http.ResponseWriter) deadlines {
	return deadlines{http.NewResponseController(w)}
}

func (d deadlines) read(length quantity.Duration) {
	_ = d.controller.SetReadDeadline(time.Now().Add(time.Duration(length)))
}

func (d deadlines) readForever() { _ = d.controller.SetReadDeadline(time.Time{}) }

func (d deadlines) write(length quantity.Duration) {
	_ = d.controller.SetWriteDeadline(time.Now().Add(time.Duration(length)))
}

// parse reads a submission, or returns the answer that tells what is wrong. The
// content of such a submission never runs.
func (f *handler) parse(w http.ResponseWriter, r *http.Request, team string) (task.Work, *task.Answer) {
	refuse := func(code, reason string) (task.Work, *task.Answer) {
		a := task.Refusal(task.Key{Team: team}, code, reason, 0)
		return task.Work{}, &a
	}
	limit := int64(f.limits.Body)
	if r.ContentLength > limit {
		// The rest of the body is not worth reading.
		w.Header().Set("Connection", "close")
		return refuse(CodeBodyTooLarge, "The body is larger than "+f.limits.Body.String()+".")
	}
	f.deadline(w).read(f.limits.BodyTimeout)
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return refuse(CodeBodyTooLarge, "The body is larger than "+f.limits.Body.String()+".")
	case errors.Is(err, os.ErrDeadlineExceeded):
		w.Header().Set("Connection", "close")
		return refuse(CodeBodyTimeout, "The body did not arrive within "+f.limits.BodyTimeout.String()+".")
	case err != nil:
		return refuse(CodeBadBody, "The body was cut short.")
	}
	f.deadline(w).readForever()
	var body Work
	if err := quantity.DecodeStrict(data, &body); err != nil {
		return refuse(CodeBadBody, "The body is not valid: "+err.Error()+".")
	}
	work := body.Task(team, f.region)
	if err := work.Validate(); err != nil {
		a := task.Refusal(work.Key(), CodeBadWork, "The work is not valid: "+err.Error()+".", 0)
		return task.Work{}, &a
	}
	return work, nil
}
