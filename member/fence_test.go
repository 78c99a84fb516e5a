package member_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

const (
	// tableLatency is the latency of a call to the table.
	tableLatency = 5 * time.Millisecond
	// scanInterval is the interval between two scans (calls of runOnce) of a host; all
	// hosts scan at the same time.
	scanInterval = time.Second
	// maxFenceTime bounds the time from the failure of a member until it is fenced: its
	// lease, the margin and three scan intervals.
	maxFenceTime = member.LeaseDuration + member.DriftMargin + 3*scanInterval
)

// fenceCounter is a table with latency that counts the writes that fence a member.
type fenceCounter struct {
	tablestore.Table
	mu     sync.Mutex
	fences int
}

func (c *fenceCounter) List(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	time.Sleep(tableLatency)
	return c.Table.List(ctx, prefix, after, limit)
}

func (c *fenceCounter) Put(ctx context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error) {
	time.Sleep(tableLatency)
	if strings.Contains(string(value), "Fenced") {
		c.mu.Lock()
		c.fences++
		c.mu.Unlock()
	}
	return c.Table.Put(ctx, key, value, expected)
}

// eightHosts is eight hosts of a region that all scan at the same times.
type eightHosts struct {
	table   *fenceCounter
	hosts   []*host
	cancels []context.CancelFunc
	running sync.WaitGroup
}

func newEightHosts() *eightHosts {
	o := &eightHosts{table: &fenceCounter{Table: platformstandin.New().Direct()}}
	for i := range 8 {
		h := newHost(o.table, fmt.Sprintf("e%d", i+1), "centro")
		ctx, cancel := context.WithCancel(context.Background())
		o.hosts, o.cancels = append(o.hosts, h), append(o.cancels, cancel)
		o.running.Go(func() {
			for ctx.Err() == nil {
				_ = h.runOnce()
				time.Sleep(scanInterval)
			}
		})
	}
	time.Sleep(5 * time.Second)
	return o
}

// stop stops all hosts and returns the number of writes that fenced a member.
func (o *eightHosts) stop() int {
	for _, cancel := range o.cancels {
		cancel()
	}
	o.running.Wait()
	return o.table.fences
}

// TestEachLostHostIsFencedByOneWrite stops one to seven of eight hosts at once. Each must
// be fenced in time, by a single write of one of the remaining hosts.
func TestEachLostHostIsFencedByOneWrite(t *testing.T) {
	for lost := 1; lost <= 7; lost++ {
		synctest.Test(t, func(t *testing.T) {
			o := newEightHosts()
			for i := range lost {
				o.cancels[i]()
			}
			time.Sleep(maxFenceTime)
			writes := o.stop()
			t.Logf("%d of 8 lost: %d writes", lost, writes)
			qt.Check(t, o.hosts[7].roster.PossibleOwners(), qt.HasLen, 8-lost)
			qt.Check(t, writes, qt.Equals, lost)
		})
	}
}

// TestLostHostIsFencedIfItsFirstFencerIsLostToo stops a second host while the lease of the
// first one is still valid. If the second is the first fencer, the others must not wait
// for it.
func TestLostHostIsFencedIfItsFirstFencerIsLostToo(t *testing.T) {
	for second := 1; second <= 6; second++ {
		synctest.Test(t, func(t *testing.T) {
			o := newEightHosts()
			o.cancels[0]()
			time.Sleep(4 * time.Second)
			o.cancels[second]()
			time.Sleep(maxFenceTime - 4*time.Second)
			qt.Check(t, o.hosts[7].roster.MayOwn("e1", "e1-1"), qt.IsFalse, qt.Commentf("e%d is lost too", second+1))
			o.stop()
		})
	}
}
