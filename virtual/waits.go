package virtual

import (
	"math"
	"slices"
	"time"
)

// Waits holds all wait times of a class. The zero value is empty.
type Waits struct {
	all []time.Duration
	// sorted reports whether all is in ascending order.
	sorted bool
}

func (w *Waits) add(d time.Duration) {
	w.all = append(w.all, d)
	w.sorted = false
}

// Percentile returns the smallest wait that at least the given percentage of
// all waits does not exceed, or 0 if there are none.
func (w *Waits) Percentile(percent float64) time.Duration {
	if len(w.all) == 0 {
		return 0
	}
	if !w.sorted {
		slices.Sort(w.all)
		w.sorted = true
	}
	rank := int(math.Ceil(percent / 100 * float64(len(w.all))))
	return w.all[max(rank, 1)-1]
}
