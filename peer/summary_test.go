package peer_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/task"
)

// TestSummarySizeIsBounded bounds the encoded size of a summary with one need and of the
// largest summary, since a member sends its summary to every other member of its region
// up to once a second.
func TestSummarySizeIsBounded(t *testing.T) {
	size := task.Size{Processors: 16_000, Memory: 32 * task.Gibibyte, Slots: 1}
	need := decision.Need{Team: "planetarios-austral", Class: 5, Size: size, Used: 1250, Tasks: 500}
	one := decision.Summary{Sequence: 1_796_000_000_000_000_000, Needs: []decision.Need{need}}
	all := one
	for i := range 3 {
		need.Class = i
		all.Needs = append(all.Needs, need)
	}
	for i := range 4 {
		all.Uses = append(all.Uses, decision.TeamUsage{Team: fmt.Sprintf("planetarios-%d", i), Used: size.Times(100)})
		all.Barred = append(all.Barred, fmt.Sprintf("centro-r%d-worker-%d", i, i))
	}
	all.Reserved = &decision.Reservation{Since: 1_796_000_000_000_000_000, Left: time.Minute}
	for i := range 16 {
		all.Reserved.Racks = append(all.Reserved.Racks, decision.ReservedRack{Rack: fmt.Sprintf("centro-r%d", i), Workers: 255})
	}
	for _, test := range []struct {
		name    string
		summary decision.Summary
		bound   int
	}{{"one need", one, 72}, {"the largest", all, 768}} {
		data, err := codec.Marshal(test.summary)
		qt.Assert(t, err, qt.IsNil)
		t.Logf("%s: %d bytes", test.name, len(data))
		qt.Check(t, len(data) <= test.bound, qt.IsTrue, qt.Commentf("%s: %d bytes", test.name, len(data)))
	}
}
