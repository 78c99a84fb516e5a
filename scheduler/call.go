package scheduler

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/clock"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// MaxCallDelay bounds the time for which a call may wait for the event loop before
	// new jobs are refused: half of the shortest completion target of a job. An owner
	// with enough processor time stays below it.
	MaxCallDelay = 500 * time.Millisecond
	// overloadRetryAfter is the Retry-After of calls that are refused because of
	// MaxCallDelay.
	overloadRetryAfter = 2 * time.Second
	// refusedStore and refusedBeyondShare are reasons for a refusal.
	refusedStore       = "the store is slow or away"
	refusedBeyondShare = "jobs beyond the share of the organisation wait for too long"
)

// handleCall executes a call that has waited for the event loop for the given time. It
// replies at once, or when the effect of the call has been recorded.
func (o *Owner) handleCall(now, waited time.Duration, from string, c intake.Call) {
	o.peakCallDelay.Store(max(o.peakCallDelay.Load(), int64(waited)))
	reply := func(r intake.Reply) {
		r.Fence = o.Fence()
		o.members.Reply(from, intake.Answer{Number: c.Number, Reply: r})
	}
	if !o.authorise(&c) {
		o.counters.WithdrawnKeys.Add(1)
		reply(intake.Reply{Outcome: intake.Unauthorised, Why: "the key is not in the owner's newer configuration"})
		return
	}
	switch c.Verb {
	case intake.Submit:
		o.submit(now, waited, c, reply)
	case intake.State:
		o.replyState(now, c.ID, reply)
	case intake.Cancel:
		o.cancel(now, from, c, reply)
	case intake.Waiting:
		reply(intake.Reply{Outcome: intake.Counted, Waiting: o.cell.WaitingJobCount(c.Queue)})
	}
}

// authorise reports whether the key of a call is accepted. A host that can't reach the store may
// have admitted one that was withdrawn since, so it is checked again if this owner has a newer
// version than the host; the job then belongs to the organisation that has the key now. Otherwise
// the host is right: its version may have keys that this owner's lacks.
func (o *Owner) authorise(c *intake.Call) bool {
	catalogue := o.catalogue.Load()
	if catalogue == nil || !catalogue.ChecksKeys || c.CatalogueVersion == 0 || c.CatalogueVersion >= catalogue.Version {
		return true
	}
	organisation, known := catalogue.OrganisationOf(c.Key)
	c.Job.Organisation = organisation
	if known {
		return true
	}
	isPublic, exists := catalogue.IsPublic(c.Queue)
	if !exists {
		// It was removed, so that this version can't tell whether it needs a key.
		return c.KeyNotNeeded
	}
	return isPublic
}

// submit accepts a job, and replies once the job has been recorded. A repeated submission
// of a recorded job is accepted at once, even while the store is unavailable.
func (o *Owner) submit(now, waited time.Duration, c intake.Call, reply func(intake.Reply)) {
	if !o.isSubmitted(c.ID) {
		if o.commitTooSlow(now) {
			o.counters.Refused.Add(1)
			o.refuseUnavailable(now, reply)
			return
		}
		if waited > MaxCallDelay {
			o.counters.Refused.Add(1)
			o.refuseOverloaded(reply, "the owner is behind")
			return
		}
		if !o.admit(now, &c.Job, reply) || !o.admitToBacklog(now, c.Job, reply) {
			return
		}
		o.accept(now, c.Job)
	}
	if waiting, ok := o.newJobReplies[c.ID]; ok {
		o.newJobReplies[c.ID] = append(waiting, reply)
		return
	}
	if o.recordingJobs[c.ID] {
		o.inFlightEffects = append(o.inFlightEffects, o.acceptance(reply, jobRecord{ledger.JobTable, c.ID}, jobRecord{ledger.FinishedTable, c.ID}))
		return
	}
	reply(intake.Reply{Outcome: intake.Accepted})
}

// isSubmitted reports whether a submission of a job has been accepted.
func (o *Owner) isSubmitted(id string) bool {
	if _, final := o.records.finished.get(id); final {
		return !o.records.isPreCancelled(id)
	}
	_, known := o.cell.State(id)
	return known
}

// accept adds a job, which is recorded by the next transaction. One that was cancelled before
// its submission arrived is recorded as cancelled and never runs.
func (o *Owner) accept(now time.Duration, job workload.Job) {
	wall := time.Now().UnixMilli()
	if o.records.isPreCancelled(job.ID) {
		o.records.submitPreCancelled(wall, job.ID)
		o.markPendingFinal(job.ID)
	} else {
		job.Accepted = wall
		o.cell.Submit(now, job)
	}
	o.counters.Accepted.Add(1)
	o.newJobReplies[job.ID] = nil
}

// markPendingFinal notes that the final state of a job is to be recorded by the next
// transaction.
func (o *Owner) markPendingFinal(id string) {
	o.pendingFinal[id] = true
	o.pendingEffects = append(o.pendingEffects, effect{needs: []jobRecord{{ledger.FinishedTable, id}}, run: func() {
		delete(o.pendingFinal, id)
		o.counters.EndedQueries.Add(int64(o.queries.answer(id, o.state(id))))
	}})
}

// acceptance returns an effect that replies to a call with Accepted, if the records that make it
// last have been written.
func (o *Owner) acceptance(reply func(intake.Reply), needs ...jobRecord) effect {
	return effect{
		needs: needs, run: func() { reply(intake.Reply{Outcome: intake.Accepted}) },
		skip: func() { o.refuseUnavailable(clock.Now(), reply) },
	}
}

