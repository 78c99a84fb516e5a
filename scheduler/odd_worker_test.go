package scheduler_test

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
)

func workerRow(id string) ledger.Row {
	return ledger.Row{Table: platform.WorkerTable, Key: id, Value: []byte(
		`{"service":"s","addr":"10.0.0.1:1","zone":"z","state":"ready","capacity":{"cpu":8000,"mem_mb":8000},"labels":["a","r1"],"born":5}`)}
}

// oddValues holds values of rows that announce no worker.
var oddValues = []string{``, "\xff\x00", `null`, `{}`, `{"service":7}`, strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001),
	`{"service":"s","addr":"10.0.0.1:99999","state":"ready","capacity":{"cpu":8000}}`,
	`{"service":"s","addr":"10.0.0.1:1","state":"ready","capacity":{"cpu":1e30}}`,
	`{"service":"s","addr":"10.0.0.1:1","state":"gone","capacity":{"cpu":8000}}`}

func oddRow(id string, n int) ledger.Row {
	return ledger.Row{Table: platform.WorkerTable, Key: id, Value: []byte(oddValues[n%len(oddValues)])}
}

// Another writer replaces the entry of a worker, and the worker doesn't write its own again:
// it has ended, or can't reach the store. It must not be used for ever by what it announced
// before, which may say that it isn't draining (DRAIN). A worker that does write its entry
// again must be kept, as must the other workers.
func TestWorkerWithOddEntryIsRemovedAfterGracePeriod(t *testing.T) {
	for i, value := range oddValues {
		for _, listed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d/%v", i, listed), func(t *testing.T) {
				c := qt.New(t)
				f := &fakeWorkers{}
				o := f.newOwner()
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				odd := ledger.Row{Table: platform.WorkerTable, Key: "a", Value: []byte(value)}
				apply := func(now time.Duration) {
					if listed {
						o.ApplyWorkerList(now, []ledger.Row{odd, workerRow("b")})
					} else {
						o.ApplyWorkerRow(now, odd)
					}
					o.RemoveMissing(now)
				}
				o.ApplyWorkerList(time.Second, []ledger.Row{workerRow("a"), workerRow("b")})
				o.SyncSessions(ctx)
				c.Assert(f.workers, qt.DeepEquals, []string{"a", "b"})
				// The worker writes its entry again in time.
				apply(2 * time.Second)
				apply(4 * time.Second)
				o.ApplyWorkerRow(4*time.Second, workerRow("a"))
				o.RemoveMissing(10 * time.Second)
				c.Assert(o.Cell().WorkerIDs(), qt.DeepEquals, []string{"a", "b"})
				// It doesn't.
				apply(11 * time.Second)
				apply(13 * time.Second)
				c.Assert(o.Cell().WorkerIDs(), qt.DeepEquals, []string{"a", "b"})
				apply(14 * time.Second)
				c.Assert(o.Cell().WorkerIDs(), qt.DeepEquals, []string{"b"})
				time.Sleep(rampPause)
				o.SyncSessions(ctx)
				c.Assert(f.workers, qt.DeepEquals, []string{"b"})
				// It is back.
				o.ApplyWorkerRow(20*time.Second, workerRow("a"))
				time.Sleep(rampPause)
				o.SyncSessions(ctx)
				c.Assert(f.workers, qt.DeepEquals, []string{"a", "b"})
			})
		}
	}
}

// Another writer rewrites hundreds of odd entries ten times a second. Each of the first must be
// logged with its reason, and the log must not be flooded.
func TestOddEntriesDoNotFloodTheLog(t *testing.T) {
	var output bytes.Buffer
	log := logrus.New()
	log.SetOutput(&output)
	o := scheduler.New(scheduler.Options{}, nil, nil, &fakeWorkers{}, nil, &fakeMembers{}, &scheduler.Counters{}, logrus.NewEntry(log))
	o.ApplyWorkerList(time.Second, []ledger.Row{workerRow("a")})
	for n := range 10 {
		for i := range 300 {
			o.ApplyWorkerRow(2*time.Second, oddRow(fmt.Sprintf("odd-%d", i), n+i))
		}
	}
	lines := strings.Count(output.String(), "announcement ignored")
	qt.Assert(t, lines >= 20 && lines <= 60, qt.IsTrue, qt.Commentf("%d lines", lines))
	qt.Assert(t, strings.Count(output.String(), "worker=odd-7\n"), qt.Equals, 1)
	qt.Assert(t, output.Len() < 30_000, qt.IsTrue, qt.Commentf("%d bytes", output.Len()))
	qt.Assert(t, o.Cell().WorkerIDs(), qt.DeepEquals, []string{"a"})
}

// A row that stays odd is logged again after a while, with the number of lines withheld.
func TestOddEntryIsLoggedAgain(t *testing.T) {
	var l scheduler.RejectionLog
	now := time.Second
	logged, withheld := 0, 0
	for range 600 {
		if ok, n := l.Allow(now, "a"); ok {
			logged++
			withheld += n
		}
		now += 200 * time.Millisecond
	}
	qt.Assert(t, logged, qt.Equals, 2)
	qt.Assert(t, withheld, qt.Equals, 299)
}
