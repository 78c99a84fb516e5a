package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// The bounds that the rules of the platform set, and states of jobs.
const (
	calmWindow         = 4 * time.Second
	maxLossDelay       = 200 * time.Millisecond
	maxConfigDelay     = 2500 * time.Millisecond
	maxCancelDelay     = 3 * time.Second
	maxStopTime        = 900 * time.Millisecond
	maxVisibilityDelay = 3 * time.Second
	maxDrainDelay      = 2500 * time.Millisecond
	stateDone          = "done"
	stateFailed        = "failed"
	stateCanceled      = "cancelled"
)

// Observations holds what was observed from outside the processes until a time.
type Observations struct {
	At          time.Time
	Jobs        []Job
	Routes      []Route
	Disruptions []Disruption
	Crashes     []Crash
	// Keys and Limits are those of the organisations, in the order of their changes. Calls need
	// no key if there are none.
	Keys   []Key
	Limits []Limit
	// Events holds the events of all workers, in order.
	Events []workerstandin.RunEvent
}

// Violation is a broken rule.
type Violation struct {
	At time.Time
	// Rule is the name of the rule in the platform's rules.
	Rule string
	Text string
}

// Check returns the broken rules, the earliest first. A rule that depends on later events
// may be found broken only by a later check.
func Check(o Observations) []Violation {
	c := &checker{Observations: o, jobs: map[string]*jobSummary{}, lifeEnds: map[string]time.Time{}, keys: map[string]Key{}, usage: map[string]int64{}}
	for _, k := range o.Keys {
		c.keys[k.Value] = k
	}
	for i := range o.Jobs {
		c.jobs[o.Jobs[i].ID] = newJobSummary(&o.Jobs[i])
	}
	c.checkRuns()
	c.checkCalls()
	c.checkRoutes()
	for _, crash := range o.Crashes {
		c.addViolation(crash.At, "Own ends", "%s exited unexpectedly: %s", crash.Host, crash.Error)
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return a.At.Compare(b.At) })
	return c.violations
}

// checker holds the observations and what is derived from them.
type checker struct {
	Observations
	jobs map[string]*jobSummary
	// lifeEnds holds the end of the last life of each worker, up to the event being
	// replayed.
	lifeEnds map[string]time.Time
	keys     map[string]Key
	// usage is what the tasks of each organisation that run up to the event being replayed use,
	// in thousandths of a processor.
	usage      map[string]int64
	violations []Violation
}

func (c *checker) addViolation(at time.Time, rule, format string, args ...any) {
	c.violations = append(c.violations, Violation{At: at, Rule: rule, Text: fmt.Sprintf(format, args...)})
}

// keepsConnections reports whether machines stay connected during a fault of a kind.
func keepsConnections(k Kind) bool { return k.Planned() && k != Terminate }

// isUndisturbed reports whether no disruption, apart from the ignored kinds of faults,
// overlapped the period that begins calmWindow before from and ends at to.
func (c *checker) isUndisturbed(from, to time.Time, ignored func(Kind) bool) bool {
	for _, d := range c.Disruptions {
		if ignored(d.Fault.Kind) {
			continue
		}
		hasEnded := !d.To.IsZero() && d.To.Before(from.Add(-calmWindow))
		if !hasEnded && d.From.Before(to) {
			return false
		}
	}
	return true
}

// hasCalmStretch reports whether a period without disruptions, apart from planned faults
// that keep connections, of the given length and with calmWindow of calm before it, lies
// between two times.
func (c *checker) hasCalmStretch(from, to time.Time, length time.Duration) bool {
	for {
		end := from.Add(length)
		if !end.Before(to) {
			return false
		}
		latest, disturbed := time.Time{}, false
		for _, d := range c.Disruptions {
			isOver := !d.To.IsZero() && d.To.Before(from.Add(-calmWindow))
			switch {
			case keepsConnections(d.Fault.Kind) || isOver || !d.From.Before(end):
			case d.To.IsZero():
				return false
			default:
				disturbed = true
				if d.To.After(latest) {
					latest = d.To
				}
			}
		}
		if !disturbed {
			return true
		}
		from = latest.Add(calmWindow + 1)
	}
}

// jobSummary is a job with a summary of its calls.
type jobSummary struct {
	*Job
	// accepted and cancelled are the times of the first acknowledgements, or zero.
	accepted, cancelled time.Time
	// acknowledgement is the call that was answered at cancelled.
	acknowledgement Call
	// cancelSent reports whether a cancellation was sent, rejected whether the job was
	// closed and each submission of it was rejected.
	cancelSent, rejected bool
}

func newJobSummary(j *Job) *jobSummary {
	v := &jobSummary{Job: j}
	rejections, uncertain := 0, 0
	for _, call := range j.Calls {
		switch {
		case call.Method == http.MethodDelete:
			v.cancelSent = true
			if v.cancelled.IsZero() && isCancelAcknowledged(call) {
				v.cancelled, v.acknowledgement = call.Ended, call
			}
		case call.Method != http.MethodPost:
		case call.Status == http.StatusUnauthorized || isNeverHeld(call.Key):
			rejections++
		case call.Status == http.StatusOK:
			if v.accepted.IsZero() {
				v.accepted = call.Ended
			}
		case call.Status == http.StatusTooManyRequests || call.Status == http.StatusServiceUnavailable:
			rejections++
		case !call.Sent.IsZero() || call.Status != 0:
			uncertain++
		}
	}
	v.rejected = j.Closed && v.accepted.IsZero() && rejections > 0 && uncertain == 0
	return v
}

// isCancelAcknowledged reports whether the response to a call acknowledges a cancellation:
// that the job is cancelled, or that there is none.
func isCancelAcknowledged(call Call) bool {
	isSuccess := call.Status >= http.StatusOK && call.Status < http.StatusMultipleChoices
	return call.Method == http.MethodDelete && (isSuccess || call.Status == http.StatusGone)
}

