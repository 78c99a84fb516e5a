package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
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
