package workload

import "github.com/vanillaquay/vanillaquay/task"

// Worker is what is known of one life of a worker from its own announcement.
type Worker struct {
	ID      string
	Service string
	Address string
	Zone    string
	// Draining tells that it must get nothing new.
	Draining bool
	// Cold is how much longer it stays slow after its start, in milliseconds.
	Cold     int64
	Capacity task.Size
	// Labels holds its kind and its rack.
	Labels []string
	// Life is the millisecond of its start; another value is another life, which
	// knows nothing of what ran before.
	Life int64
}

// Rack returns the label that names the rack: the one after the kind.
func (w Worker) Rack() string {
	if len(w.Labels) < 2 {
		return ""
	}
	return w.Labels[1]
}
