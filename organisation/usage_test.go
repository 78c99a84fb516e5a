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

func limited(name string, limit task.Size) []workload.Organisation {
	return []workload.Organisation{{Name: name, Limit: limit}}
}

// Each resource has a limit of its own. Work that uses little of one must not start if another
// is used up, and a limit of 0 must not be taken for "nothing allowed".
func TestEachResourceIsLimited(t *testing.T) {
	c := qt.New(t)
	var u organisation.Usage
	u.SetLimits(limited("a", task.Size{Processors: 10, Accelerators: 2}))
	u.Add("a", task.Size{Processors: 4, Memory: 1 << 40, Accelerators: 2})
	c.Assert(u.Headroom("a"), qt.Equals, task.Size{Processors: 6, Memory: math.MaxInt64, Slots: math.MaxInt64, Connections: math.MaxInt64})
	c.Assert(u.Fits("a", task.Size{Processors: 6, Memory: 1 << 40}), qt.IsTrue)
	c.Assert(u.Fits("a", processors(7)), qt.IsFalse)
	c.Assert(u.Fits("a", task.Size{Processors: 1, Accelerators: 1}), qt.IsFalse)
}

// Work without an organisation, and organisations without a limit, must never be restricted.
func TestNoLimitRestrictsNothing(t *testing.T) {
	c := qt.New(t)
	var u organisation.Usage
	for _, name := range []string{"", "a"} {
		u.Add(name, processors(math.MaxInt64/2))
		c.Assert(u.Fits(name, processors(math.MaxInt64)), qt.IsTrue)
	}
	u.SetLimits(append(limited("", processors(1)), limited("b", processors(1))...))
	c.Assert(u.Fits("", processors(2)), qt.IsTrue)
	c.Assert(u.Fits("a", processors(2)), qt.IsTrue)
	c.Assert(u.Fits("b", processors(2)), qt.IsFalse)
}

// A limit falls below what runs. Nothing may start until enough has ended, and what runs must
// still be counted exactly, also after the organisation was removed and added again.
func TestLoweredLimit(t *testing.T) {
	c := qt.New(t)
	var u organisation.Usage
	u.SetLimits(limited("a", processors(10)))
	u.Add("a", processors(6))
	u.Add("a", processors(4))
	u.SetLimits(nil)
	c.Assert(u.Fits("a", processors(1)), qt.IsTrue)
	u.SetLimits(limited("a", processors(5)))
	c.Assert(u.Headroom("a").Processors, qt.Equals, int64(-5))
	c.Assert(u.Fits("a", task.Size{}), qt.IsFalse)
	u.Remove("a", processors(6))
	c.Assert(u.Fits("a", processors(1)), qt.IsTrue)
	c.Assert(u.Fits("a", processors(2)), qt.IsFalse)
	u.Remove("a", processors(4))
	c.Assert(u.Active(), qt.HasLen, 0)
}
