package tablestore_test

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// FuzzAnswers responds to each call with the same status, entity tag and body. The
// client must return a value or one of the package's errors, and must not report a
// write that the platform acknowledged as certainly failed.
func FuzzAnswers(f *testing.F) {
	f.Add(http.StatusOK, `"7"`, []byte(`[{"Key":"a","Version":1,"Value":"eA=="}]`))
	f.Add(http.StatusOK, `"x"`, []byte(`[{"ID":"w1","State":"Live"}]`))
	f.Add(http.StatusCreated, ``, []byte(`{`))
	f.Add(http.StatusOK, `"0"`, []byte(`[]`))
	f.Add(http.StatusNotFound, ``, []byte(nil))
	f.Add(http.StatusPreconditionFailed, `"7"`, []byte(nil))
	f.Add(http.StatusInternalServerError, ``, []byte(`oops`))
	var status int
	var tag string
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", tag)
		w.WriteHeader(status)
		// The client may have closed the connection; that is not a failure.
		_, _ = w.Write(body)
	}))
	f.Cleanup(server.Close)
	client := tablestore.NewClient(server.URL, tablestore.DefaultTimeout)
	f.Cleanup(client.Close)
	f.Fuzz(func(t *testing.T, s int, e string, b []byte) {
		// Other statuses are not final, or the server cannot send them.
		status, tag, body = 200+((s-200)%400+400)%400, e, bytes.Clone(b)
		ctx := context.Background()
		checkReads(ctx, t, client)
		checkWrites(ctx, t, client, status)
	})
}

func checkReads(ctx context.Context, t *testing.T, client *tablestore.Client) {
	row, err := client.Get(ctx, "a")
	if err == nil && row.Key != "a" {
		t.Errorf("Get: row of key %q", row.Key)
	}
	_, listErr := client.List(ctx, "", "", 10)
	_, workersErr := client.Workers(ctx)
	_, readErr := client.Read(ctx, "a")
	for _, err := range []error{err, listErr, workersErr, readErr} {
		if err != nil && !errors.Is(err, tablestore.ErrUnavailable) && !errors.Is(err, errors.NotFound) {
			t.Errorf("read: %v is not one of the package's errors", err)
		}
	}
}

func checkWrites(ctx context.Context, t *testing.T, client *tablestore.Client, status int) {
	_, err := client.Put(ctx, "a", []byte("x"), 1)
	for _, err := range []error{err, client.Delete(ctx, "a", 1), client.Write(ctx, "a", []byte("x"))} {
		certain := errors.Is(err, tablestore.ErrConflict) || errors.Is(err, tablestore.ErrUnavailable)
		if err != nil && !certain && !errors.Is(err, tablestore.ErrUnknown) {
			t.Errorf("write, status %d: %v is not one of the package's errors", status, err)
		}
		if certain && status < 300 {
			t.Errorf("write, status %d: reported as a certain failure: %v", status, err)
		}
	}
}
