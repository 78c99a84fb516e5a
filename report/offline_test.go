package report_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/load"
	"github.com/vanillaquay/vanillaquay/report"
	"github.com/vanillaquay/vanillaquay/task"
)

// minOfflineRatio is the minimum packing of the core, relative to the offline
// bound.
const minOfflineRatio = 0.95

// TestOfflineBoundOfKnownLoads compares the bound with values calculated by
// hand: two tasks of two thirds of a worker never share one, and work that
// arrives late can't have run earlier.
func TestOfflineBoundOfKnownLoads(t *testing.T) {
	cell := load.AsociacionCell().WithWorkers(2)
	length := 90 * time.Second
	for _, test := range []struct {
		name  string
		part  float64
		from  time.Duration
		bound float64
	}{
		{"Halves", 1.0 / 2, 0, 1},
		{"TwoThirds", 2.0 / 3, 0, 2.0 / 3},
		{"Late", 1.0 / 2, 30 * time.Second, 2.0 / 3},
	} {
		size := task.Size{Processors: int64(test.part * float64(cell.Workers[0].Capacity.Processors)), Memory: task.Gibibyte}
		l := load.Load{Name: test.name, Cell: cell, Length: length, Saturated: true}
		for range 20 {
			l.Items = append(l.Items, load.Item{At: test.from, RunTime: length, Used: size,
				Work: task.Work{Family: "f", Kind: task.Batch, Tasks: 1, Size: size}})
		}
		bound, err := report.OfflineBound(l)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, bound > test.bound-0.001 && bound < test.bound+0.001, qt.IsTrue, qt.Commentf("%s: %v", test.name, bound))
	}
}

// TestPackingComesCloseToTheOfflineBound checks the target for packing; three
// of its loads are in KNOWN-RED.txt.
func TestPackingComesCloseToTheOfflineBound(t *testing.T) {
	t.Parallel()
	for _, build := range []func(load.Cell, uint64) load.Load{load.Backlog, load.WrongSizes} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			bound, err := report.OfflineBound(l)
			c.Assert(err, qt.IsNil)
			core := result(c.TB.(*testing.T), l, report.Core()).Packing()
			c.Check(core >= minOfflineRatio*bound, qt.IsTrue, qt.Commentf("core %.4f, bound %.4f", core, bound))
			for _, b := range report.Schedulers() {
				packing := result(c.TB.(*testing.T), l, b).Packing()
				c.Check(packing <= bound, qt.IsTrue, qt.Commentf("%s exceeds the bound: %.4f, %.4f", b.Name, packing, bound))
			}
		})
	}
}

// TestPackingDoesNotRegress guards the packing reached so far, also on the
// loads that miss the target.
func TestPackingDoesNotRegress(t *testing.T) {
	t.Parallel()
	reached := map[string]float64{"BacklogTrinacria": 0.95, "BacklogAsociacion": 0.94, "WrongSizesTrinacria": 0.85, "WrongSizesAsociacion": 0.82}
	for _, build := range []func(load.Cell, uint64) load.Load{load.Backlog, load.WrongSizes} {
		forEachCell(t, build, func(c *qt.C, l load.Load) {
			bound, err := report.OfflineBound(l)
			c.Assert(err, qt.IsNil)
			core := result(c.TB.(*testing.T), l, report.Core()).Packing()
			c.Check(core >= reached[l.Name]*bound, qt.IsTrue, qt.Commentf("core %.4f, bound %.4f", core, bound))
		})
	}
}
