package breakdown

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WindowLength is the length of a window.
	WindowLength = 2 * time.Second
	// maxSubjects bounds the hosts or workers that an incident group names.
	maxSubjects = 3
)

// Window aggregates the jobs whose first call was in it, with the incidents of that time.
type Window struct {
	Group
	// From is the beginning of the window, relative to that of the logs.
	From time.Duration
	// MedianJobs is the median number of jobs per window.
	MedianJobs int
	Incidents  []IncidentGroup
}

// IncidentGroup aggregates the incidents of a window with the same kind and description.
type IncidentGroup struct {
	Kind IncidentKind
	What string
	// Count is the number of incidents; Subjects names the first of their subjects.
	Count    int
	Subjects []string
	// Longest is the longest duration of an incident, including the part outside the window.
	Longest time.Duration
}

// Worst returns the n windows with the highest losses, worst first: by worth if the logs
// have it, or else by jobs.
func (r Report) Worst(n int) []Window {
	windows := r.windows()
	usual := medianJobs(windows)
	windows = slices.DeleteFunc(windows, func(w Window) bool { return w.Missed() == 0 })
	slices.SortStableFunc(windows, func(a, b Window) int {
		return cmp.Or(cmp.Compare(b.Forgone, a.Forgone), cmp.Compare(b.Missed(), a.Missed()))
	})
	windows = windows[:max(0, min(n, len(windows)))]
	for i := range windows {
		windows[i].MedianJobs = usual
		windows[i].Incidents = r.windowIncidents(windows[i].From)
	}
	return windows
}

// windows returns the windows that have calls, in order of time.
func (r Report) windows() []Window {
	var windows []Window
	for _, j := range r.Jobs {
		from := time.Duration(floor(j.Called, WindowLength)) * WindowLength
		if len(windows) == 0 || windows[len(windows)-1].From != from {
			windows = append(windows, Window{From: from, Group: newGroup("")})
		}
		windows[len(windows)-1].add(j)
	}
	return windows
}

func medianJobs(windows []Window) int {
	var jobs []int
	for _, w := range windows {
		jobs = append(jobs, w.Jobs)
	}
	slices.Sort(jobs)
	if len(jobs) == 0 {
		return 0
	}
	return jobs[len(jobs)/2]
}

// windowIncidents groups the incidents of the window that begins at from.
func (r Report) windowIncidents(from time.Duration) []IncidentGroup {
	var groups []IncidentGroup
	for _, h := range r.Incidents {
		if h.To < from || h.From >= from+WindowLength {
			continue
		}
		i := slices.IndexFunc(groups, func(e IncidentGroup) bool { return e.Kind == h.Kind && e.What == h.What })
		if i < 0 {
			i = len(groups)
			groups = append(groups, IncidentGroup{Kind: h.Kind, What: h.What})
		}
		groups[i].add(h)
	}
	slices.SortStableFunc(groups, func(a, b IncidentGroup) int { return cmp.Compare(a.Kind, b.Kind) })
	return groups
}

func (e *IncidentGroup) add(h Incident) {
	e.Count++
	e.Longest = max(e.Longest, h.To-h.From)
	if len(e.Subjects) < maxSubjects && !slices.Contains(e.Subjects, h.Subject) {
		e.Subjects = append(e.Subjects, h.Subject)
	}
}
