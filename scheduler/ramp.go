package scheduler

import (
	"time"

	"golang.org/x/time/rate"
)

const (
	// rampBurst is the number of workers that an owner connects to without a rate limit.
	// The first hold of a worker costs the owner 2 ms of processor time, including the
	// connection and the log lines, and the owner has two fifths of a processor. The
	// largest expected cells have 350 workers.
	rampBurst = 600
	// rampRate is the number of further workers per second. It uses a quarter of a
	// processor and leaves the rest for lease renewal and scheduling decisions.
	rampRate = 120
	// rampInterval is the minimum interval between two checks for new workers.
	rampInterval = 50 * time.Millisecond
)

// workerRamp limits the rate at which an owner connects to workers, so that the owner of
// a large cell can renew its lease in time while it starts up. Use newWorkerRamp to
// create one.
type workerRamp struct {
	limiter *rate.Limiter
	// lastCheck is the time of the last check for new workers.
	lastCheck time.Duration
}

func newWorkerRamp() workerRamp {
	return workerRamp{limiter: rate.NewLimiter(rampRate, rampBurst)}
}

// available returns how many workers the owner may connect to now.
func (a *workerRamp) available(now time.Duration) int {
	if a.lastCheck != 0 && now-a.lastCheck < rampInterval {
		return 0
	}
	a.lastCheck = now
	return int(a.limiter.TokensAt(a.limiterTime()))
}

// consume deducts workers that the owner has connected to.
func (a *workerRamp) consume(workers int) { a.limiter.ReserveN(a.limiterTime(), workers) }

// limiterTime returns the time of the last check on the clock of the limiter.
func (a *workerRamp) limiterTime() time.Time { return time.Unix(0, int64(a.lastCheck)) }
