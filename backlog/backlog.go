package backlog

import (
	"math"
	"time"
)

const (
	// memoryShare is the share of the memory of a host that jobs may take.
	memoryShare = 0.25
	// beyondShare is the part of the limit up to which jobs beyond the share of their organisation are
	// accepted, so that one organisation leaves room for the others.
	beyondShare = 0.5
	// rateDecay is the time constant with which ended jobs are forgotten in the rate at which memory
	// becomes free.
	rateDecay = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a refused job may be sent again.
	// Rates are not predictable for longer.
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// LimitOf returns the limit, in bytes, that follows from the memory of the smallest host that may
// own the cell.
func LimitOf(memory int64) int64 { return int64(memoryShare * float64(memory)) }

// Backlog decides which jobs are accepted. The zero value accepts all. It is not safe for
// concurrent use.
type Backlog struct {
	// limit is in bytes; 0 is no limit.
	limit int64
	// held is the memory of all jobs, in bytes.
	held int64
	// freed is the decayed memory of the jobs that have ended, as of updatedAt; the first time was
	// begunAt.
	freed              float64
	begunAt, updatedAt time.Duration
	begun              bool
	// promised is the memory of refused jobs that are expected to come back and find room first.
	promised float64
}

// SetLimit sets the limit in bytes; 0 is no limit. Jobs beyond a lowered limit are kept.
func (b *Backlog) SetLimit(limit int64) { b.limit = limit }

// Update notes the memory that all jobs take now, in bytes. What they take less than before, with
// those accepted since, counts as freed.
func (b *Backlog) Update(now time.Duration, held int64) {
	if !b.begun {
		b.begun, b.begunAt, b.updatedAt, b.held = true, now, now, held
	}
	elapsed := (now - b.updatedAt).Seconds()
	b.promised = max(0, b.promised-b.rate(now)*elapsed)
	b.freed = b.freed*math.Exp(-elapsed/rateDecay.Seconds()) + float64(max(0, b.held-held))
	b.updatedAt, b.held = now, held
}

// rate returns how fast memory has become free lately, in bytes a second.
func (b *Backlog) rate(now time.Duration) float64 {
	window := rateDecay.Seconds() * (1 - math.Exp(-(now-b.begunAt).Seconds()/rateDecay.Seconds()))
	return b.freed / max(window, 1)
}

// Admit accepts a job that takes some memory, in bytes, or returns when there should be room for it,
// after the jobs that were refused before. A job that is alone is accepted.
func (b *Backlog) Admit(now time.Duration, bytes int64, beyondItsShare bool) (retryAfter time.Duration, ok bool) {
	limit := float64(b.limit)
	if beyondItsShare {
		limit *= beyondShare
	}
	missing := float64(b.held+bytes) - limit
	if b.limit <= 0 || b.held == 0 || missing <= 0 {
		b.held += bytes
		return 0, true
	}
	b.promised = min(b.promised+float64(bytes), limit)
	seconds := maxRetryAfter.Seconds()
	if rate := b.rate(now); rate > 0 {
		seconds = min(seconds, (missing+b.promised-float64(bytes))/rate)
	}
	return max(minRetryAfter, time.Duration(seconds*float64(time.Second))), false
}
