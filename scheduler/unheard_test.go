package scheduler_test

import (
	"context"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// storeWithWorkers is a store with the rows of workers, which may be changed.
type storeWithWorkers struct {
	heldStore
	rows    []ledger.Row
	changes chan ledger.Row
}

func (s *storeWithWorkers) Rows(_ context.Context, table, _, _ string, _ int) (ledger.Page, error) {
	if table != platform.WorkerTable {
		return ledger.Page{}, nil
	}
	return ledger.Page{Rows: s.rows, Version: 1}, nil
}

func (s *storeWithWorkers) Feed(ctx context.Context, table string, after ledger.Version, wait time.Duration) (ledger.Page, error) {
	if table != platform.WorkerTable {
		return s.heldStore.Feed(ctx, table, after, wait)
	}
	select {
	case r := <-s.changes:
		return ledger.Page{Rows: []ledger.Row{r}, Version: after + 1}, nil
	case <-time.After(wait):
		return ledger.Page{Version: after}, nil
	case <-ctx.Done():
		return ledger.Page{}, ctx.Err()
	}
}

// unreachableWorkers answers holds to one address only, and counts those to each.
type unreachableWorkers struct {
	fakeWorkers
	mu        sync.Mutex
	reachable string
	holds     map[string]int
}

func (w *unreachableWorkers) Hold(_ context.Context, i platform.Instance, _, _, _ int64, _ time.Duration) (platform.HoldResponse, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holds[i.Address]++
	if i.Address != w.reachable {
		return platform.HoldResponse{}, errors.New("out of reach")
	}
	return platform.HoldResponse{Clock: clock.Now().Milliseconds(), Report: cell.Report{Life: 1, Complete: true}}, nil
}

func (w *unreachableWorkers) count(address string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.holds[address]
}

// An entry of another writer has an address at which nothing answers, and stays. The owner
// must not call it several times a second for ever, and must call it soon once the entry has
// another address.
func TestUnheardWorkerIsCalledRarely(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	entry := func(address string) ledger.Row {
		return ledger.Row{Table: platform.WorkerTable, Key: "w", Value: []byte(
			`{"service":"S","addr":"` + address + `","state":"ready","capacity":{"cpu":64000,"mem_mb":64000},"born":1}`)}
	}
	store := &storeWithWorkers{rows: []ledger.Row{entry("10.0.0.1:1")}, changes: make(chan ledger.Row)}
	workers := &unreachableWorkers{reachable: "10.0.0.1:2", holds: map[string]int{}}
	l, err := ledger.Acquire(ctx, store, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	o := scheduler.New(scheduler.Options{CellOptions: cell.Options{Lease: 4 * time.Second}}, l, store, workers, nil, make(replyChannel, 1), &scheduler.Counters{}, discardLog())
	go func() { _ = o.Run(ctx, workload.Catalogue{Version: 1}) }()
	time.Sleep(2500 * time.Millisecond)
	early := workers.count("10.0.0.1:1")
	c.Assert(early >= 5, qt.IsTrue, qt.Commentf("%d holds at first", early))
	time.Sleep(1500 * time.Millisecond)
	before := workers.count("10.0.0.1:1")
	time.Sleep(5 * time.Second)
	c.Assert(workers.count("10.0.0.1:1")-before <= 3, qt.IsTrue, qt.Commentf("%d holds in 5 s", workers.count("10.0.0.1:1")-before))
	store.changes <- entry("10.0.0.1:2")
	changed := time.Now()
	for workers.count("10.0.0.1:2") == 0 {
		c.Assert(time.Since(changed) < time.Second, qt.IsTrue, qt.Commentf("not called at its new address"))
		time.Sleep(5 * time.Millisecond)
	}
}
