package organisation_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/organisation"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

func processors(n int64) task.Size { return task.Size{Processors: n} }

// Each resource has a limit of its own, 0 is none, and work without an organisation or of one
// without a limit must never be restricted. A limit falls below what runs: nothing may start until
// enough has ended, and what runs must be counted exactly, also while the organisation is removed.
func TestUsageAgainstChangingLimits(t *testing.T) {
	c := qt.New(t)
	var u organisation.Usage
	limit := func(s task.Size) { u.SetLimits([]workload.Organisation{{Name: "a", Limit: s}, {Limit: processors(1)}}) }
	u.Add("a", task.Size{Processors: 4, Memory: 1 << 40, Accelerators: 2})
	u.Add("", processors(math.MaxInt64))
	c.Assert(u.Fits("a", processors(math.MaxInt64)) && u.Fits("", processors(2)), qt.IsTrue)
	limit(task.Size{Processors: 10, Accelerators: 2})
	c.Assert(u.Headroom("a"), qt.Equals, task.Size{Processors: 6, Memory: math.MaxInt64, Slots: math.MaxInt64, Connections: math.MaxInt64})
	c.Assert(u.Fits("a", task.Size{Processors: 6, Memory: 1 << 40}) && u.Fits("", processors(2)), qt.IsTrue)
	c.Assert(u.Fits("a", processors(7)) || u.Fits("a", task.Size{Accelerators: 1}), qt.IsFalse)
	u.SetLimits(nil)
	u.Add("a", processors(2))
	limit(processors(5))
	c.Assert(u.Fits("a", task.Size{}), qt.IsFalse)
	u.Remove("a", task.Size{Processors: 4, Memory: 1 << 40, Accelerators: 2})
	c.Assert(u.Headroom("a").Processors, qt.Equals, int64(3))
	u.Remove("a", processors(2))
	c.Assert(u.Active(), qt.HasLen, 0)
}
