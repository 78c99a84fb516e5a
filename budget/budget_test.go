package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/budget"
)

const (
	kib = 1 << 10
	mib = 1 << 20
	// bodyBytes is the largest body of the deployments.
	bodyBytes = 256 * kib
	ms        = time.Millisecond
)

// request is a request with a charge.
type request struct {
	*budget.Charge
	dropped bool
}

// closeDropped ends the requests that were dropped, as their goroutines would, and returns how
// many there were.
func closeDropped(requests []*request) int {
	n := 0
	for _, r := range requests {
		if r.dropped {
			r.Close()
			n++
		}
	}
	return n
}

func open(b *budget.Budget) *request {
	r := &request{}
	r.Charge = b.Open(func() { r.dropped = true })
	return r
}

// Load: 200 clients send bodies that stop just short of their end, and stay open. They must not
// keep room from a caller that spreads its body over 2 s, nor from one that sends it at once.
func TestStalledBodiesAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	b := budget.New(8 * mib)
	var stalled []*request
	for i := range 20 {
		r := open(b)
		c.Assert(r.Receive(time.Duration(i)*ms, bodyBytes), qt.IsTrue)
		stalled = append(stalled, r)
	}
	slow := open(b)
	now := time.Second
	for ; now < 3*time.Second; now += 20 * ms {
		c.Assert(slow.Receive(now, bodyBytes/100), qt.IsTrue, qt.Commentf("at %s", now))
		if len(stalled) < 200 {
			// They arrive within the same time, but stop at once.
			r := open(b)
			c.Assert(r.Receive(now-500*ms, bodyBytes), qt.IsTrue)
			stalled = append(stalled, r)
		}
		closeDropped(stalled)
	}
	fast := open(b)
	c.Assert(fast.Receive(now, bodyBytes), qt.IsTrue)
	c.Assert(slow.Complete() && fast.Complete(), qt.IsTrue)
	c.Assert(closeDropped(stalled) > 0, qt.IsTrue)
}

// Load: clients that send a byte now and then to look alive.
func TestTrickledBodiesAreDroppedFirst(t *testing.T) {
	c := qt.New(t)
	b := budget.New(4 * mib)
	var trickled []*request
	for range 12 {
		r := open(b)
		c.Assert(r.Receive(0, bodyBytes-100), qt.IsTrue)
		trickled = append(trickled, r)
	}
	slow := open(b)
	for now := time.Duration(0); now < 2*time.Second; now += 20 * ms {
		for _, r := range trickled {
			r.Receive(now, 1)
		}
		c.Assert(slow.Receive(now, bodyBytes/100), qt.IsTrue, qt.Commentf("at %s", now))
	}
	c.Assert(slow.dropped, qt.IsFalse)
}

// Load: more bodies than fit, all at the same pace, and new ones all the time. Those that have
// begun must complete: if new ones replaced them, none ever would.
func TestBodiesCompleteUnderSustainedOverload(t *testing.T) {
	c := qt.New(t)
	b := budget.New(2 * mib)
	completed := 0
	received := map[*request]int64{}
	for now := time.Duration(0); now < 5*time.Second; now += 10 * ms {
		received[open(b)] = 0
		for r := range received {
			if !r.Receive(now, 8*kib) {
				r.Close()
				delete(received, r)
				continue
			}
			received[r] += 8 * kib
			if received[r] >= bodyBytes && r.Complete() {
				completed++
				r.Close()
				delete(received, r)
			}
		}
	}
	// 6 bodies fit below the pressure, and each takes 320 ms.
	c.Assert(completed > 50, qt.IsTrue, qt.Commentf("%d completed", completed))
}

// A complete request may have been passed on, so that its refusal could be untrue.
func TestCompleteRequestsAreNotDropped(t *testing.T) {
	c := qt.New(t)
	b := budget.New(mib)
	first := open(b)
	c.Assert(first.Receive(0, 900*kib), qt.IsTrue)
	c.Assert(first.Complete(), qt.IsTrue)
	second := open(b)
	c.Assert(second.Receive(time.Second, 200*kib), qt.IsFalse)
	c.Assert(first.dropped, qt.IsFalse)
	c.Assert(b.Stats(), qt.Equals, budget.Stats{Limit: mib, Held: 900 * kib, Refused: 1})
	first.Close()
	c.Assert(second.Receive(time.Second, 200*kib), qt.IsTrue)
}

