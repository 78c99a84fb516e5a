package transfer_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/transfer"
)

// serve answers with pieces of a body, and a pause before each.
func serve(t *testing.T, pieces int, pause time.Duration) *http.Request {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusOK)
		for range pieces {
			w.(http.Flusher).Flush()
			select {
			case <-time.After(pause):
			case <-r.Context().Done():
			}
			// The client may have disconnected.
			_, _ = w.Write([]byte("piece"))
		}
	}))
	t.Cleanup(server.Close)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL, nil)
	qt.Assert(t, err, qt.IsNil)
	return request
}

// TestProgressIsNotCutOff guards against an answer that is cut off, and sent again from its start,
// because all of it takes longer than a limit although it makes progress.
func TestProgressIsNotCutOff(t *testing.T) {
	limits := transfer.Limits{Header: 400 * time.Millisecond, Silence: 400 * time.Millisecond, Bytes: 1 << 20}
	r, err := transfer.Do(http.DefaultClient, serve(t, 12, 50*time.Millisecond), limits)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, r.Body, qt.HasLen, 60)
}

// TestSilenceIsCutOff guards against a call that waits for a sender that has gone silent.
func TestSilenceIsCutOff(t *testing.T) {
	limits := transfer.Limits{Header: time.Second, Silence: 50 * time.Millisecond, Bytes: 1 << 20}
	_, err := transfer.Do(http.DefaultClient, serve(t, 1, time.Minute), limits)
	qt.Assert(t, errors.Is(err, transfer.ErrSilent), qt.IsTrue)
	limits = transfer.Limits{Header: time.Second, Silence: time.Second, Total: 50 * time.Millisecond, Bytes: 1 << 20}
	r, err := transfer.Do(http.DefaultClient, serve(t, 100, 20*time.Millisecond), limits)
	qt.Assert(t, errors.Is(err, transfer.ErrSilent), qt.IsTrue)
	qt.Assert(t, len(r.Body) > 0, qt.IsTrue)
}
