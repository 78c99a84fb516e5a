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
	// trip is how long a call of the table takes.
	trip = 5 * time.Millisecond
	// lookPause is the pause between two looks; all hosts look at once.
	lookPause = time.Second
	// fenceBound is how long a lapsed member may go on to count: its lease, the
	// margin, and two looks.
	fenceBound = member.LeaseDuration + member.DriftMargin + 3*lookPause
)

// counted is a table that takes its time and counts the writes that fence.
type counted struct {
	tablestore.Table
	mu     sync.Mutex
	fences int
}

func (c *counted) List(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	time.Sleep(trip)
	return c.Table.List(ctx, prefix, after, limit)
}

func (c *counted) Put(ctx context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error) {
	time.Sleep(trip)
	if strings.Contains(string(value), "Fenced") {
		c.mu.Lock()
		c.fences++
		c.mu.Unlock()
	}
	return c.Table.Put(ctx, key, value, expected)
}

// octet is eight hosts of a region that all look at the same moments.
type octet struct {
	table *counted
	hosts []*host
	ends  []context.CancelFunc
	all   sync.WaitGroup
}

func newOctet() *octet {
	o := &octet{table: &counted{Table: platformstandin.New().Direct()}}
	for i := range 8 {
		h := newHost(o.table, fmt.Sprintf("e%d", i+1), "centro")
		ctx, end := context.WithCancel(context.Background())
		o.hosts, o.ends = append(o.hosts, h), append(o.ends, end)
		o.all.Go(func() {
			for ctx.Err() == nil {
				_ = h.turn()
				time.Sleep(lookPause)
			}
		})
	}
	time.Sleep(5 * time.Second)
	return o
}

// stop ends what runs, and returns the writes that fenced.
func (o *octet) stop() int {
	for _, end := range o.ends {
		end()
	}
	o.all.Wait()
	return o.table.fences
}

// TestEachLostHostIsFencedByOneWrite loses one to seven hosts at once: each is fenced
// in time, by the write of one of those that are left.
func TestEachLostHostIsFencedByOneWrite(t *testing.T) {
	for lost := 1; lost <= 7; lost++ {
		synctest.Test(t, func(t *testing.T) {
			o := newOctet()
			for i := range lost {
				o.ends[i]()
			}
			time.Sleep(fenceBound)
			writes := o.stop()
			t.Logf("%d of 8 lost: %d writes", lost, writes)
			qt.Check(t, o.hosts[7].roster.PossibleOwners(), qt.HasLen, 8-lost)
			qt.Check(t, writes, qt.Equals, lost)
		})
	}
}

// TestLostHostIsFencedAlthoughTheFirstToDoSoIsLostToo loses a second host while the
// lease of the first one still lasts: the others must not wait for it to act.
func TestLostHostIsFencedAlthoughTheFirstToDoSoIsLostToo(t *testing.T) {
	for second := 1; second <= 6; second++ {
		synctest.Test(t, func(t *testing.T) {
			o := newOctet()
			o.ends[0]()
			time.Sleep(4 * time.Second)
			o.ends[second]()
			time.Sleep(fenceBound - 4*time.Second)
			qt.Check(t, o.hosts[7].roster.MayOwn("e1", "e1-1"), qt.IsFalse, qt.Commentf("e%d is lost too", second+1))
			o.stop()
		})
	}
}
