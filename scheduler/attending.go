package scheduler

import "time"

const (
	// attendAtOnce is how many workers an owner begins to attend to at once. The first
	// look at one takes it 2 ms, with the connection and the lines of the log, and it has
	// two fifths of a processor. The largest cells of the users have 350 workers.
	attendAtOnce = 600
	// attendRate is how many more it begins with in a second, for a quarter of a
	// processor: the rest is for its lease and what it decides.
	attendRate = 120
	// attendInterval is the pause between two looks for workers that are new.
	attendInterval = 50 * time.Millisecond
)

// attending limits how fast an owner begins to attend to workers, so that the owner of
// a large cell is not replaced while it begins. The zero value is ready.
type attending struct {
	// used is the number of workers that count against attendAtOnce as of last.
	used float64
	last time.Duration
}

// allow returns how many workers an owner may begin with now.
func (a *attending) allow(now time.Duration) int {
	if a.last != 0 && now-a.last < attendInterval {
		return 0
	}
	a.used = max(0, a.used-attendRate*(now-a.last).Seconds())
	a.last = now
	return int(attendAtOnce - a.used)
}

// took notes that an owner has begun with some workers.
func (a *attending) took(workers int) { a.used += float64(workers) }
