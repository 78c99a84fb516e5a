package breakdown

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Size is the class of a job among those of its queue, by its work.
type Size string

// The sizes.
const (
	// Largest is the largest tenth of the jobs of a queue.
	Largest Size = "Largest"
	// Large is the fifth below it.
	Large Size = "Large"
	// Usual are the others.
	Usual Size = "Usual"
	// Unsized are jobs whose work the logs don't tell.
	Unsized Size = "Unsized"
)

// Shares of the jobs of a queue that are in the largest class, and in the two largest.
const (
	largestRatio = 0.1
	largeRatio   = 0.3
)

// assignSizes puts the jobs of a queue into classes. The work of jobs without an estimate is
// that of their runs, if they were done.
func assignSizes(tracks []*jobTrack) {
	var known []*jobTrack
	for _, t := range tracks {
		if t.work == 0 && t.state == workload.Done {
			t.work = t.workDone()
		}
		t.Size = Unsized
		if t.work > 0 {
			known = append(known, t)
		}
	}
	slices.SortFunc(known, func(a, b *jobTrack) int {
		return cmp.Or(cmp.Compare(b.work, a.work), cmp.Compare(a.ID, b.ID))
	})
	for i, t := range known {
		switch place := float64(i) / float64(len(known)); {
		case place < largestRatio:
			t.Size = Largest
		case place < largeRatio:
			t.Size = Large
		default:
			t.Size = Usual
		}
	}
}