// Ordinary requests are small, and dropping them would free little.
func TestSmallRequestsAreNotDropped(t *testing.T) {
	c := qt.New(t)
	b := budget.New(mib)
	small := open(b)
	c.Assert(small.Receive(0, kib), qt.IsTrue)
	large := open(b)
	c.Assert(large.Receive(time.Second, 700*kib), qt.IsTrue)
	c.Assert(open(b).Receive(2*time.Second, 200*kib), qt.IsTrue)
	c.Assert(large.dropped, qt.IsTrue)
	c.Assert(small.dropped, qt.IsFalse)
}

// A decoded form must not exceed the budget either, and counts only while it is held.
func TestDecodedFormIsCharged(t *testing.T) {
	c := qt.New(t)
	b := budget.New(mib)
	r := open(b)
	c.Assert(r.Receive(0, 100*kib) && r.Complete(), qt.IsTrue)
	other := open(b)
	c.Assert(other.Receive(0, kib) && other.Complete(), qt.IsTrue)
	c.Assert(r.Reserve(2*mib), qt.IsFalse)
	other.Close()
	c.Assert(r.Reserve(500*kib), qt.IsTrue)
	r.Shrink(10 * kib)
	c.Assert(b.Stats().Held, qt.Equals, int64(10*kib))
	r.Close()
	c.Assert(b.Stats().Held, qt.Equals, int64(0))
}

// An operator may allow bodies that take more than the whole budget. One at a time must be served.
func TestSingleRequestMayExceedTheLimit(t *testing.T) {
	c := qt.New(t)
	b := budget.New(mib)
	first := open(b)
	for range 2 {
		c.Assert(first.Receive(0, 900*kib), qt.IsTrue)
	}
	second := open(b)
	c.Assert(second.Receive(time.Second, 2*mib), qt.IsFalse)
	c.Assert(first.dropped, qt.IsTrue)
	first.Close()
	c.Assert(second.Receive(time.Second, 2*mib) && second.Complete() && second.Reserve(mib), qt.IsTrue)
}

// Whatever requests do, the total exceeds the limit only while one request holds all of it, a
// request without room is told so, and nothing stays charged.
func TestTotalIsWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(kib, mib).Draw(t, "limit")
		b := budget.New(limit)
		var requests []*request
		held := map[*request]int64{}
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * ms
			if len(requests) == 0 || rapid.Bool().Draw(t, "open") {
				requests = append(requests, open(b))
			}
			r := rapid.SampledFrom(requests).Draw(t, "request")
			bytes := rapid.Int64Range(1, 300*kib).Draw(t, "bytes")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				r.Close()
				held[r] = -1
			case 1:
				if r.Complete() && r.dropped {
					t.Fatal("complete after it was dropped")
				}
			case 2:
				r.Shrink(bytes)
				held[r] = min(held[r], bytes)
			case 3:
				if r.Reserve(bytes) {
					held[r] += bytes
				}
			default:
				if r.Receive(now, bytes) {
					held[r] += bytes
					if r.dropped {
						t.Fatal("room for a dropped request")
					}
				}
			}
			total, largest := int64(0), int64(0)
			for _, bytes := range held {
				total += max(0, bytes)
				largest = max(largest, bytes)
			}
			if total != b.Stats().Held {
				t.Fatalf("%d bytes held, of which %d are charged", total, b.Stats().Held)
			}
			if total > limit && total > largest {
				t.Fatalf("%d bytes held, of %d", total, limit)
			}
		}
		for _, r := range requests {
			r.Close()
		}
		if held := b.Stats().Held; held != 0 {
			t.Fatalf("%d bytes held without a request", held)
		}
	})
}

func TestRequestWithoutBudget(t *testing.T) {
	var none *budget.Charge
	qt.Assert(t, none.Receive(0, 1<<40) && none.Reserve(1) && none.Complete(), qt.IsTrue)
	none.Shrink(0)
	none.Close()
	unlimited := open(&budget.Budget{})
	qt.Assert(t, unlimited.Receive(0, 1<<40), qt.IsTrue)
}
