package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// Call is a call of a caller and what came of it.
type Call struct {
	Method string
	Host   int
	// Begun and Ended are when it was made, and answered or given up.
	Begun, Ended time.Time
	// Sent is when its last byte was sent, zero if it never was.
	Sent time.Time
	// Status is 0 if there was no whole answer, and Broken tells that the connection
	// ended then, before the caller gave up.
	Status int
	Broken bool
	Error  string `json:",omitempty"`
	// State is the state of the job that a GET was answered.
	State string `json:",omitempty"`
}

// Job is a job of a caller.
type Job struct {
	ID, Queue, Spec string
	Steps           []platformstandin.Step
	// Calls holds the calls about it in the order of their ends.
	Calls []Call
	// Closed tells that its caller has given up handing it in.
	Closed bool
}

// Route is a queue that an operator added, and may have removed.
type Route struct {
	Queue string
	// Added and Removed are when the store acknowledged that; Removed may be zero.
	Added, Removed time.Time
	// Calls ask hosts for the queue.
	Calls []Call
}

// Disruption is a fault that was carried out.
type Disruption struct {
	Fault Fault
	// From and To are when it began and ended; To is zero while it lasts.
	From, To time.Time
}

// Crash is an end of a process that nobody asked for.
type Crash struct {
	At          time.Time
	Host, Error string
}

// history gathers what callers, operators and workers see. The zero value is empty.
type history struct {
	mu          sync.Mutex
	jobs        map[string]*Job
	order       []string
	routes      []Route
	disruptions []Disruption
	crashes     []Crash
}

// addDisruption notes a fault and returns its number.
func (h *history) addDisruption(f Fault) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions = append(h.disruptions, Disruption{Fault: f, From: time.Now()})
	return len(h.disruptions) - 1
}

func (h *history) endDisruption(number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disruptions[number].To = time.Now()
}

func (h *history) addCrash(host string, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := Crash{At: time.Now(), Host: host}
	if err != nil {
		c.Error = err.Error()
	}
	h.crashes = append(h.crashes, c)
}

func (h *history) addRoute(queue string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.routes = append(h.routes, Route{Queue: queue, Added: time.Now()})
}

func (h *history) setRouteRemoved(queue string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.routes {
		if h.routes[i].Queue == queue {
			h.routes[i].Removed = time.Now()
		}
	}
}

// isAddedQueue reports whether a queue was added by an operator.
func (h *history) isAddedQueue(queue string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.routes, func(r Route) bool { return r.Queue == queue })
}

// addRouteCall notes a call for a queue.
func (h *history) addRouteCall(queue string, c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.routes {
		if h.routes[i].Queue == queue {
			h.routes[i].Calls = append(h.routes[i].Calls, c)
		}
	}
}

// addedQueues returns the queues that operators ever added.
func (h *history) addedQueues() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, r := range h.routes {
		names = append(names, r.Queue)
	}
	return names
}

// addJob notes a job before its first call.
func (h *history) addJob(j Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs == nil {
		h.jobs = map[string]*Job{}
	}
	h.jobs[j.ID] = &j
	h.order = append(h.order, j.ID)
}

// addCall notes a call about a job.
func (h *history) addCall(id string, c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Calls = append(h.jobs[id].Calls, c)
}

// closeJob notes that a job is not handed in again.
func (h *history) closeJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Closed = true
}

// snapshot returns a copy of all that was seen.
func (h *history) snapshot() Observations {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := Observations{At: time.Now(), Disruptions: slices.Clone(h.disruptions), Crashes: slices.Clone(h.crashes)}
	for _, id := range h.order {
		j := *h.jobs[id]
		j.Calls = slices.Clone(j.Calls)
		o.Jobs = append(o.Jobs, j)
	}
	for _, r := range h.routes {
		r.Calls = slices.Clone(r.Calls)
		o.Routes = append(o.Routes, r)
	}
	return o
}
