package budget

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// progressWindow is the time within which most of the progress of a request is forgotten.
	// Callers that spread a body over 2 s pause for less between two pieces.
	progressWindow = 250 * time.Millisecond
	// pressureShare is the share of the limit above which requests are dropped. The rest is for
	// dropped requests until they have ended: they hold their memory until their goroutines run.
	pressureShare = 0.75
	// busyShare is the share of the limit above which the budget is busy.
	busyShare = 0.5
	// minDroppedBytes is the least charge that is dropped. Ordinary requests hold less, and dropping
	// them would free little.
	minDroppedBytes = 8 << 10
)

// Budget bounds the total of its charges, unless there is only one. The zero value has no limit.
// It is safe for concurrent use.
type Budget struct {
	mu sync.Mutex
	// limit is in bytes; 0 is no limit.
	limit int64
	// held is the total of all charges, and droppedHeld that of the dropped ones, which end soon.
	held, droppedHeld int64
	// receiving holds the charges that may be dropped.
	receiving        []*Charge
	dropped, refused int64
}

// New returns a budget of the given number of bytes; 0 is no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// SetLimit changes the limit, which applies to what is received from then on.
func (b *Budget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// Stats describes a budget.
type Stats struct {
	// Limit and Held are in bytes.
	Limit, Held int64
	// Dropped counts requests that were dropped while they were received, and Refused those that
	// found no room.
	Dropped, Refused int64
}

// Stats returns the present state.
func (b *Budget) Stats() Stats {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Stats{Limit: b.limit, Held: b.held, Dropped: b.dropped, Refused: b.refused}
}

// state is the state of a charge.
type state int

const (
	// receiving: the request arrives, and may be dropped.
	receiving state = iota
	// complete: the request has arrived. It may have an effect, so it is not dropped.
	complete
	// dropped: the request must end.
	dropped
	closed
)

// Charge is the part of a budget that one request holds. Open one with Budget.Open. A nil charge
// is that of a request without a budget: all of its calls succeed.
type Charge struct {
	budget *Budget
	drop   func()
	state  state
	held   int64
	// recent is the number of bytes received, each weighted by exp(-age/progressWindow) as of last.
	recent float64
	last   time.Duration
	// progress is the logarithm of recent as of time 0. As all weights fade alike, the order of
	// charges by progress does not change with time.
	progress float64
}

// Open returns the charge of a new request, or nil if there is no budget. If the request is dropped,
// drop is called once, with the budget locked: it must not block and must not use the budget.
func (b *Budget) Open(drop func()) *Charge {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &Charge{budget: b, drop: drop}
	b.receiving = append(b.receiving, c)
	return c
}

// Receive charges memory for bytes that have arrived now. It reports false if the request must
// end: it was dropped, or there is no room for it.
func (c *Charge) Receive(now time.Duration, bytes int64) bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.recent = c.recent*math.Exp(-float64(now-c.last)/float64(progressWindow)) + float64(bytes)
	c.last = now
	c.progress = math.Log(c.recent) + float64(now)/float64(progressWindow)
	return c.budget.reserve(c, bytes)
}

// IsBusy reports whether so much of the budget is held that large requests should be received more
// slowly, so that they leave processor time to others.
func (c *Charge) IsBusy() bool {
	if c == nil {
		return false
	}
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit > 0 && float64(b.held) > busyShare*float64(b.limit)
}

// Reserve charges memory that holds no received bytes, such as a decoded form. It reports false
// if the request must end.
func (c *Charge) Reserve(bytes int64) bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	return c.budget.reserve(c, bytes)
}

// Complete notes that all of the request has arrived, so that it is no longer dropped. It reports
// false if it was dropped before.
func (c *Charge) Complete() bool {
	if c == nil {
		return true
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state == receiving {
		c.budget.stopReceiving(c, complete)
	}
	return c.state == complete
}

// Shrink lowers the charge to the given number of bytes, if it is higher.
func (c *Charge) Shrink(bytes int64) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state != closed {
		c.budget.release(c, max(0, c.held-bytes))
	}
}

// Close ends the request. Further calls have no effect.
func (c *Charge) Close() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.state == receiving {
		c.budget.stopReceiving(c, closed)
	}
	c.budget.release(c, c.held)
	c.state = closed
}

// reserve adds to a charge. Under pressure it first drops the charges with the least progress,
// which may include this one. A request that is alone may exceed the limit, as the largest body
// that the operator allows may need more. The caller holds b.mu.
func (b *Budget) reserve(c *Charge, bytes int64) bool {
	if c.state == dropped || c.state == closed {
		return false
	}
	if b.limit > 0 {
		for b.held-b.droppedHeld > c.held && b.isPressed(bytes) && b.dropSlowest() {
			if c.state == dropped {
				return false
			}
		}
		if b.held > c.held && b.held+bytes > b.limit {
			b.refused++
			return false
		}
	}
	c.held += bytes
	b.held += bytes
	return true
}

// isPressed reports whether requests are to be dropped if some bytes are added. The caller holds
// b.mu.
func (b *Budget) isPressed(bytes int64) bool {
	return float64(b.held-b.droppedHeld+bytes) > pressureShare*float64(b.limit)
}

// dropSlowest drops the charge with the least progress, and reports whether there was one. The
// caller holds b.mu.
func (b *Budget) dropSlowest() bool {
	var slowest *Charge
	for _, c := range b.receiving {
		if c.held >= minDroppedBytes && (slowest == nil || c.progress < slowest.progress) {
			slowest = c
		}
	}
	if slowest == nil {
		return false
	}
	b.stopReceiving(slowest, dropped)
	b.droppedHeld += slowest.held
	b.dropped++
	slowest.drop()
	return true
}

// stopReceiving changes the state of a charge that was receiving. The caller holds b.mu.
func (b *Budget) stopReceiving(c *Charge, next state) {
	i := slices.Index(b.receiving, c)
	last := len(b.receiving) - 1
	b.receiving[i] = b.receiving[last]
	b.receiving[last] = nil
	b.receiving = b.receiving[:last]
	c.state = next
}

// release subtracts from a charge. The caller holds b.mu.
func (b *Budget) release(c *Charge, bytes int64) {
	c.held -= bytes
	b.held -= bytes
	if c.state == dropped {
		b.droppedHeld -= bytes
	}
}
