package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// Bounds of what is learned.
const (
	// maxFamilies is the number of families that are remembered; the one that
	// was seen first is forgotten first.
	maxFamilies = 10_000
	// windowSamples is the number of samples after which older ones stop to
	// count.
	windowSamples = 200
	// minSamples is the number of samples before a task is given less than
	// it declares, and before a run time is used.
	minSamples = 5
	// averageSamples is the number of samples over which run times are averaged.
	averageSamples = 16
	// marginPercent is added to the largest usage that was seen.
	marginPercent = 10
)

// familyKey names a family of work. A team's work without a family is of one
// family for each kind and size.
type familyKey struct {
	team, family string
	kind         task.Kind
	// size is that of work without a family.
	size task.Size
}

// family is what is known of work of like size. A sample is the usage or the
// end of one attempt.
type family struct {
	// maxUsage and earlier are the largest usage of the samples of this window
	// and of the one before.
	maxUsage, previousMaxUsage task.Size
	// longestRun are the largest run times of the two windows.
	longestRun, previousLongestRun time.Duration
	// averageRun is the moving average of the run times.
	averageRun time.Duration
	// usageSamples and times count the samples of this window, and whole tells that
	// the window before is full.
	usageSamples, runTimeSamples       int
	usageWindowFull, runTimeWindowFull bool
	// succeeded and failed count ends; both are halved from time to time.
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

// addUsage takes a sample of what an attempt used.
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

// addRunTime takes a sample of how long an attempt ran to its end.
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

// addEnd counts how an attempt ended.
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

// learnedSize returns what a task is given that declares so much: the largest usage
// seen and a margin, which alone does not lift it above what is declared, and not
// less than what was seen. Without enough samples it is not less than what is
// declared either.
func (f *family) learnedSize(declared task.Size) task.Size {
	seen := maxSize(f.maxUsage, f.previousMaxUsage)
	given := declared
	given.Processors = f.learnedAmount(declared.Processors, seen.Processors)
	given.Memory = f.learnedAmount(declared.Memory, seen.Memory)
	return given
}

func (f *family) learnedAmount(declared, seen int64) int64 {
	if seen == 0 {
		return declared
	}
	learned := seen + seen*marginPercent/100
	switch {
	case seen > declared:
		return learned
	case f.usageWindowFull, f.usageSamples >= minSamples:
		return min(learned, declared)
	}
	return declared
}

// longestRunTime returns the longest run time seen, or 0 without enough samples.
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
