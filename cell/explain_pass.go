package cell

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// copyForExplain returns a copy of the cell on which the functions of a scheduling pass may be
// called, but for those that place or withdraw runs: tasks, runs, tickets and the models are
// shared with the original.
func (c *Cell) copyForExplain() *Cell {
	v := *c
	v.actions, v.logEntries, v.changedJobs, v.adopted = Actions{}, nil, nil, nil
	v.freeGroups, v.freeGroupsValid = [freeLevels + 1]workerGroup{}, false
	v.spreads, v.heldBack, v.usage = maps.Clone(c.spreads), maps.Clone(c.heldBack), c.usage.Clone()
	workers := make(map[*worker]*worker, len(c.sortedWorkers))
	copyOf := func(w *worker) *worker {
		if workers[w] == nil {
			copied := *w
			workers[w] = &copied
		}
		return workers[w]
	}
	v.workers, v.sortedWorkers = make(map[string]*worker, len(c.workers)), make([]*worker, len(c.sortedWorkers))
	for i, w := range c.sortedWorkers {
		v.sortedWorkers[i] = copyOf(w)
		v.workers[w.ID] = copyOf(w)
	}
	v.jobs = make(map[string]*job, len(c.jobs))
	for id, j := range c.jobs {
		v.jobs[id] = j.copyForExplain(copyOf)
	}
	return &v
}

// copyForExplain returns a copy of a job. copyOf returns the copy of a worker.
func (j *job) copyForExplain(copyOf func(w *worker) *worker) *job {
	copied := *j
	copied.chainEstimates, copied.steps = slices.Clone(j.chainEstimates), make([]*step, len(j.steps))
	for i, s := range j.steps {
		t := *s
		t.job, t.bookedPlan = &copied, nil
		for _, w := range s.bookedPlan {
			t.bookedPlan = append(t.bookedPlan, copyOf(w))
		}
		copied.steps[i] = &t
	}
	return &copied
}

// explainPass follows a scheduling pass without placing anything. It works on a copy of the cell.
type explainPass struct {
	*Cell
	now time.Duration
	// order is the scheduling order, and active the part of it that no limit keeps waiting.
	order, active []rankedStep
	lateQuestions int
	// holdingGangs is the number of gangs that hold room so far.
	holdingGangs int
	// preempted is the number of runs that would be preempted for the last waiting gang.
	preempted int
}

func newExplainPass(c *Cell, now time.Duration) *explainPass {
	p := &explainPass{Cell: c, now: now}
	p.resetScan()
	p.order = p.waitingSteps(now)
	p.lateQuestions = countLateQuestions(now, p.order)
	p.active = p.withoutHeldBack(now, slices.Clone(p.order))
	p.holdBookings(now, p.active)
	return p
}

// explain returns the explanations of the steps of a job that are not done.
func (p *explainPass) explain(j *job) []StepExplanation {
	waiting := p.explainWaiting(j)
	var list []StepExplanation
	for _, s := range j.steps {
		if s.remaining == 0 {
			continue
		}
		r := p.rankStep(p.now, s)
		e := waiting[s]
		e.ID, e.Tasks, e.Done, e.Gang = strings.Replace(s.id.String(), newJobID, "new", 1), len(s.tasks), len(s.tasks)-s.remaining, s.Gang
		e.LatestStartSeconds, e.Lateness = seconds(r.startBy-p.now), [...]string{inTime: "InTime", late: "Late", expired: "Expired"}[r.lateness]
		e.HoldsRoom, e.Runs = s.isHolding || s.bookedPlan != nil, p.explainRuns(p.now, s)
		e.Waits = append(p.ownWaits(s), e.Waits...)
		for i, other := range p.order {
			if other.step == s {
				e.Rank = i + 1
				break
			}
		}
		for _, other := range p.order[:min(maxListedSteps, max(0, e.Rank-1))] {
			e.RankedBefore = append(e.RankedBefore, other.id.String())
		}
		list = append(list, e)
	}
	return list
}