// refuseUnavailable refuses a call that needs a transaction and has had no effect, because
// the store is slow or unavailable. The caller is told to wait for as long as the outage has
// lasted so far, within bounds: it is expected to last as long again.
func (o *Owner) refuseUnavailable(now time.Duration, reply func(intake.Reply)) {
	after := min(maxRetryAfter, max(minRetryAfter, now-o.commitStart))
	reply(intake.Reply{Outcome: intake.Unavailable, RetryAfter: after, Why: refusedStore})
}

// refuseOverloaded refuses a call that has had no effect.
func (o *Owner) refuseOverloaded(reply func(intake.Reply), why string) {
	reply(intake.Reply{Outcome: intake.Overloaded, RetryAfter: overloadRetryAfter, Why: why})
}

// queueNewJobReplies makes the replies to new jobs effects of the next transaction, which
// records these jobs.
func (o *Owner) queueNewJobReplies() {
	o.recordingJobs = map[string]bool{}
	for id, replies := range o.newJobReplies {
		o.recordingJobs[id] = true
		for _, reply := range replies {
			o.pendingEffects = append(o.pendingEffects, o.acceptance(reply, jobRecord{ledger.JobTable, id}, jobRecord{ledger.FinishedTable, id}))
		}
	}
	o.newJobReplies = map[string][]func(intake.Reply){}
}

// abandonNewJobs refuses the new jobs whose record has not been sent to the store, and calls
// for unknown jobs, if the transaction in flight takes too long. Callers that are told can
// retry.
func (o *Owner) abandonNewJobs(now time.Duration) {
	if !o.commitTooSlow(now) {
		return
	}
	o.refuseUnconfirmed(now)
	for id, replies := range o.newJobReplies {
		if !o.abandon(now, id) {
			// It was cancelled: its end is to be recorded.
			continue
		}
		o.records.abandon(id)
		o.dispatcher.RemoveJob(id)
		delete(o.newJobReplies, id)
		for _, reply := range replies {
			o.counters.Refused.Add(1)
			o.refuseUnavailable(now, reply)
		}
	}
}

// replyState replies with the state of a job. That a job is unknown is told once the next
// transaction has shown that this owner still had the cell when it was asked: a successor may
// have accepted the job, and an owner that has been paused or cut off from the store may not
// know of its successor.
func (o *Owner) replyState(now time.Duration, id string, reply func(intake.Reply)) {
	switch r := o.state(id); {
	case o.awaitsEnd(id, r) && o.queries.wait(now, id, reply):
		o.counters.WaitedQueries.Add(1)
	case r.Outcome != intake.NotFound:
		reply(r)
	case o.commitTooSlow(now):
		o.refuseUnavailable(now, reply)
	default:
		o.unconfirmed = append(o.unconfirmed, reply)
	}
}

// confirmUnknown tells callers that the jobs for which they asked are unknown.
func confirmUnknown(replies []func(intake.Reply)) {
	for _, reply := range replies {
		reply(intake.Reply{Outcome: intake.NotFound})
	}
}

// refuseUnconfirmed refuses the calls that wait for the confirmation that a job is unknown.
func (o *Owner) refuseUnconfirmed(now time.Duration) {
	for _, reply := range slices.Concat(o.unconfirmedInFlight, o.unconfirmed) {
		o.refuseUnavailable(now, reply)
	}
	o.unconfirmedInFlight, o.unconfirmed = nil, nil
}

// state returns the recorded state of a job. A job whose final state is still to be
// recorded is reported as running.
func (o *Owner) state(id string) intake.Reply {
	if o.pendingFinal[id] {
		return intake.Reply{Outcome: intake.Reported, State: workload.Running}
	}
	if f, ok := o.records.finished.get(id); ok && f.State != preCancelled {
		return intake.Reply{Outcome: intake.Reported, State: f.State}
	}
	if s, ok := o.cell.State(id); ok {
		return intake.Reply{Outcome: intake.Reported, State: s}
	}
	return intake.Reply{Outcome: intake.NotFound}
}

// cancel cancels a job, and replies once that has been recorded. An unknown job is recorded
// too, as a copy of its submission may still arrive.
func (o *Owner) cancel(now time.Duration, from string, c intake.Call, reply func(intake.Reply)) {
	if o.isSubmitted(c.ID) {
		// A job that is final stays as it is.
		o.cell.Cancel(now, c.ID)
		o.pendingEffects = append(o.pendingEffects, o.acceptance(reply, jobRecord{ledger.FinishedTable, c.ID}))
		return
	}
	if !o.records.isPreCancelled(c.ID) {
		switch {
		case o.commitTooSlow(now):
			o.refuseUnavailable(now, reply)
			return
		case o.records.preCancelledCount >= MaxPreCancelled:
			o.refuseOverloaded(reply, "too many unknown jobs were cancelled")
			return
		}
		o.records.preCancel(time.Now().UnixMilli(), c.ID)
		o.counters.UnknownCancels.Add(1)
		o.log.WithFields(logrus.Fields{
			"job": c.ID, "host": from, "fence": o.Fence(), "owned_ms": (now - o.ledger.OwnedAt()).Milliseconds(),
		}).Info("scheduler: cancelled job not known")
	}
	o.pendingEffects = append(o.pendingEffects, effect{
		needs: []jobRecord{{ledger.FinishedTable, c.ID}}, run: func() { reply(intake.Reply{Outcome: intake.NotFound}) }, skip: func() { o.refuseUnavailable(clock.Now(), reply) },
	})
}
