package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of the learned statistics.
const (
	// maxFamilies is the maximum number of families kept; the oldest is evicted
	// first.
	maxFamilies = 10_000
	// windowSamples is the number of samples in a window. Only the current and
	// the previous window count.
	windowSamples = 200
	// minSamples is the number of samples required before a task gets less than
	// it declares, and before a run time is used.
	minSamples = 5
	// averageSamples is the number of samples over which the moving average of
	// the run time extends.
	averageSamples = 16
	// marginPercent is added to the largest observed usage.
	marginPercent = 10
)

// familyKey identifies a family of work. Work that names no family belongs to
// one for its team, kind and size.
type familyKey struct {
	team, family string
	kind         task.Kind
	// size is set only for work that names no family.
	size task.Size
}

// family holds the statistics of similar work. A sample is the usage or the end
// of one attempt.
type family struct {
	// maxUsage and previousMaxUsage are the largest usage in the current and
	// the previous window.
	maxUsage, previousMaxUsage task.Size
	// longestRun and previousLongestRun are the longest run times in the two
	// windows.
	longestRun, previousLongestRun time.Duration
	// averageRun is the moving average of the run times.
	averageRun time.Duration
	// usageSamples and runTimeSamples count the samples of the current window;
	// usageWindowFull and runTimeWindowFull report whether there is a previous
	// one.
	usageSamples, runTimeSamples       int
	usageWindowFull, runTimeWindowFull bool
	// succeeded and failed count ends; both are halved when their sum reaches
	// windowSamples.
	succeeded, failed float64
}

func (c *Core) familyOf(w task.Work) *family {
	key := familyKey{team: w.Team, family: w.Family, kind: w.Kind}
	if w.Family == "" {
		key.size = w.Size
	}
	if f, ok := c.families[key]; ok {
		return f
	}
	if len(c.familyOrder) >= maxFamilies {
		delete(c.families, c.familyOrder[0])
		c.familyOrder = c.familyOrder[1:]
	}
	f := &family{}
	c.families[key] = f
	c.familyOrder = append(c.familyOrder, key)
	return f
}

// addUsage adds a sample of the usage of an attempt.
func (f *family) addUsage(used task.Size) {
	if used.IsZero() {
		return
	}
	f.maxUsage = maxSize(f.maxUsage, used)
	f.usageSamples++
	if f.usageSamples >= windowSamples {
		f.previousMaxUsage, f.maxUsage, f.usageSamples, f.usageWindowFull = f.maxUsage, task.Size{}, 0, true
	}
}

// addRunTime adds a sample of the run time of an attempt that succeeded.
func (f *family) addRunTime(d time.Duration) {
	f.longestRun = max(f.longestRun, d)
	if f.runTimeSamples == 0 && !f.runTimeWindowFull {
		f.averageRun = d
	}
	f.averageRun += (d - f.averageRun) / averageSamples
	f.runTimeSamples++
	if f.runTimeSamples >= windowSamples {
		f.previousLongestRun, f.longestRun, f.runTimeSamples, f.runTimeWindowFull = f.longestRun, 0, 0, true
	}
}

// addEnd counts the end of an attempt.
func (f *family) addEnd(succeeded bool) {
	if f.succeeded+f.failed >= windowSamples {
		f.succeeded /= 2
		f.failed /= 2
	}
	if succeeded {
		f.succeeded++
	} else {
		f.failed++
	}
}

// learnedSize returns the size for a task that declares a size: the largest
// observed usage plus a margin. The margin alone never raises it above the
// declared size, and it is never less than the observed usage. Without
// minSamples samples it is not less than the declared size either.
func (f *family) learnedSize(declared task.Size) task.Size {
	observed := maxSize(f.maxUsage, f.previousMaxUsage)
	given := declared
	given.Processors = f.learnedAmount(declared.Processors, observed.Processors)
	given.Memory = f.learnedAmount(declared.Memory, observed.Memory)
	return given
}

func (f *family) learnedAmount(declared, observed int64) int64 {
	if observed == 0 {
		return declared
	}
	learned := observed + observed*marginPercent/100
	switch {
	case observed > declared:
		return learned
	case f.usageWindowFull, f.usageSamples >= minSamples:
		return min(learned, declared)
	}
	return declared
}

// longestRunTime returns the longest observed run time, or 0 without minSamples
// samples.
func (f *family) longestRunTime() time.Duration {
	if !f.runTimeWindowFull && f.runTimeSamples < minSamples {
		return 0
	}
	return max(f.longestRun, f.previousLongestRun)
}

func maxSize(a, b task.Size) task.Size {
	return task.Size{
		Processors:   max(a.Processors, b.Processors),
		Memory:       max(a.Memory, b.Memory),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}