// ownWaits returns what tasks of a step wait for regardless of other jobs.
func (p *explainPass) ownWaits(s *step) []Wait {
	var waits []Wait
	if !s.dependenciesDone() {
		var open []string
		for _, a := range s.After {
			if before := s.job.stepOf(s.id.Occurrence, a); before.remaining > 0 {
				open = append(open, before.id.String())
			}
		}
		return []Wait{{CauseDependencies, s.remaining, fmt.Sprintf("not done: %v", open)}}
	}
	delayed, until := 0, time.Duration(0)
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 && !t.needsRun(p.now) {
			delayed, until = delayed+1, max(until, t.notBefore)
		}
	}
	if delayed > 0 {
		waits = append(waits, Wait{CauseBackoff, delayed, fmt.Sprintf("after a failure, for %v", (until - p.now).Round(time.Millisecond))})
	}
	if ready := s.waitingTaskCount(p.now); s.Gang && ready > 0 && ready+delayed < len(s.tasks) {
		waits = append(waits, Wait{CauseMembers, ready, "all runs of the gang end before it starts again"})
	}
	return waits
}

// explainWaiting goes through the scheduling order, and returns what it finds for the steps of a job.
// Steps of other jobs far back take no room: a pass evaluates few of them.
func (p *explainPass) explainWaiting(j *job) map[*step]StepExplanation {
	found := map[*step]StepExplanation{}
	for _, r := range p.order {
		if r.job == j {
			found[r.step] = StepExplanation{Waits: []Wait{p.limitWait(r.step, r.waitingTaskCount(p.now))}}
		}
	}
	// Those that no limit keeps waiting are replaced.
	explained := 0
	for i, r := range p.active {
		switch {
		case r.job == j:
			found[r.step] = p.explainStep(i, r)
			explained++
		case explained < len(found) && i < alwaysScanned:
			p.place(r)
		}
	}
	return found
}

// place takes the room that a step would get from the copy, and returns the workers of its tasks.
// fitting is the number of waiting tasks that fit without regard to tickets and the limit.
func (p *explainPass) place(r rankedStep) (plan []*worker, fitting int) {
	s, ready := r.step, r.waitingTaskCount(p.now)
	if !r.routed || r.asks() || s.Gang && ready < len(s.tasks) || p.isHeldBack(p.now, s, s.reservedBefore) {
		return nil, 0
	}
	releaseBooked(s)
	s.isHolding = false
	list := p.candidates(p.now, s, r.queue)
	for _, w := range list {
		fitting += s.fitCount(w)
	}
	fitting = min(fitting, ready)
	allowed := p.withTickets(p.now, s, r.queue, list)
	switch {
	case !s.Gang:
		plan = p.planAlone(s, allowed)
	case planGang(s, allowed) != nil:
		plan, s.bookedPlan = planGang(s, allowed), nil
		for _, w := range plan {
			w.held = w.held.Plus(s.Demand())
		}
	default:
		p.book(r, list)
		holdBooked(s)
		if p.holdingGangs < p.maxHoldingGangs() {
			p.holdingGangs++
			p.holdCapacity(p.now, s, r.queue)
		}
	}
	p.usage.Add(s.job.Organisation, s.Size.Times(int64(len(plan))))
	return plan, fitting
}

// book books room for a gang that lacks only tickets, as askForGang does, and counts the runs that
// would be preempted for it.
func (p *explainPass) book(r rankedStep, eligible []*worker) {
	s := r.step
	p.preempted = 0
	if r.queue.Advice == nil || s.tickets.awaitsAnswer(p.now) || s.bookedPlan != nil && p.now < s.preemptedUntil {
		return
	}
	var preempted []*run
	if s.bookedPlan = planGang(s, eligible); s.bookedPlan == nil {
		s.bookedPlan, preempted = p.planWithPreemption(p.now, s, r.queue, eligible)
	}
	p.preempted = len(preempted)
}

// routingDetail tells why no run of a job may start.
func (p *explainPass) routingDetail(j *job) string {
	if j.policy.IsZero() {
		return "the queue is not in the operator's configuration"
	}
	return "the owner has not read the operator's configuration"
}

// planAlone takes room for the tasks of a step that is no gang, and returns their workers.
func (p *explainPass) planAlone(s *step, allowed []*worker) (plan []*worker) {
	planned, full := map[*worker]int{}, map[*worker]bool{}
	for range p.startableCount(p.now, s) {
		w := bestWorker(s, allowed, full)
		if w == nil {
			break
		}
		w.held = w.held.Plus(s.Demand())
		planned[w]++
		full[w] = s.MaxPerWorker > 0 && s.runCountOn(w)+planned[w] >= s.MaxPerWorker
		plan = append(plan, w)
	}
	return plan
}

