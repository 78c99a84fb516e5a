package breakdown

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// minSilenceSeconds is the shortest time without any line that is told, in seconds from the one
// with the line before to the one with the next. An owner writes a line about its load every
// 2 s, which may be 3 such seconds.
const minSilenceSeconds = 4

// Gaps tells what the logs don't: each field but Silent counts jobs.
type Gaps struct {
	// WithoutQueue have neither a call nor a submission in the logs, and are in no group.
	WithoutQueue int
	// WithoutCall have no call, so that their time begins with the submission and has no
	// zone; Unsubmitted were accepted, but the owner's line is missing.
	WithoutCall, WithoutSubmission int
	// WithoutRun were done without the end of a run.
	WithoutRun int
	// WithoutObjective have no objective on their lines, Unweighed no estimate of their work.
	WithoutObjective, WithoutEstimate int
	// WithoutZone were called at a host whose start is not in the logs.
	WithoutZone int
	// Silences are the times in which no host wrote a line.
	Silences []Silence
}

// Silence is a time without a line, since the beginning of the logs.
type Silence struct{ From, To time.Duration }

// findGaps counts what is missing of the jobs of a queue.
func findGaps(tracks []*jobTrack) Gaps {
	var g Gaps
	for _, t := range tracks {
		g.WithoutCall += oneIf(!t.called)
		g.WithoutSubmission += oneIf(t.accepted && t.submitted.IsZero())
		g.WithoutRun += oneIf(t.state == workload.Done && t.lastDone(nil) == nil)
		g.WithoutObjective += oneIf(t.objective == 0)
		g.WithoutEstimate += oneIf(t.work == 0)
		g.WithoutZone += oneIf(t.called && t.Zone == "")
	}
	return g
}

func oneIf(missing bool) int {
	if missing {
		return 1
	}
	return 0
}

func (g Gaps) plus(o Gaps) Gaps {
	g.WithoutCall += o.WithoutCall
	g.WithoutSubmission += o.WithoutSubmission
	g.WithoutRun += o.WithoutRun
	g.WithoutObjective += o.WithoutObjective
	g.WithoutEstimate += o.WithoutEstimate
	g.WithoutZone += o.WithoutZone
	return g
}

// findSilences returns the times without a line.
func findSilences(seconds map[int64]bool, zero time.Time) []Silence {
	var found []Silence
	before := int64(0)
	for i, s := range slices.Sorted(maps.Keys(seconds)) {
		if i > 0 && s-before >= minSilenceSeconds {
			found = append(found, Silence{time.Unix(before+1, 0).Sub(zero), time.Unix(s, 0).Sub(zero)})
		}
		before = s
	}
	return found
}
