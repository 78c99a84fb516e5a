package decision

import "time"

// startRateWindow is the time over which starts are counted.
const startRateWindow = time.Second

// startRateGain is the weight of the latest window in the moving average.
const startRateGain = 0.3

// Bounds of RetryAfter in refusals.
const (
	maxRetryAfter = 5 * time.Minute
	// jobsPerRetryAfterSecond is the number of queued jobs that adds a second
	// while the rate is unknown.
	jobsPerRetryAfterSecond = 1000
)

// startRate measures how fast jobs start while others are queued.
type startRate struct {
	startCount  int
	windowStart time.Time
	// perSecond is the moving average of starts per second; 0 is unknown.
	perSecond float64
}

func (p *startRate) update(now time.Time, waiting int) {
	passed := now.Sub(p.windowStart)
	if passed < startRateWindow {
		return
	}
	if waiting > 0 && !p.windowStart.IsZero() {
		rate := float64(p.startCount) / passed.Seconds()
		if p.perSecond == 0 {
			p.perSecond = rate
		}
		p.perSecond += startRateGain * (rate - p.perSecond)
	}
	p.startCount, p.windowStart = 0, now
}

// expectedWait returns how long work waits with a number of jobs ahead of it,
// or 0 if the rate is unknown.
func (p *startRate) expectedWait(ahead int) time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / p.perSecond * float64(time.Second))
}

// retryAfter returns how long a refused caller should wait before a retry, given
// the number of jobs ahead.
func (p *startRate) retryAfter(ahead int) time.Duration {
	wait := p.expectedWait(ahead)
	if p.perSecond <= 0 {
		wait = time.Duration(ahead) * time.Second / jobsPerRetryAfterSecond
	}
	return min(DefaultRetryAfter+wait, maxRetryAfter)
}
