package breakdown

import "time"

// Cause is why a host took the cell.
type Cause string

// The causes, the quickest first.
const (
	// Restarted is an owner that found itself named as such when it started.
	Restarted Cause = "Restarted"
	// Resigned is an owner that gave the cell up.
	Resigned Cause = "Resigned"
	// Unlinked is an owner that renewed its lease no more and could not be reached.
	Unlinked Cause = "Unlinked"
	// Stale is an owner that renewed its lease no more.
	Stale Cause = "Stale"
)

// Causes lists the causes in their order.
var Causes = []Cause{Restarted, Resigned, Unlinked, Stale}

// Takeovers holds for each cause how long the cell had no owner: from the last sign of
// the earlier one, or the start of the host, until the next has recovered. Takeovers
// that another host was faster at are left out.
type Takeovers map[Cause][]time.Duration

// Percentile returns the time below which a share of the takeovers of a cause are.
func (t Takeovers) Percentile(c Cause, share float64) time.Duration { return percentile(t[c], share) }

// takeoverTracker follows the takeovers of each host through its log.
type takeoverTracker struct {
	pending map[string]takeover
	gaps    Takeovers
}

type takeover struct {
	cause Cause
	// lastSign is the last sign of the earlier owner.
	lastSign time.Time
}

func newTakeoverTracker() *takeoverTracker {
	return &takeoverTracker{pending: map[string]takeover{}, gaps: Takeovers{}}
}

// addLine adds a line. If it ends a time without an owner, that is returned.
func (t *takeoverTracker) addLine(l line) (time.Duration, bool) {
	switch l.Message {
	case "front: taking the cell":
		// The first owner of a cell takes it from nobody.
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
