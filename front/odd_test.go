package front_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// announcementOf returns a valid announcement with further fields, which replace earlier ones
// of the same name.
func announcementOf(address, more string) string {
	return fmt.Sprintf(`{"service":"s","addr":%q,"zone":"z","slots":8,"state":"ready","capacity":{"cpu":8000,"mem_mb":8000},"labels":["a","r1"],"born":5,"seq":1%s}`, address, more)
}

// oddEntries holds the values of entries that announce no worker, and of some that do but can't
// be reached.
func oddEntries() []string {
	nested := func(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }
	long := strings.Repeat("x", 40_000)
	entries := []string{``, "\xff\x00\xfe", `null`, `{}`, nested(10_001), nested(20_000), strings.Repeat(`{"a":`, 9_000), long}
	for _, address := range []string{"127.0.0.1:99999", ":0", ":1", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1", "[::1]", "[::1]:70000", "u@127.0.0.1:1", "127.0.0.1:1/x", "127.0.0.1:1 ", "127.0.0.1:1\n", long} {
		entries = append(entries, announcementOf(address, ""))
	}
	for _, more := range []string{
		`"capacity":{"cpu":1e400}`, `"capacity":{"cpu":1e30}`, `"capacity":{"cpu":-1}`, `"capacity":{"mem_mb":9223372036854775807}`, `"capacity":` + nested(10_001), `"born":1e30`, `"born":1.5`,
		`"cold_left_ms":1e400`, `"state":"gone"`, `"state":7`, `"service":` + nested(100), `"labels":"a"`, `"labels":[` + strings.Repeat(`"a",`, 9_000) + `"a"]`, `"x":` + nested(10_001),
		// These can be decoded. Nothing answers at the address.
		`"remaining_ms":1e400`, `"cold_left_ms":1e300`, `"seq":-1e400`,
	} {
		entries = append(entries, announcementOf("127.0.0.1:1", ","+more))
	}
	return entries
}

// startsOn returns the number of runs that were started on a worker.
func (d *deployment) startsOn(worker string) int {
	n := 0
	for _, e := range d.monitor.EventsAfter(0) {
		if e.Kind == workerstandin.RunBegan && e.Worker == worker {
			n++
		}
	}
	return n
}

// Another writer leaves odd entries of each kind among those of the workers, and rewrites one
// of them all the time, while jobs run. No host may end or stop following the list, no run may
// be lost, and workers that join after the odd entries must be used, by the owner that saw
// these entries come and by the next one, which finds them in its first list.
func TestOddEntriesAmongWorkers(t *testing.T) {
	d := deploy(t, 3, 2, 1500*time.Millisecond)
	entries := oddEntries()
	d.submit(d.hosts[0], "plain", 0, 8)
	d.await("tasks started", func() bool { return d.monitor.Starts() == 8 })
	for i, value := range entries {
		d.rows.Put("servers", fmt.Sprintf("odd-%d", i), []byte(value))
	}
	for i, key := range []string{"", " w0", "w0 ", "w0\n", "w0\r\nX-Odd: 1", "w0\x00", "../w0", `"w0"`, strings.Repeat("z", 200)} {
		// The address is that of a worker that is in use.
		d.rows.Put("servers", key, []byte(announcementOf(d.addresses[i%2], "")))
	}
	stop, rewritten := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(rewritten)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
				d.rows.Put("servers", "rewritten", []byte(entries[n%len(entries)]))
			}
		}
	}()
	d.awaitDone(d.hosts[1], "plain", 0, 1)
	d.addWorker(2, 1500*time.Millisecond)
	d.submit(d.hosts[1], "plain", 1, 12)
	d.awaitDone(d.hosts[2], "plain", 1, 2)
	qt.Assert(t, d.startsOn("w2") >= 4, qt.IsTrue, qt.Commentf("%d starts on the worker that joined", d.startsOn("w2")))
	owner := d.owner()
	other := d.other(owner)
	owner.kill()
	d.submit(other, "plain", 2, 12)
	d.addWorker(3, 1500*time.Millisecond)
	d.submit(other, "advised", 3, 16)
	d.awaitDone(other, "plain", 2, 3)
	d.awaitDone(other, "advised", 3, 4)
	qt.Assert(t, d.startsOn("w3") >= 1, qt.IsTrue, qt.Commentf("%d starts on the worker that joined", d.startsOn("w3")))
	close(stop)
	<-rewritten
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 48)
	for _, h := range d.hosts {
		log := h.output.String()
		ignored := strings.Count(log, "worker announcement ignored")
		qt.Check(t, ignored <= 110, qt.IsTrue, qt.Commentf("%s: %d lines about ignored entries", h.name, ignored))
		qt.Check(t, len(log) < 200_000, qt.IsTrue, qt.Commentf("%s: log of %d bytes", h.name, len(log)))
		qt.Check(t, log, qt.Not(qt.Contains), "unknown run stopped")
		if h == owner {
			qt.Check(t, ignored >= 30, qt.IsTrue, qt.Commentf("%d lines about ignored entries", ignored))
			continue
		}
		select {
		case <-h.done:
			t.Errorf("%s has ended", h.name)
		default:
		}
	}
}

// The entry of a worker becomes odd while it runs tasks, and stays odd. Its tasks must run to
// their end and count, no further task may be started there, and it must be used again once it
// has a valid entry.
func TestEntryOfWorkerBecomesOdd(t *testing.T) {
	d := deploy(t, 2, 2, 5*time.Second)
	d.submit(d.hosts[0], "plain", 0, 8)
	d.await("tasks started", func() bool { return d.monitor.Starts() == 8 })
	d.rows.Put("servers", "w0", []byte(announcementOf(d.addresses[0], `,"capacity":{"cpu":1e400}`)))
	d.awaitDone(d.hosts[1], "plain", 0, 1)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 8)
	d.submit(d.hosts[0], "plain", 1, 4)
	d.awaitDone(d.hosts[1], "plain", 1, 2)
	qt.Assert(t, d.startsOn("w0"), qt.Equals, 4)
	qt.Assert(t, d.startsOn("w1"), qt.Equals, 8)
	d.announce(0)
	d.submit(d.hosts[0], "plain", 2, 8)
	d.await("tasks started on both", func() bool { return d.startsOn("w0") == 8 && d.startsOn("w1") == 12 })
}
