package platformstandin_test

import (
	"bytes"
	"encoding/base64"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// A host must receive rewritten addresses, and everything else unchanged.
func TestRewriteAddresses(t *testing.T) {
	rows := platformstandin.NewRows()
	rows.Put("servers", "w1", []byte("at 127.9.100.1:1, or 127.9.100.2:1"))
	h := platformstandin.RewriteAddresses(rows.Handler(), "127.9.100.", "127.9.101.")
	for _, path := range []string{"/vanillaquay/rows-get?table=servers", "/vanillaquay/rows-feed?table=servers"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		qt.Assert(t, w.Code, qt.Equals, http.StatusOK)
		shown := base64.StdEncoding.EncodeToString([]byte("at 127.9.101.1:1, or 127.9.101.2:1"))
		qt.Assert(t, bytes.Contains(w.Body.Bytes(), []byte(shown)), qt.IsTrue)
		qt.Assert(t, bytes.Contains(w.Body.Bytes(), []byte(`"ver":1`)), qt.IsTrue)
	}
	rows.UpdateFaults(func(f *platformstandin.RowFaults) { f.Down = true })
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/vanillaquay/rows-get?table=servers", nil))
	qt.Assert(t, w.Code, qt.Equals, http.StatusServiceUnavailable)
}
