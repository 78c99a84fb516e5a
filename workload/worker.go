package workload

import "github.com/vanillaquay/vanillaquay/task"

// Worker is the announcement of one incarnation of a worker.
type Worker struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Draining reports whether the worker must not get new work.
	Draining bool
	// Cold is the remaining time for which the worker is slow after its start, in
	// milliseconds.
	Cold     int64
	Capacity task.Size
	// Labels holds the kind and the rack of the worker, in this order.
	Labels []string
	// Life identifies the incarnation: the time of its start in milliseconds. A new
	// incarnation knows nothing of the runs of an earlier one.
	Life int64
}

// Rack returns the label of the rack, which follows the kind.
func (w Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}
