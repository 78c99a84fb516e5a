package front_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/front"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/server"
)

// Guards against limits that leave too little of a host's memory and descriptors for its own work,
// or too little for ordinary callers. The smallest hosts have 184 MB and 4,100 descriptors.
func TestLimitsOfHosts(t *testing.T) {
	const mib = 1 << 20
	for _, test := range []struct {
		memoryMB, descriptors int
	}{{184, 4100}, {284, 4100}, {2000, 4100}, {184, 100_000}, {96, 600}, {0, 0}} {
		t.Run(fmt.Sprintf("%d MB, %d", test.memoryMB, test.descriptors), func(t *testing.T) {
			c := qt.New(t)
			l := front.LimitsOf(platform.Settings{MemoryLimit: int64(test.memoryMB) * mib, MaxDescriptors: test.descriptors})
			memory, descriptors := max(test.memoryMB, 96)*mib, max(test.descriptors, 600)
			if test.memoryMB == 0 {
				memory, descriptors = 184*mib, 4100
			}
			// Live memory takes up to twice its size until garbage is collected. The process needs some
			// 50 MB for itself.
			c.Check(l.ConnectionBytes+2*int(l.RequestBytes) <= memory/2, qt.IsTrue)
			c.Check(l.Callers+l.Links+server.OtherDescriptors <= descriptors*9/10, qt.IsTrue)
			c.Check(l.Callers >= 100 && l.RequestBytes >= 10*mib, qt.IsTrue)
		})
	}
}

// Guards against jobs beyond what the smallest host can hold that may take the cell over, and
// against a row that states so little memory that the cell would accept nothing.
func TestMemoryOfTheSmallestHostCounts(t *testing.T) {
	const mib = 1 << 20
	c := qt.New(t)
	large := memberRow(c, "h1", map[int]any{1: "10.0.0.1:1", 6: 2000 * mib})
	small := memberRow(c, "h2", map[int]any{1: "10.0.0.2:1", 6: 284 * mib})
	c.Check(front.LeastMemory([]ledger.Row{large}), qt.Equals, int64(2000*mib))
	c.Check(front.LeastMemory([]ledger.Row{large, small}), qt.Equals, int64(284*mib))
	for _, memory := range []int64{0, 1, -1} {
		odd := memberRow(c, "h3", map[int]any{1: "10.0.0.3:1", 6: memory})
		c.Check(front.LeastMemory([]ledger.Row{large, odd}), qt.Equals, int64(184*mib))
	}
}
