package worker_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"

	"github.com/vanillaquay/vanillaquay/worker"
)

// readBody returns the body of a request and restores it for the next reader. Of
// a truncated body it returns the part received.
func readBody(r *http.Request) string {
	body := new(strings.Builder)
	_, _ = io.Copy(body, r.Body)
	r.Body = io.NopCloser(strings.NewReader(body.String()))
	return body.String()
}

// hasStart reports whether a request is a batch with a start. It decodes the
// commands, since the field StartBy is present in batches without a start too.
func hasStart(r *http.Request) bool {
	var b worker.Batch
	if r.URL.Path != worker.CommandsPath || json.Unmarshal([]byte(readBody(r)), &b) != nil {
		return false
	}
	return slices.ContainsFunc(b.Commands, func(c worker.Command) bool { return c.Verb == worker.Start })
}

// loseAnswersToStarts forwards every call, but closes the connection instead of
// answering a batch with a start. Other answers are delivered, so that the link
// gets as far as sending the start.
func loseAnswersToStarts(next http.Handler, w http.ResponseWriter, r *http.Request) {
	if !hasStart(r) {
		next.ServeHTTP(w, r)
		return
	}
	next.ServeHTTP(httptest.NewRecorder(), r)
	panic(http.ErrAbortHandler)
}
