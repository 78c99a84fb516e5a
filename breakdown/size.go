package breakdown

import (
	"cmp"
	"slices"

	"github.com/vanillaquay/vanillaquay/workload"
)

// Size is the size class of a job within its queue, by its work.
type Size string

const (
	// Largest is the largest tenth of the jobs of a queue.
	Largest Size = "Largest"
	// Large is the next fifth.
	Large Size = "Large"
	// Usual is the rest.
	Usual Size = "Usual"
	// Unsized are jobs whose work is not in the logs.
	Unsized Size = "Unsized"
)

// Shares of the jobs of a queue in the largest class, and in the two largest classes.
const (
	largestRatio = 0.1
	largeRatio   = 0.3
)

// assignSizes assigns size classes to the jobs of a queue. The work of a job without an
// estimate is that of its successful runs, if the job was done.
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
		switch rank := float64(i) / float64(len(known)); {
		case rank < largestRatio:
			t.Size = Largest
		case rank < largeRatio:
			t.Size = Large
		default:
			t.Size = Usual
		}
	}
}
