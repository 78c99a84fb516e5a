package tenure_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/tenure"
)

// Unequal hosts: a host with a quarter of the processor time of others takes the cell
// only after all of these could have.
func TestSmallHostsTakeTheCellLast(t *testing.T) {
	const large, small = 0.8, 0.192
	for fence := range int64(50) {
		for n := range 20 {
			name := fmt.Sprintf("host-%d", n)
			able := tenure.Candidate{Host: name, Processors: large}
			weak := tenure.Candidate{Host: name, Processors: small, NearStore: true}
			qt.Assert(t, able.Rank(fence, large) < weak.Rank(fence, large), qt.IsTrue)
		}
	}
}

// Where only small hosts are known they rank as any others do.
func TestEqualHostsAreAble(t *testing.T) {
	c := tenure.Candidate{Host: "a", Processors: 0.192, NearStore: true}
	qt.Assert(t, c.Capable(0.192), qt.IsTrue)
	qt.Assert(t, c.Rank(1, 0.192) < 3, qt.IsTrue)
}

func TestHostsNearTheStoreComeFirst(t *testing.T) {
	near := tenure.Candidate{Host: "a", Processors: 1, NearStore: true}
	far := tenure.Candidate{Host: "a", Processors: 1}
	qt.Assert(t, near.Rank(9, 1) < far.Rank(9, 1), qt.IsTrue)
}
