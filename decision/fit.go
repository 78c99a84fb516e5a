package decision

import "github.com/vanillaquay/vanillaquay/task"

// leftoverWeight is the weight of the sum of what is left free against its
// imbalance.
const leftoverWeight = 0.2

// leftoverRank ranks a worker that is given a size out of what it has free; the
// lowest rank fits best. It is lowest if processors and memory are used up
// alike, since a worker that has much of one left and little of the other takes
// hardly anything more.
func leftoverRank(free, size, capacity task.Size) float64 {
	rest := free.Minus(size)
	processors := fraction(rest.Processors, capacity.Processors)
	memory := fraction(rest.Memory, capacity.Memory)
	return max(processors, memory) - min(processors, memory) + leftoverWeight*(processors+memory)
}

// fraction returns the part that an amount is of a whole, 0 of nothing.
func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
