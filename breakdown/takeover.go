package breakdown

import "time"

// Cause is the reason for which a host took the cell over.
type Cause string

// The causes, from the fastest takeover to the slowest.
const (
	// Restarted is an owner that found itself recorded as the owner when it started.
	Restarted Cause = "Restarted"
	// Resigned is an owner that released the cell.
	Resigned Cause = "Resigned"
	// Unlinked is an owner that stopped renewing its lease and could not be reached.
	Unlinked Cause = "Unlinked"
	// Stale is an owner that stopped renewing its lease.
	Stale Cause = "Stale"
)

// Causes lists the causes in order.
var Causes = []Cause{Restarted, Resigned, Unlinked, Stale}

// Takeovers holds for each cause how long the cell had no owner: from the last sign of the
// previous owner, or the start of the host if it was the owner itself, until the next owner
// has recovered. Takeovers that failed because another host was faster are left out.
type Takeovers map[Cause][]time.Duration

// Percentile returns the time that the given share of the takeovers with a cause stay
// below.
func (t Takeovers) Percentile(c Cause, share float64) time.Duration { return percentile(t[c], share) }

// takeoverTracker tracks the takeovers of each host through its log.
type takeoverTracker struct {
	pending map[string]takeover
	gaps    Takeovers
}

type takeover struct {
	cause Cause
	// lastSign is the time of the last sign of the previous owner.
	lastSign time.Time
}

func newTakeoverTracker() *takeoverTracker {
	return &takeoverTracker{pending: map[string]takeover{}, gaps: Takeovers{}}
}

// addLine adds a line. If the line ends a period without an owner, it returns the length of
// that period and true.
func (t *takeoverTracker) addLine(l line) (time.Duration, bool) {
	switch l.Message {
	case "front: taking the cell":
		// The first owner of a cell replaces no other.
		if l.Fence > 0 {
			t.pending[l.Host] = newTakeover(l)
		}
	case "front: cell not taken":
		delete(t.pending, l.Host)
	case "scheduler: recovered":
		if b, ok := t.pending[l.Host]; ok {
			gap := l.Time.Sub(b.lastSign)
			t.gaps[b.cause] = append(t.gaps[b.cause], gap)
			delete(t.pending, l.Host)
			return gap, true
		}
	}
	return 0, false
}

func newTakeover(l line) takeover {
	b := takeover{cause: Stale, lastSign: l.Time.Add(-milliseconds(l.AgeMS))}
	switch {
	case l.Owner == l.Host:
		b.cause, b.lastSign = Restarted, l.Time
	case l.Owner == "":
		b.cause = Resigned
	case !l.Linked:
		b.cause = Unlinked
	}
	return b
}
