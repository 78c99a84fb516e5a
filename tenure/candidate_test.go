package tenure_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/tenure"
)

// Among unequal hosts, one with a quarter of the processor time of the others ranks after
// all of them, even if only it is near the store.
func TestSmallHostsRankLast(t *testing.T) {
	const large, small = 0.8, 0.192
	for fence := range int64(50) {
		for n := range 20 {
			name := fmt.Sprintf("host-%d", n)
			capable := tenure.Candidate{Host: name, Processors: large}
			incapable := tenure.Candidate{Host: name, Processors: small, NearStore: true}
			qt.Assert(t, capable.Rank(fence, large) < incapable.Rank(fence, large), qt.IsTrue)
		}
	}
}

// If all known hosts are small, they rank as capable hosts do.
func TestEqualHostsAreCapable(t *testing.T) {
	c := tenure.Candidate{Host: "a", Processors: 0.192, NearStore: true}
	qt.Assert(t, c.Capable(0.192), qt.IsTrue)
	qt.Assert(t, c.Rank(1, 0.192) < 3, qt.IsTrue)
}

func TestHostsNearStoreRankFirst(t *testing.T) {
	near := tenure.Candidate{Host: "a", Processors: 1, NearStore: true}
	far := tenure.Candidate{Host: "a", Processors: 1}
	qt.Assert(t, near.Rank(9, 1) < far.Rank(9, 1), qt.IsTrue)
}
