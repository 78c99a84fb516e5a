package decision

import "time"

// startRateWindow is the time over which starts are counted.
const startRateWindow = time.Second

// startRateGain is the weight of the latest window in the average.
const startRateGain = 0.3

// Bounds of the time after which a refused caller is told to come back.
const (
	maxRetryAfter = 5 * time.Minute
	// jobsPerRetryAfterSecond is the queue that adds a second while no rate is known.
	jobsPerRetryAfterSecond = 1000
)

// startRate is how fast jobs start while some wait.
type startRate struct {
	startCount  int
	windowStart time.Time
	// perSecond is in starts a second; 0 is not known.
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

// expectedWait returns how long work waits that has a number of jobs ahead of it, or 0
// if that is not known.
func (p *startRate) expectedWait(ahead int) time.Duration {
	if p.perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / p.perSecond * float64(time.Second))
}

// retryAfter returns when to come back, later the more work is ahead.
func (p *startRate) retryAfter(ahead int) time.Duration {
	wait := p.expectedWait(ahead)
	if p.perSecond <= 0 {
		wait = time.Duration(ahead) * time.Second / jobsPerRetryAfterSecond
	}
	return min(DefaultRetryAfter+wait, maxRetryAfter)
}
