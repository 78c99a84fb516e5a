package breakdown

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Key tells the group of a job.
type Key func(Job) string

// Keys of groups.
var (
	ByQueue Key = func(j Job) string { return j.Queue }
	BySize  Key = func(j Job) string { return j.Queue + " " + string(j.Size) }
	ByZone  Key = func(j Job) string { return cmp.Or(j.Zone, "unknown") }
	// BySecond is by the second of the first call.
	BySecond Key = func(j Job) string { return fmt.Sprintf("%5d", j.second()) }
)

// Group is the sum of the jobs with one key.
type Group struct {
	Name string
	// Jobs counts all jobs but those that were cancelled.
	Jobs int
	// Results counts the jobs by what became of them.
	Results map[Result]int
	// Lost counts the missed jobs by the phase in which they were lost.
	Lost map[Phase]int
	// Spent is the time that the jobs were in each phase, as far as is known.
	Spent map[Phase]time.Duration
	// Worth is what the jobs are worth, Forgone what the missed ones are.
	Worth, Forgone float64
}

// Missed counts the jobs that were late, lost or are open.
func (g Group) Missed() int {
	n := 0
	for r, jobs := range g.Results {
		if r.Missed() {
			n += jobs
		}
	}
	return n
}

// Groups sums up the jobs by a key, in the order of the names.
func (r Report) Groups(key Key) []Group {
	groups := map[string]*Group{}
	for _, j := range r.Jobs {
		name := key(j)
		if groups[name] == nil {
			g := newGroup(name)
			groups[name] = &g
		}
		groups[name].add(j)
	}
	sorted := make([]Group, 0, len(groups))
	for _, g := range groups {
		sorted = append(sorted, *g)
	}
	slices.SortFunc(sorted, func(a, b Group) int { return cmp.Compare(a.Name, b.Name) })
	return sorted
}

func newGroup(name string) Group {
	return Group{Name: name, Results: map[Result]int{}, Lost: map[Phase]int{}, Spent: map[Phase]time.Duration{}}
}

func (g *Group) add(j Job) {
	g.Results[j.Result]++
	if j.Result == Cancelled {
		return
	}
	g.Jobs++
	g.Worth += j.Worth
	for p, spent := range j.Times {
		g.Spent[p] += spent
	}
	if j.Result.Missed() {
		g.Lost[j.Lost]++
		g.Forgone += j.Worth
	}
}

// second returns the second of a job's first call.
func (j Job) second() int { return floor(j.Called, time.Second) }

// floor returns how many steps a time is after the beginning, rounded down.
func floor(at, step time.Duration) int {
	n := int(at / step)
	if at%step < 0 {
		n--
	}
	return n
}
