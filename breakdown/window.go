package breakdown

import (
	"cmp"
	"slices"
	"time"
)

const (
	// WindowLength is that of a window.
	WindowLength = 2 * time.Second
	// maxSubjects is how many hosts or workers an event of a window names.
	maxSubjects = 3
)

// Window is the sum of the jobs whose first call was in it, and what happened meanwhile.
type Window struct {
	Group
	// From is when it begins, since the beginning of the logs.
	From time.Duration
	// Usual is the median of the jobs of all windows.
	Usual  int
	Events []Event
}

// Event is a number of like happenings in a window.
type Event struct {
	Kind Kind
	What string
	// Count is how many there were; Subjects names the first.
	Count    int
	Subjects []string
	// Longest is the longest of them, also outside the window.
	Longest time.Duration
}

// Worst returns the windows in which most was lost, the worst first: by worth if the
// logs have it, or else by jobs.
func (r Report) Worst(n int) []Window {
	windows := r.windows()
	usual := usualJobs(windows)
	windows = slices.DeleteFunc(windows, func(w Window) bool { return w.Missed() == 0 })
	slices.SortStableFunc(windows, func(a, b Window) int {
		return cmp.Or(cmp.Compare(b.Forgone, a.Forgone), cmp.Compare(b.Missed(), a.Missed()))
	})
	windows = windows[:max(0, min(n, len(windows)))]
	for i := range windows {
		windows[i].Usual = usual
		windows[i].Events = r.events(windows[i].From)
	}
	return windows
}

// windows returns the windows with calls in the order of time.
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

func usualJobs(windows []Window) int {
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

// events sums up what happened in a window.
func (r Report) events(from time.Duration) []Event {
	var events []Event
	for _, h := range r.Happenings {
		if h.To < from || h.From >= from+WindowLength {
			continue
		}
		i := slices.IndexFunc(events, func(e Event) bool { return e.Kind == h.Kind && e.What == h.What })
		if i < 0 {
			i = len(events)
			events = append(events, Event{Kind: h.Kind, What: h.What})
		}
		events[i].add(h)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.Kind, b.Kind) })
	return events
}

func (e *Event) add(h Happening) {
	e.Count++
	e.Longest = max(e.Longest, h.To-h.From)
	if len(e.Subjects) < maxSubjects && !slices.Contains(e.Subjects, h.Subject) {
		e.Subjects = append(e.Subjects, h.Subject)
	}
}
