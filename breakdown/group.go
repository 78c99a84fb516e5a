package breakdown

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Key returns the name of the group that a job belongs to.
type Key func(Job) string

// Keys of groups.
var (
	ByQueue Key = func(j Job) string { return j.Queue }
	BySize  Key = func(j Job) string { return j.Queue + " " + string(j.Size) }
	ByZone  Key = func(j Job) string { return cmp.Or(j.Zone, "unknown") }
	// BySecond groups jobs by the second of their first call.
	BySecond Key = func(j Job) string { return fmt.Sprintf("%5d", j.second()) }
)

// Group is the aggregate of the jobs with the same key.
type Group struct {
	Name string
	// Jobs counts all jobs except cancelled ones.
	Jobs int
	// Results counts the jobs by their results.
	Results map[Result]int
	// Lost counts the missed jobs by the phase to which the loss is attributed.
	Lost map[Phase]int
	// Spent is the known total time of the jobs in each phase.
	Spent map[Phase]time.Duration
	// Worth is the total worth of the jobs, Forgone that of the missed ones.
	Worth, Forgone float64
}

// Missed returns the number of jobs whose result is a missed one.
func (g Group) Missed() int {
	n := 0
	for r, jobs := range g.Results {
		if r.Missed() {
			n += jobs
		}
	}
	return n
}

// Groups aggregates the jobs by a key and returns the groups ordered by name.
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

// floor returns the number of whole steps from the beginning to a time, rounded down.
func floor(at, step time.Duration) int {
	n := int(at / step)
	if at%step < 0 {
		n--
	}
	return n
}
