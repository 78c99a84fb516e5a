package scheduler

import "sync"

// noted is the last end of a worker that is recorded, so that the worker may forget it
// and those before. Ends are counted anew in each life of a worker. The zero value has
// none. It is safe for concurrent use.
type noted struct {
	mu sync.Mutex
	// life is that of the last report.
	life int64
	// of is the life that number counts in.
	of, number int64
}

// heard notes the life of a report.
func (n *noted) heard(life int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.life = life
}

// record notes that an end is recorded. It may come after the worker began another life.
func (n *noted) record(life, number int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if life == n.of {
		number = max(number, n.number)
	}
	n.of, n.number = life, number
}

// has reports whether an end is known to be recorded.
func (n *noted) has(life, number int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.of == life && n.number >= number
}

// forget returns the number up to which the worker may forget its ends, 0 if none of the
// life that was last heard is recorded: a number of an earlier life would make it forget
// ends that nobody has seen.
func (n *noted) forget() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.of != n.life {
		return 0
	}
	return n.number
}
