package breakdown

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

// minSilenceSeconds is the shortest silence that is reported, in seconds from the second of
// the last line before it to that of the next line. An owner logs its load every 2 s, which
// can span 3 such seconds.
const minSilenceSeconds = 4

// Gaps describes the data that the logs lack. Each field but Silences counts jobs.
type Gaps struct {
	// WithoutQueue counts jobs with neither a call nor a submission; they are in no group.
	WithoutQueue int
	// WithoutCall counts jobs without a call, whose time starts at the submission and whose
	// zone is unknown; WithoutSubmission counts jobs that were accepted without the owner's
	// submission line.
	WithoutCall, WithoutSubmission int
	// WithoutRun counts jobs that were done without a line about the end of a run.
	WithoutRun int
	// WithoutObjective counts jobs without a latency objective, WithoutEstimate those
	// without an estimate of their work.
	WithoutObjective, WithoutEstimate int
	// WithoutZone counts jobs whose first call went to a host whose start is not in the
	// logs.
	WithoutZone int
	// Silences are the periods in which no host wrote a line.
	Silences []Silence
}

// Silence is a period without a line, relative to the beginning of the logs.
type Silence struct{ From, To time.Duration }

// findGaps counts the jobs of a queue by the data that they lack.
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

// findSilences returns the periods without a line, in order.
func findSilences(seconds map[int64]bool, origin time.Time) []Silence {
	var found []Silence
	before := int64(0)
	for i, s := range slices.Sorted(maps.Keys(seconds)) {
		if i > 0 && s-before >= minSilenceSeconds {
			found = append(found, Silence{time.Unix(before+1, 0).Sub(origin), time.Unix(s, 0).Sub(origin)})
		}
		before = s
	}
	return found
}
