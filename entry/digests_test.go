package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// digestTimeout is how long a digest counts at least without a connection.
const digestTimeout = time.Second

// TestDigestsExpireWithoutConnection cuts two regions apart while no work
// arrives: each host goes on to count on the rack of the other for some time, then
// drops it, and knows it again once the cut heals.
func TestDigestsExpireWithoutConnection(t *testing.T) {
	p := startRegions(t)
	p.ready(t)
	known := func(racks int) func() bool {
		return func() bool {
			return p.dump(t, "e1").Work.Racks == racks && p.dump(t, "e2").Work.Racks == racks
		}
	}
	await(t, "both racks", known(2))
	start := time.Now()
	p.cut(true)
	await(t, "the own rack only", known(1))
	t.Logf("dropped after %v", time.Since(start))
	qt.Assert(t, time.Since(start) >= digestTimeout, qt.IsTrue)
	p.cut(false)
	await(t, "both racks again", known(2))
}