// describeCancellation returns a text on the acknowledgement of a job's cancellation.
func (v *jobSummary) describeCancellation() string {
	a := v.acknowledgement
	text := fmt.Sprintf("its cancellation was acknowledged with status %d by host %d after %s", a.Status, a.Host, a.Ended.Sub(a.Begun))
	if v.accepted.IsZero() {
		return text + ", no submission was"
	}
	if v.accepted.After(a.Ended) {
		return text + fmt.Sprintf(", its submission %s later", v.accepted.Sub(a.Ended))
	}
	return text + fmt.Sprintf(", its submission %s before", a.Ended.Sub(v.accepted))
}

// checkCalls checks the responses to callers against the runs.
func (c *checker) checkCalls() {
	ends := c.endsOfTasks()
	for i := range c.Jobs {
		v := c.jobs[c.Jobs[i].ID]
		for _, call := range v.Calls {
			c.checkAnswer(v.ID, call)
			c.checkKey(v.ID, call)
			if call.Method == http.MethodGet {
				c.checkState(v, call, ends)
			}
		}
	}
}

// checkAnswer checks one call against the rules about connections and deadlines.
func (c *checker) checkAnswer(id string, call Call) {
	if call.Status != 0 || call.Sent.IsZero() {
		return
	}
	text := fmt.Sprintf("%s of %s at host %d, %s after it was sent: %s", call.Method, id, call.Host, call.Ended.Sub(call.Sent), call.Error)
	switch {
	case call.Broken && call.Ended.Sub(call.Sent) > maxLossDelay && c.isUndisturbed(call.Begun, call.Ended, Kind.Planned):
		c.addViolation(call.Ended, "LOST", "the connection failed: %s", text)
	case !call.Broken && c.isUndisturbed(call.Begun, call.Ended, keepsConnections):
		c.addViolation(call.Ended, "Deadline", "no response: %s", text)
	}
}

// checkState checks a reported state against the ends of the tasks.
func (c *checker) checkState(v *jobSummary, call Call, ends map[string][]workerstandin.RunEvent) {
	switch {
	case call.Status == http.StatusGone:
		if !v.accepted.IsZero() && !v.cancelSent && call.Begun.Sub(v.accepted) > maxVisibilityDelay && c.isUndisturbed(call.Begun, call.Ended, keepsConnections) {
			c.addViolation(call.Ended, "LOST", "%s is not known to host %d, %s after it was accepted", v.ID, call.Host, call.Begun.Sub(v.accepted))
		}
	case call.State == stateDone:
		for _, name := range v.tasks() {
			if countEnds(ends[name], workerstandin.HowDone, call.Ended) == 0 {
				c.addViolation(call.Ended, "MIXED", "%s is reported as done by host %d, but %s has no run that ended as done", v.ID, call.Host, name)
				return
			}
		}
	case call.State == stateFailed:
		if !slices.ContainsFunc(v.tasks(), func(name string) bool {
			return countEnds(ends[name], workerstandin.HowFailed, call.Ended) >= maxFailedRuns
		}) {
			c.addViolation(call.Ended, "LOST", "%s is reported as failed by host %d, but no task has failed often enough", v.ID, call.Host)
		}
	case call.State == stateCanceled && !v.cancelSent:
		c.addViolation(call.Ended, "LOST", "%s is reported as cancelled by host %d, but no cancellation was sent", v.ID, call.Host)
	}
}

// tasks returns the names of all tasks of a job.
func (v *jobSummary) tasks() []string {
	var names []string
	for s, step := range v.Steps {
		for t := range step.Tasks {
			names = append(names, taskName(v.ID, s, t))
		}
	}
	return names
}

func taskName(job string, step, index int) string { return fmt.Sprintf("%s.0.%d.%d", job, step, index) }

// endsOfTasks returns the ends that workers reported for each task.
func (c *checker) endsOfTasks() map[string][]workerstandin.RunEvent {
	ends := map[string][]workerstandin.RunEvent{}
	for _, e := range c.Events {
		if e.Kind == workerstandin.RunEnded {
			ends[e.Task] = append(ends[e.Task], e)
		}
	}
	return ends
}

// countEnds returns the number of ends of a kind until a time.
func countEnds(ends []workerstandin.RunEvent, how string, until time.Time) int {
	n := 0
	for _, e := range ends {
		if e.How == how && !e.At.After(until) {
			n++
		}
	}
	return n
}

// checkRoutes checks the responses of hosts against the catalogue at the time of the calls.
func (c *checker) checkRoutes() {
	for _, r := range c.Routes {
		for _, call := range r.Calls {
			c.checkRoute(r, call)
		}
	}
}

func (c *checker) checkRoute(r Route, call Call) {
	propagated := call.Begun.Sub(r.Added) > maxConfigDelay
	mustBe := propagated && (r.Removed.IsZero() || call.Ended.Before(r.Removed))
	mustNot := !r.Removed.IsZero() && call.Begun.Sub(r.Removed) > maxConfigDelay
	isWrong := mustBe && call.Status == http.StatusNotFound || mustNot && call.Status == http.StatusOK
	if call.Status == http.StatusUnauthorized {
		c.addViolation(call.Ended, "KEY", "host %d asks for a key for the public queue %s", call.Host, r.Queue)
	}
	since := r.Added
	if mustNot {
		since = r.Removed
	}
	if isWrong && c.isUndisturbed(since, call.Ended, keepsConnections) {
		c.addViolation(call.Ended, "CONFIG", "host %d responds with status %d for queue %s, %s after the queue was added or removed", call.Host, call.Status, r.Queue, call.Begun.Sub(since))
	}
}