// explainStep explains a waiting step, which is at an index of the active steps.
func (p *explainPass) explainStep(index int, r rankedStep) StepExplanation {
	s, ready := r.step, r.waitingTaskCount(p.now)
	if s.Gang && ready < len(s.tasks) {
		return StepExplanation{}
	}
	plan, fitting := p.place(r)
	e := StepExplanation{FittingTasks: fitting, Starts: p.explainStarts(p.now, s, plan)}
	if missing := ready - len(plan); missing > 0 {
		e.Waits = append(e.Waits, p.wait(r, missing, fitting))
	} else if index >= alwaysScanned && len(p.active) > alwaysScanned+rotationSize && !s.tickets.recentlyAnswered(p.now) {
		e.Waits = append(e.Waits, Wait{CauseRotation, ready, fmt.Sprintf("a scheduling pass evaluates the first %d steps and %d of the others in turn", alwaysScanned, rotationSize)})
	}
	return e
}

// wait returns what missing tasks of a step wait for after the others have been placed.
func (p *explainPass) wait(r rankedStep, missing, fitting int) Wait {
	s, eligible := r.step, p.eligibleWorkers(r.step, r.queue)
	list := p.candidates(p.now, s, r.queue)
	lacksTickets := r.queue.Advice != nil && fitting >= max(s.tasksToStart(), s.waitingTaskCount(p.now)-missing+1)
	switch {
	case !r.routed:
		return Wait{CauseRouting, missing, p.routingDetail(s.job)}
	case p.headroomCount(s) < s.tasksToStart():
		return p.limitWait(s, missing)
	case r.asks():
		return p.questionWait(r, missing)
	case r.queue.Advice != nil && len(eligible) == 0:
		return Wait{CauseEligibility, missing, fmt.Sprintf("none of the %d workers asked about so far is allowed", len(s.tickets.askedAbout))}
	case s.totalSlots(list) == 0:
		return Wait{CauseWorker, missing, fmt.Sprintf("of %d workers, %d are usable and match the step, and none is large enough", len(eligible), len(list))}
	case lacksTickets && s.tickets.awaitsAnswer(p.now):
		return p.adviceWait(s, missing)
	case lacksTickets:
		return Wait{CauseTickets, missing, "the tickets of the workers with room are not valid any more"}
	}
	detail := formatCount(fitting, s.waitingTaskCount(p.now)) + " waiting tasks fit now"
	switch {
	case s.Gang && p.preempted > 0:
		detail += fmt.Sprintf(", and %d runs would be preempted for it", p.preempted)
	case s.Gang && !p.fitsBesideDaemons(p.now, s, r.queue):
		detail += ", and not all would fit the known workers without other work"
	}
	return Wait{CauseRoom, missing, detail}
}

func (p *explainPass) limitWait(s *step, tasks int) Wait {
	headroom := min(tasks, p.headroomCount(s))
	return Wait{CauseLimit, tasks, fmt.Sprintf("the limit of organisation %s has headroom for %d more, besides what it reserves for steps before", s.job.Organisation, headroom)}
}

func (p *explainPass) adviceWait(s *step, tasks int) Wait {
	return Wait{CauseAdvice, tasks, fmt.Sprintf("asked %v ago", (p.now - s.tickets.askedAt).Round(time.Millisecond))}
}

// questionWait returns what a step without any answer waits for.
func (p *explainPass) questionWait(r rankedStep, tasks int) Wait {
	switch {
	case r.tickets.awaitsAnswer(p.now):
		return p.adviceWait(r.step, tasks)
	case r.lateness != inTime && p.lateQuestions >= maxLateQuestions:
		return Wait{CauseQuestion, tasks, fmt.Sprintf("%d questions about late steps are pending", p.lateQuestions)}
	}
	named := 0
	p.actions = Actions{}
	p.askInitially(p.now, r.step, r.queue)
	for _, q := range p.actions.Questions {
		named += len(q.Workers)
	}
	if named == 0 {
		return Wait{CauseWorker, tasks, "no known worker matches the step and is large enough"}
	}
	return Wait{CauseQuestion, tasks, fmt.Sprintf("to be asked about %d workers", named)}
}
