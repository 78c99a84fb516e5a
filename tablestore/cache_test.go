package tablestore_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// TestUnchangedContentIsNotSentAgain polls the lists and the configuration of a cell of
// 50 workers and checks that only changed content is received again.
func TestUnchangedContentIsNotSentAgain(t *testing.T) {
	server := platformstandin.New()
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	client := tablestore.NewClient(web.URL, 0)
	defer client.Close()
	ctx := context.Background()
	for i := range 50 {
		server.SetHost(tablestore.Host{ID: fmt.Sprintf("w%02d", i), Rack: "r1", Zone: "santiago", Region: "centro", Address: "127.0.0.1:1"})
		_, err := client.Put(ctx, fmt.Sprintf("owner/rack/r%02d", i), []byte(`{"Owner":"e1","Instance":"a","Epoch":1}`), 0)
		qt.Assert(t, err, qt.IsNil)
	}
	large := make([]byte, 4<<10)
	version, err := client.Put(ctx, "configuration", large, 0)
	qt.Assert(t, err, qt.IsNil)
	poll := func() int64 {
		before := client.ReceivedBytes()
		hosts, err := client.Workers(ctx)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, hosts, qt.HasLen, 50)
		rows, err := client.List(ctx, "owner/", "", 1000)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, rows, qt.HasLen, 50)
		row, err := client.Get(ctx, "configuration")
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, row.Version, qt.Equals, version)
		qt.Assert(t, row.Value, qt.HasLen, len(large))
		return client.ReceivedBytes() - before
	}
	first := poll()
	t.Logf("the first poll received %d bytes", first)
	for range 3 {
		qt.Assert(t, poll(), qt.Equals, int64(0))
	}
	version, err = client.Put(ctx, "configuration", large, version)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, poll(), qt.Equals, int64(len(large)))
	server.SetHost(tablestore.Host{ID: "w07", State: tablestore.Leaving})
	hosts, err := client.Workers(ctx)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, hosts[7].State, qt.Equals, tablestore.Leaving)
}
