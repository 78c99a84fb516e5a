package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// span is an inclusive range of values.
type span[T int | time.Duration] struct{ least, most T }

func draw[T int | time.Duration](s span[T], r *rand.Rand) T {
	if s.most <= s.least {
		return s.least
	}
	return s.least + T(r.Int64N(int64(s.most-s.least)+1))
}

// stream describes work of one family that arrives at random times.
type stream struct {
	family string
	// name is the prefix of the work IDs; empty means family.
	name   string
	kind   task.Kind
	urgent bool
	// unsafe reports whether the work must not run twice.
	unsafe bool
	// teams is the number of submitting teams; 0 counts as 1.
	teams int
	// rate is the number of arrivals per second between from and until.
	rate        float64
	from, until time.Duration
	// burst is the number of items that arrive together at from; if it is set,
	// rate is ignored.
	burst   int
	tasks   span[int]
	size    task.Size
	runTime span[time.Duration]
	// use is the ratio of true to declared use; 0 counts as 1.
	use float64
	// timeout is how long the callers wait for an answer; 0 means no limit.
	timeout time.Duration
	// cancelAt is when the callers cancel all the work; 0 means never.
	cancelAt time.Duration
	// reportClass is the class under which the work is reported; empty means
	// that of ClassOf.
	reportClass Class
}

// generate returns the items of all streams in order of arrival. Each stream
// draws from its own random numbers, which depend on the seed and the stream's
// index.
func generate(seed uint64, streams []stream) []Item {
	var items []Item
	for i, s := range streams {
		r := rand.New(rand.NewPCG(seed, uint64(i)))
		items = append(items, s.items(r)...)
	}
	slices.SortStableFunc(items, func(a, b Item) int { return cmp.Compare(a.At, b.At) })
	return items
}

func (s stream) items(r *rand.Rand) []Item {
	var items []Item
	if s.burst > 0 {
		for i := range s.burst {
			items = append(items, s.item(r, i, s.from))
		}
		return items
	}
	at := s.from
	for i := 0; ; i++ {
		at += time.Duration(r.ExpFloat64() / s.rate * float64(time.Second))
		if at >= s.until {
			return items
		}
		items = append(items, s.item(r, i, at))
	}
}

func (s stream) item(r *rand.Rand, number int, at time.Duration) Item {
	team := fmt.Sprintf("%s-%03d", s.family, r.IntN(max(s.teams, 1)))
	run := draw(s.runTime, r)
	item := Item{At: at, RunTime: run, Used: s.size, Timeout: s.timeout, CancelAt: s.cancelAt, ReportClass: s.reportClass, Work: task.Work{
		Team: team, ID: fmt.Sprintf("%s-%06d", cmp.Or(s.name, s.family), number), Family: s.family,
		Kind: s.kind, Urgent: s.urgent, Idempotent: !s.unsafe, FirstTry: true,
		Tasks: max(draw(s.tasks, r), 1), Size: s.size, RunTime: run,
	}}
	if s.use > 0 && s.use != 1 {
		item.Used = s.trueUse(r)
	}
	return item
}

// trueUse returns the true use of an item: the declared size times the ratio use,
// reduced at random by up to a tenth.
func (s stream) trueUse(r *rand.Rand) task.Size {
	factor := s.use * (0.9 + 0.1*r.Float64())
	used := s.size
	used.Processors = int64(float64(used.Processors) * factor)
	used.Memory = int64(float64(used.Memory) * factor)
	return used
}
