package load_test

import (
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
)

func TestSeedDeterminesLoad(t *testing.T) {
	first := load.Plain(load.TrinacriaCell(), 1)
	qt.Check(t, load.Plain(load.TrinacriaCell(), 1), qt.DeepEquals, first)
	other := load.Plain(load.TrinacriaCell(), 2)
	qt.Check(t, len(other.Items) == len(first.Items) && other.Items[0].At == first.Items[0].At, qt.IsFalse)
}

func TestWorkIsValidAndInOrder(t *testing.T) {
	cell := load.AsociacionCell()
	loads := []load.Load{load.Plain(cell, 1), load.Peak(cell, 1), load.WrongSizes(cell, 1), load.Halves(cell, 1),
		load.Cancellations(cell, 1), load.Twice(cell, 1), load.ProjectedScale(0.01, 1)}
	for _, l := range loads {
		qt.Check(t, slices.IsSortedFunc(l.Items, func(a, b load.Item) int { return int(a.At - b.At) }), qt.IsTrue)
		keys := map[string]bool{}
		for _, i := range l.Items {
			qt.Assert(t, i.Work.Validate(), qt.IsNil)
			qt.Assert(t, i.Work.TaskSize().Fits(l.Cell.Workers[0].Capacity), qt.IsTrue)
			qt.Assert(t, keys[i.Work.Key().String()], qt.IsFalse)
			keys[i.Work.Key().String()] = true
		}
	}
}

func TestCellSizes(t *testing.T) {
	for _, c := range []load.Cell{load.TrinacriaCell(), load.AsociacionCell()} {
		qt.Check(t, c.Workers, qt.HasLen, 50)
		qt.Check(t, c.Workers[7].Rack, qt.Equals, c.Workers[0].Rack)
		qt.Check(t, c.Workers[8].Rack, qt.Not(qt.Equals), c.Workers[0].Rack)
	}
	qt.Check(t, load.ProjectedCell(load.ProjectedWorkers).Workers, qt.HasLen, load.ProjectedWorkers)
}
