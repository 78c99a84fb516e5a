package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

// Call is a call of a caller and its outcome.
type Call struct {
	Method string
	Host   int
	// Key is the key of the caller; "" is none.
	Key string `json:",omitempty"`
	// Begun is when the call was made, Ended when it was answered or failed.
	Begun, Ended time.Time
	// Sent is when the last byte of the request was sent, zero if it never was.
	Sent time.Time
	// Status is 0 if there was no complete response. Broken reports whether in that case the
	// connection failed before the caller's timeout.
	Status int
	Broken bool
	Error  string `json:",omitempty"`
	// State is the job's state in the response to a GET.
	State string `json:",omitempty"`
}

// Job is a job of a caller.
type Job struct {
	ID, Queue, Spec string
	Steps           []platformstandin.Step
	// Organisation is the name of the caller's organisation; "" is none.
	Organisation string `json:",omitempty"`
	// Calls holds the calls about the job, ordered by their ends.
	Calls []Call
	// Closed reports whether the caller has stopped submitting the job.
	Closed bool
}

// Route is a queue that an operator added, and may have removed.
type Route struct {
	Queue string
	// Added and Removed are when the change had been written to the store; Removed may be
	// zero.
	Added, Removed time.Time
	// Calls are calls that ask hosts for the queue.
	Calls []Call
}

// Key is a key that an organisation has, or has had.
type Key struct {
	Value, Organisation string
	// Added is when the key had been written to the store, zero for those of the first version,
	// and Withdrawn when its withdrawal was about to be written, or zero.
	Added, Withdrawn time.Time
}

// Limit is a limit of an organisation from a time on, in thousandths of a processor; 0 is none.
type Limit struct {
	Organisation string
	Processors   int64
	From         time.Time
}

// Disruption is a fault that was injected.
type Disruption struct {
	Fault Fault
	// From and To are when the fault began and ended; To is zero while it continues.
	From, To time.Time
}

// Crash is an unrequested exit of a process.
type Crash struct {
	At          time.Time
	Host, Error string
}

// history records what callers, operators and workers observe. The zero value is empty.
type history struct {
	mu          sync.Mutex
	jobs        map[string]*Job
	order       []string
	routes      []Route
	disruptions []Disruption
	crashes     []Crash
	keys        []Key
	limits      []Limit
}

// addDisruption records the beginning of a fault and returns its index.
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

// disturbedHosts returns the hosts with a fault after which they may not know that they have
// been replaced as the owner, or with one that has ended since a time.
func (h *history) disturbedHosts(since time.Time) []int {
	h.mu.Lock()
	defer h.mu.Unlock()
	var hosts []int
	for _, d := range h.disruptions {
		isRecent := d.To.IsZero() || d.To.After(since)
		if isRecent && slices.Contains(takeoverKinds, d.Fault.Kind) && !slices.Contains(hosts, d.Fault.Host) {
			hosts = append(hosts, d.Fault.Host)
		}
	}
	return hosts
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

// addRouteCall records a call that asks for a queue.
func (h *history) addRouteCall(queue string, c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.routes {
		if h.routes[i].Queue == queue {
			h.routes[i].Calls = append(h.routes[i].Calls, c)
		}
	}
}

// addedQueues returns all queues that operators have added, including removed ones.
func (h *history) addedQueues() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var names []string
	for _, r := range h.routes {
		names = append(names, r.Queue)
	}
	return names
}

func (h *history) addKey(k Key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keys = append(h.keys, k)
}

func (h *history) setKeyWithdrawn(value string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for i := range h.keys {
		if h.keys[i].Value == value {
			h.keys[i].Withdrawn = time.Now()
		}
	}
}

// keysOf returns the keys of an organisation, and those that were withdrawn.
func (h *history) keysOf(organisation string) (valid, withdrawn []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, k := range h.keys {
		switch {
		case k.Organisation != organisation:
		case k.Withdrawn.IsZero():
			valid = append(valid, k.Value)
		default:
			withdrawn = append(withdrawn, k.Value)
		}
	}
	return valid, withdrawn
}

func (h *history) addLimit(l Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = append(h.limits, l)
}

// addJob records a job before its first call.
func (h *history) addJob(j Job) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.jobs == nil {
		h.jobs = map[string]*Job{}
	}
	h.jobs[j.ID] = &j
	h.order = append(h.order, j.ID)
}

// addCall records a call about a job.
func (h *history) addCall(id string, c Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Calls = append(h.jobs[id].Calls, c)
}

// closeJob records that a job is not submitted again.
func (h *history) closeJob(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.jobs[id].Closed = true
}

// snapshot returns a copy of the records.
func (h *history) snapshot() Observations {
	h.mu.Lock()
	defer h.mu.Unlock()
	o := Observations{At: time.Now(), Disruptions: slices.Clone(h.disruptions), Crashes: slices.Clone(h.crashes), Keys: slices.Clone(h.keys), Limits: slices.Clone(h.limits)}
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
