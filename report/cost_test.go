package report_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
)

// cost is the maximum cost of a start. Every figure repeats exactly for a seed;
// the bounds leave a margin of a tenth for changes in the order of decisions.
type cost struct {
	events, bytes, linkBytes, rows, scanned float64
}

// TestControlCostOfAStartIsBounded guards against changes that raise the
// events, bytes, rows or scans per start. One set of bounds covers both users,
// whose loads differ only in sizes.
func TestControlCostOfAStartIsBounded(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		build func(load.Cell, uint64) load.Load
		most  cost
	}{
		{load.Plain, cost{5.6, 525, 21, 0.44, 57}},
		{load.Peak, cost{3.5, 440, 2, 0.027, 62}},
		{load.Backlog, cost{13.4, 710, 205, 2.62, 158}},
		{load.Halves, cost{5.9, 500, 37, 0.67, 291}},
		{load.LostRack, cost{5.6, 520, 42, 0.45, 60}},
	} {
		forEachCell(t, test.build, func(c *qt.C, l load.Load) {
			r := result(c.TB.(*testing.T), l, report.Core())
			check := func(name string, value int64, most float64) {
				perStart := r.PerPlacement(value)
				c.Check(perStart > 0 && perStart <= most, qt.IsTrue, qt.Commentf("%s: %.3f, bound %.3f", name, perStart, most))
			}
			check("events", int64(r.Events), test.most.events)
			check("bytes", r.Bytes, test.most.bytes)
			check("link bytes", r.LinkBytes, test.most.linkBytes)
			check("rows", int64(r.Rows), test.most.rows)
			check("scanned", r.Scanned, test.most.scanned)
		})
	}
}
