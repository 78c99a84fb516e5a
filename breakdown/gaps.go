package breakdown

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// leastSilence is the shortest time without any line that is told, in seconds from the one
// with the line before to the one with the next. An owner writes a line about its load every
// 2 s, which may be 3 such seconds.
const leastSilence = 4

// Gaps tells what the logs don't: each field but Silent counts jobs.
type Gaps struct {
	// Unqueued have neither a call nor a submission in the logs, and are in no group.
	Unqueued int
	// Uncalled have no call, so that their time begins with the submission and has no
	// zone; Unsubmitted were accepted, but the owner's line is missing.
	Uncalled, Unsubmitted int
	// Unrun were done without the end of a run.
	Unrun int
	// Aimless have no objective on their lines, Unweighed no estimate of their work.
	Aimless, Unweighed int
	// Zoneless were called at a host whose start is not in the logs.
	Zoneless int
	// Silent are the times in which no host wrote a line.
	Silent []Silence
}

// Silence is a time without a line, since the beginning of the logs.
type Silence struct{ From, To time.Duration }

// findGaps counts what is missing of the jobs of a queue.
func findGaps(tracks []*track) Gaps {
	var g Gaps
	for _, t := range tracks {
		g.Uncalled += count(!t.called)
		g.Unsubmitted += count(t.accepted && t.submitted.IsZero())
		g.Unrun += count(t.state == workload.Done && t.latest(nil) == nil)
		g.Aimless += count(t.aim == 0)
		g.Unweighed += count(t.work == 0)
		g.Zoneless += count(t.called && t.Zone == "")
	}
	return g
}

func count(missing bool) int {
	if missing {
		return 1
	}
	return 0
}

func (g Gaps) with(o Gaps) Gaps {
	g.Uncalled += o.Uncalled
	g.Unsubmitted += o.Unsubmitted
	g.Unrun += o.Unrun
	g.Aimless += o.Aimless
	g.Unweighed += o.Unweighed
	g.Zoneless += o.Zoneless
	return g
}

// silences returns the times without a line.
func silences(seconds map[int64]bool, zero time.Time) []Silence {
	var found []Silence
	before := int64(0)
	for i, s := range slices.Sorted(maps.Keys(seconds)) {
		if i > 0 && s-before >= leastSilence {
			found = append(found, Silence{time.Unix(before+1, 0).Sub(zero), time.Unix(s, 0).Sub(zero)})
		}
		before = s
	}
	return found
}
