package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// TestStoreWritesStayInBudget guards against hosts that exceed the table's write
// budget: eight hosts receive far more work that needs a durable record than the table
// accepts writes, and the stand-in counts the writes.
func TestStoreWritesStayInBudget(t *testing.T) {
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	c := newCell(t, len(names), 0, "centro", "austral")
	await(t, "first owners", func() bool { return c.settled(t, names...) })
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	before, start := c.server.Counts(), time.Now()
	var accepted atomic.Int64
	var all sync.WaitGroup
	for i := range 256 {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if c.submit(ctx, names[i%len(names)], i%8, fmt.Sprintf("w%d-%d", i, n)) {
					accepted.Add(1)
				}
			}
		})
	}
	all.Wait()
	after, took := c.server.Counts(), time.Since(start).Seconds()
	writes, reads := after.Writes-before.Writes, after.Reads-before.Reads
	t.Logf("%d pieces of work recorded, %.0f a second", accepted.Load(), float64(accepted.Load())/took)
	t.Logf("%d writes, %.0f a second, at most %d in one second; %.0f reads a second",
		writes, float64(writes)/took, after.PeakWrites, float64(reads)/took)
	qt.Assert(t, after.PeakWrites < tablestore.WriteBudget, qt.IsTrue)
	qt.Assert(t, accepted.Load() > 2*writes, qt.IsTrue)
}

// submit sends a batch run and reports whether it was recorded.
func (c *cell) submit(ctx context.Context, host string, team int, id string) bool {
	body := fmt.Sprintf(`{"ID":%q,"Kind":"Batch","Tasks":1,"Size":{"Processors":1000}}`, id)
	status, _, _ := c.call(ctx, host, fmt.Sprintf("team%d", team), "POST", "/v1/work", body)
	return status == http.StatusAccepted
}
