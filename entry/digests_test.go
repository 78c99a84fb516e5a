package entry_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// digestTimeout is the least time for which a digest stays valid without a connection.
const digestTimeout = time.Second

// TestDigestsExpireWithoutConnection disconnects two regions while no work arrives.
// Each host must keep the other's rack for the timeout, then drop it, and know it again
// once the connection is restored.
func TestDigestsExpireWithoutConnection(t *testing.T) {
	p := startRegions(t)
	p.ready(t)
	known := func(racks int) func() bool {
		return func() bool {
			return p.dump(t, "e1").Work.Racks == racks && p.dump(t, "e2").Work.Racks == racks
		}
	}
	await(t, "both racks known", known(2))
	start := time.Now()
	p.cut(true)
	await(t, "only the own rack known", known(1))
	t.Logf("dropped after %v", time.Since(start))
	qt.Assert(t, time.Since(start) >= digestTimeout, qt.IsTrue)
	p.cut(false)
	await(t, "both racks known again", known(2))
}
