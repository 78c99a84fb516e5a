package soak

import (
	"net/http"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workerstandin"
)

// maxLimitDelay is how long after a change of a limit a run may start under the earlier one: a
// version may take maxConfigDelay, an owner that can't reach the store gives orders for 5 s, and a
// worker carries an order out 2.5 s later at most.
const maxLimitDelay = maxConfigDelay + 7500*time.Millisecond

// statusesWithoutKey are the outcomes of a call without a known key: a host may be without a
// connection, a catalogue or the queue.
var statusesWithoutKey = []int{0, http.StatusUnauthorized, http.StatusNotFound, http.StatusServiceUnavailable}

// checkKey checks the response to a call against its key.
func (c *checker) checkKey(job string, call Call) {
	if len(c.Keys) == 0 {
		return
	}
	k, held := c.keys[call.Key]
	isRefused := call.Status == http.StatusUnauthorized
	isCalm := func() bool { return c.isUndisturbed(call.Begun.Add(-maxConfigDelay), call.Ended, keepsConnections) }
	switch {
	case !held:
		if !slices.Contains(statusesWithoutKey, call.Status) {
			c.addViolation(call.Ended, "KEY", "host %d responds with status %d to %s of %s without a known key", call.Host, call.Status, call.Method, job)
		}
	case !k.Withdrawn.IsZero() && call.Ended.After(k.Withdrawn):
		if late := call.Begun.Sub(k.Withdrawn); late > maxConfigDelay && !slices.Contains(statusesWithoutKey, call.Status) && call.Status < http.StatusInternalServerError && isCalm() {
			c.addViolation(call.Ended, "KEY", "host %d responds with status %d to %s of %s, %s after its key was withdrawn", call.Host, call.Status, call.Method, job, late)
		}
	case isRefused && (k.Added.IsZero() || call.Begun.Sub(k.Added) > maxConfigDelay && isCalm()):
		c.addViolation(call.Ended, "KEY", "host %d refuses the valid key of %s of %s", call.Host, call.Method, job)
	}
}

// checkLimit adds a run that starts to the usage of its organisation, which must be within its
// limit.
func (c *checker) checkLimit(e workerstandin.RunEvent) {
	v, processors := c.demandOf(e.Task)
	if v == nil {
		return
	}
	c.usage[v.Organisation] += processors
	if limit := c.limitAt(v.Organisation, e.At); limit > 0 && c.usage[v.Organisation] > limit {
		c.addViolation(e.At, "QUOTA", "%s starts %s, with which %s uses %d thousandths of a processor of %d", e.Worker, e.Task, v.Organisation, c.usage[v.Organisation], limit)
	}
}

// subtractUsage subtracts a run that has ended from the usage of its organisation.
func (c *checker) subtractUsage(task string) {
	if v, processors := c.demandOf(task); v != nil {
		c.usage[v.Organisation] -= processors
	}
}

// demandOf returns the job of a task and the processors that the task may use. The job is nil if
// it belongs to no organisation.
func (c *checker) demandOf(task string) (*jobSummary, int64) {
	id, step, ok := parseTask(task)
	if v := c.jobs[id]; ok && v != nil && v.Organisation != "" && step < len(v.Steps) {
		return v, v.Steps[step].Processors
	}
	return nil, 0
}

// limitAt returns the highest limit of an organisation that may have been in force until
// maxLimitDelay before a time, or 0 if there may have been none.
func (c *checker) limitAt(organisation string, at time.Time) int64 {
	var limit int64
	var inForce bool
	for _, l := range c.Limits {
		if l.Organisation != organisation || l.From.After(at) {
			continue
		}
		if !l.From.After(at.Add(-maxLimitDelay)) {
			// It replaces the earlier ones for the whole time.
			limit, inForce = l.Processors, true
			continue
		}
		if !inForce || limit == 0 || l.Processors == 0 {
			return 0
		}
		limit = max(limit, l.Processors)
	}
	return limit
}
