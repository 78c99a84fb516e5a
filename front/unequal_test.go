package front_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A small host takes the cell over when the only large one is lost, and must hand it back
// once that one has returned.
func TestCellReturnsToLargeHost(t *testing.T) {
	d := deployUnequal(t, []float64{0.192, 0.8, 0.192}, 2, 200*time.Millisecond)
	large := d.hosts[1]
	d.await("the large host owns the cell", func() bool { return d.owner() == large })
	d.submit(d.hosts[0], "plain", 0, 2)
	large.kill()
	d.await("a small host owns the cell", func() bool { o := d.owner(); return o != nil && o != large })
	d.submit(d.hosts[0], "plain", 1, 2)
	d.start(large)
	d.await("the large host owns the cell again", func() bool { return d.owner() == large })
	d.submit(d.hosts[2], "plain", 2, 2)
	d.awaitDone(d.hosts[0], "plain", 0, 3)
	qt.Assert(t, d.monitor.Starts(), qt.Equals, 6)
}
