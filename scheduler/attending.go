package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

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
// a large cell is not replaced while it begins. Use newAttending to make one.
type attending struct {
	begins *rate.Limiter
	// last is when an owner last looked for workers that are new.
	last time.Duration
}

func newAttending() attending {
	return attending{begins: rate.NewLimiter(attendRate, attendAtOnce)}
}

// allow returns how many workers an owner may begin with now.
func (a *attending) allow(now time.Duration) int {
	if a.last != 0 && now-a.last < attendInterval {
		return 0
	}
	a.last = now
	return int(a.begins.TokensAt(a.at()))
}

// took notes that an owner has begun with some of the workers that were allowed.
func (a *attending) took(workers int) { a.begins.ReserveN(a.at(), workers) }

// at is the time of the last look, on the clock of the limiter.
func (a *attending) at() time.Time { return time.Unix(0, int64(a.last)) }
