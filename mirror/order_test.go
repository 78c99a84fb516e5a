package mirror_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/mirror"
)

// TestTreeOfRegion guards against hosts that ask each other in a circle, too many hosts that ask the
// same one, and a host that asks one that has just failed.
func TestTreeOfRegion(t *testing.T) {
	c := qt.New(t)
	peers := []mirror.Peer{{Name: "large", Processors: 0.8}}
	for i := range 60 {
		peers = append(peers, mirror.Peer{Name: fmt.Sprintf("h%02d", i), Processors: 0.2})
	}
	askedBy := map[string]int{}
	rank := map[string]int{}
	for i, p := range peers {
		rank[p.Name] = i
		above := mirror.Above(0, p.Name, peers, nil)
		if i == 0 {
			c.Check(above, qt.HasLen, 0)
			continue
		}
		askedBy[above[0].Name]++
		for _, a := range above {
			c.Check(rank[a.Name] < i, qt.IsTrue, qt.Commentf("%s asks %s", p.Name, a.Name))
		}
	}
	for name, n := range askedBy {
		c.Check(n <= 16, qt.IsTrue, qt.Commentf("%s is asked by %d hosts", name, n))
	}
	failed := map[string][]time.Duration{"large": {time.Second}}
	c.Check(mirror.Above(1900*time.Millisecond, "h05", peers, failed)[0].Name, qt.Equals, "h00")
	c.Check(mirror.Above(1900*time.Millisecond, "h00", peers, failed), qt.HasLen, 0)
	c.Check(mirror.Above(2100*time.Millisecond, "h05", peers, failed)[0].Name, qt.Equals, "large")
	failed["large"] = []time.Duration{time.Second, 3 * time.Second}
	c.Check(mirror.Above(4900*time.Millisecond, "h05", peers, failed)[0].Name, qt.Equals, "h00")
}
