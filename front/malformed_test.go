package front_test

import (
	"fmt"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/ledger"
)

// garbage holds row values that another writer may leave.
var garbage = []string{``, `garbled`, "\xff\x00", `[]`, `{}`, `{"service":7}`, `{"service":"s","addr":"x y","state":"ready"}`,
	`{"service":"s","addr":"x:1","state":"ready","capacity":{"mem_mb":17592186044416}}`, `{"version":-1,"routes":7}`, `{"wave":-1,"machines":7}`}

// Every watched table has rows that can't be decoded, in its first list and among its
// changes. They must not affect the valid rows.
func TestMalformedRowsAreSkipped(t *testing.T) {
	d := deploy(t, 2, 2, 200*time.Millisecond)
	put := func(round string) {
		for i, value := range garbage {
			d.rows.Put("servers", fmt.Sprintf("a-%s-%d", round, i), []byte(value))
			d.rows.Put("op", fmt.Sprintf("wave/%s%d", round, i), []byte(value))
			d.rows.Put("op", "config", []byte(value))
			d.rows.Put(ledger.MemberTable, fmt.Sprintf("a-%s-%d", round, i), []byte(value))
		}
	}
	put("1")
	d.submit(d.hosts[0], "plain", 1, 4)
	d.awaitDone(d.hosts[1], "plain", 1, 2)
	d.await("a warning", func() bool { return strings.Contains(d.hosts[0].output.String(), "configuration ignored") })
	// The next owner reads the malformed rows in its first lists.
	owner := d.owner()
	other := d.other(owner)
	owner.kill()
	put("2")
	d.submit(other, "plain", 2, 4)
	d.awaitDone(other, "plain", 1, 3)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 8)
}

// One worker answers with lists that can't be decoded. Nothing must be placed there, and
// the other workers must run all jobs.
func TestWorkerWithMalformedListsIsNotUsed(t *testing.T) {
	d := deploy(t, 1, 2, 200*time.Millisecond)
	odd := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		// The caller may have closed the connection.
		_, _ = w.Write([]byte(`{"clock_ms":1,"running":[["a.b",1,"",0]],"ended":[[0]]}`))
	}))
	t.Cleanup(odd.CloseClientConnections)
	d.rows.Put("servers", "odd", []byte(fmt.Sprintf(
		`{"service":"s","addr":%q,"zone":"z","state":"ready","capacity":{"cpu":64000,"mem_mb":64000},"labels":["a","r1"],"born":5}`, strings.TrimPrefix(odd.URL, "http://"))))
	for n := range 10 {
		d.submit(d.hosts[0], "plain", n, 4)
	}
	d.awaitDone(d.hosts[0], "plain", 0, 10)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 40)
}

// Malformed and valid calls arrive at the same time. The malformed ones must be refused and
// the valid ones accepted.
func TestMalformedCallsAreRefusedAlone(t *testing.T) {
	d := deploy(t, 2, 2, 100*time.Millisecond)
	d.submit(d.hosts[0], "plain", 0, 1)
	malformed := []string{`garbled`, `{"steps":[{"replicas":1,"after":[0]}]}`, `{"steps":[{"replicas":1000000000}]}`,
		`{"steps":[{"replicas":1}],"repeats":1000000000,"interval_ms":1}`, `{"steps":[{"replicas":1,"mem_mb":17592186044416}]}`}
	const jobs = 20
	refused, accepted := make(chan int, jobs), make(chan int, jobs)
	for n := range jobs {
		go func() {
			status, _ := d.call(d.hosts[n%2], http.MethodPost, path("plain", 1000+n), malformed[n%len(malformed)])
			refused <- status
		}()
		go func() {
			status, _ := d.call(d.hosts[n%2], http.MethodPost, path("plain", 1+n), jobBody(1))
			accepted <- status
		}()
	}
	for range jobs {
		qt.Check(t, <-refused, qt.Equals, http.StatusBadRequest)
		qt.Check(t, <-accepted, qt.Equals, http.StatusOK)
	}
	for _, id := range []string{"%ff", "5c", "5c0e.a21d.4b36f8"} {
		status, _ := d.call(d.other(d.owner()), http.MethodGet, "/plain/"+id, "")
		qt.Check(t, status, qt.Equals, http.StatusGone)
	}
	d.awaitDone(d.hosts[0], "plain", 0, 1+jobs)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 1+jobs)
}

// memberRow returns a row of an entry host.
func memberRow(f testing.TB, key string, fields map[int]any) ledger.Row {
	value, err := codec.Marshal(fields)
	qt.Assert(f, err, qt.IsNil)
	return ledger.Row{Table: ledger.MemberTable, Key: key, Value: value}
}

// A row states a number of processors that no host has. Hosts compare themselves with the largest
// known one, so that none would seem capable of owning the cell.
func TestMemberWithOddProcessorsIsIgnored(t *testing.T) {
	sound := memberRow(t, "h1", map[int]any{1: "10.0.0.1:1", 5: 0.5})
	for _, processors := range []any{math.NaN(), math.Inf(1), math.Inf(-1), 1e300, -1.0, "1", uint64(math.MaxUint64), []any{1}} {
		listed, changed := front.ListMembers([]ledger.Row{sound, memberRow(t, "odd", map[int]any{1: "10.0.0.2:1", 5: processors})})
		qt.Check(t, listed, qt.DeepEquals, []string{"h1"}, qt.Commentf("%v", processors))
		qt.Check(t, changed, qt.DeepEquals, []string{"h1"}, qt.Commentf("%v", processors))
	}
}

// FuzzMembers decodes arbitrary bytes as the row of a host, between two valid rows, which
// must be kept.
func FuzzMembers(f *testing.F) {
	first := memberRow(f, "h1", map[int]any{1: "10.0.0.1:1", 2: "z", 3: "r", 4: "i", 5: 0.5})
	last := memberRow(f, "h3", map[int]any{1: "10.0.0.3:1"})
	f.Add(first.Value)
	f.Add(memberRow(f, "h2", map[int]any{1: "", 5: -1e300}).Value)
	f.Add([]byte{0xbf, 0xff})
	f.Add([]byte{0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, value []byte) {
		listed, changed := front.ListMembers([]ledger.Row{first, {Table: ledger.MemberTable, Key: "h2", Value: value}, last})
		for _, names := range [][]string{listed, changed} {
			if len(names) < 2 || names[0] != "h1" || names[len(names)-1] != "h3" {
				t.Fatalf("members %q", names)
			}
		}
	})
}
