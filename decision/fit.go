package decision

import "github.com/vanillaquay/vanillaquay/task"

// leftoverWeight is the weight of the total free capacity relative to its
// imbalance.
const leftoverWeight = 0.2

// leftoverRank ranks a worker by the capacity left free after a task of a size
// is placed on it; the lowest rank fits best. Balanced leftovers of processors
// and memory rank low, since a worker with much of one and little of the other
// fits hardly any other task.
func leftoverRank(free, size, capacity task.Size) float64 {
	leftover := free.Minus(size)
	processors := fraction(leftover.Processors, capacity.Processors)
	memory := fraction(leftover.Memory, capacity.Memory)
	return max(processors, memory) - min(processors, memory) + leftoverWeight*(processors+memory)
}

// fraction returns amount as a fraction of whole, or 0 if whole is not
// positive.
func fraction(amount, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(amount) / float64(whole)
}
