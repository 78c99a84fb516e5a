package tablestore_test

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/proxytest"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// startServer starts a stand-in of the platform and returns it with a client whose
// timeout is short.
func startServer(t *testing.T) (*platformstandin.Server, *tablestore.Client) {
	s := platformstandin.New()
	server := httptest.NewServer(s.Handler())
	t.Cleanup(server.Close)
	client := tablestore.NewClient(server.URL, 400*time.Millisecond)
	t.Cleanup(client.Close)
	return s, client
}

// TestWriteOutcomeUnderFaults checks, for each fault of the platform, that the client
// reports correctly whether the outcome of a write is certain, and that it sends the
// write only once.
func TestWriteOutcomeUnderFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		faults  platformstandin.Faults
		want    error
		present bool
		writes  int64
	}{
		{"Healthy", platformstandin.Faults{}, nil, true, 1},
		{"Down", platformstandin.Faults{TableDown: true}, tablestore.ErrUnavailable, false, 1},
		{"Hangs", platformstandin.Faults{TableHangs: true}, tablestore.ErrUnknown, false, 1},
		{"WritesHang", platformstandin.Faults{WritesHang: true}, tablestore.ErrUnknown, true, 1},
		{"LostAnswer", platformstandin.Faults{LoseAnswers: 1}, tablestore.ErrUnknown, true, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			server, client := startServer(t)
			server.SetFaults(test.faults)
			_, err := client.Put(context.Background(), "a", []byte("x"), 0)
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(client.Writes(), qt.Equals, test.writes)
			server.SetFaults(platformstandin.Faults{})
			row, err := client.Get(context.Background(), "a")
			c.Assert(err, qt.IsNil)
			c.Check(row.Version != 0, qt.Equals, test.present)
		})
	}
}

func TestWriteWithoutConnectionHasNoEffect(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address := l.Addr().String()
	c.Assert(l.Close(), qt.IsNil)
	client := tablestore.NewClient("http://"+address, time.Second)
	_, err = client.Put(context.Background(), "a", nil, 0)
	c.Assert(errors.Is(err, tablestore.ErrUnavailable), qt.IsTrue, qt.Commentf("%v", err))
}

// TestWriteOverLimitHasNoEffect checks that a write rejected by the platform's rate
// limit is reported as unavailable and has no effect.
func TestWriteOverLimitHasNoEffect(t *testing.T) {
	c := qt.New(t)
	server, client := startServer(t)
	server.SetFaults(platformstandin.Faults{WritesPerSecond: 1})
	refused := 0
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := client.Put(context.Background(), key, nil, 0)
		if errors.Is(err, tablestore.ErrUnavailable) {
			refused++
		}
	}
	rows, err := client.List(context.Background(), "", "", 10)
	c.Assert(err, qt.IsNil)
	c.Assert(refused > 0, qt.IsTrue)
	c.Assert(rows, qt.HasLen, 4-refused)
}

// TestReadRetriesOverNewConnection freezes the existing connection while new ones
// work. The read must time out on the old connection and succeed over a new one.
func TestReadRetriesOverNewConnection(t *testing.T) {
	c := qt.New(t)
	server := platformstandin.New()
	web := httptest.NewServer(server.Handler())
	defer web.Close()
	proxy := proxytest.New(t, web.Listener.Addr().String())
	defer proxy.Close()
	client := tablestore.NewClient("http://"+proxy.Address(), 2*time.Second)
	defer client.Close()
	_, err := client.Put(context.Background(), "a", []byte("x"), 0)
	c.Assert(err, qt.IsNil)
	proxy.Blackhole(false, true)
	start := time.Now()
	row, err := client.Get(context.Background(), "a")
	c.Assert(err, qt.IsNil)
	c.Assert(string(row.Value), qt.Equals, "x")
	t.Logf("read succeeded after %v", time.Since(start))
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue)
}
