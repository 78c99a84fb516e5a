package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// ticketMargin is how long before its expiry a ticket is last used, in addition to the
	// time for the record: it covers the sending and the transit of the order.
	ticketMargin = 150 * time.Millisecond
	// questionTimeout is the time, beyond the expected duration of an answer, after which an
	// unanswered question is asked again.
	questionTimeout = 2500 * time.Millisecond
	// maxWorkersPerQuestion is the most workers in one question; the advice service accepts
	// 100.
	maxWorkersPerQuestion = 100
	// extraNamingRatio is the fraction of a question's fixed duration that may be spent on
	// naming more workers than needed: some get other work or fail before the answer arrives.
	extraNamingRatio = 0.5
	// askedCapacityFactor is the capacity that the workers of a question should have free, as
	// a multiple of the waiting tasks.
	askedCapacityFactor = 3
	// minDividedDuration is the duration of a question without workers from which it may be
	// divided. Shorter questions gain less than they cost the hosts.
	minDividedDuration = 250 * time.Millisecond
	// maxQuestionParts is the most questions into which one is divided, and idleHostsPerPart the
	// number of idle hosts for each but the first.
	maxQuestionParts = 5
	idleHostsPerPart = 3
	// partTimeout is how much later than the first answer those to the other parts may arrive.
	partTimeout = 500 * time.Millisecond
	// busyCapacityDivisor is the inverse of the part of a busy worker that is expected to be
	// free when the answer arrives.
	busyCapacityDivisor = 4
	// recentAnswerWindow is how long after an answer a step is evaluated in each scheduling
	// pass, wherever it ranks in the scheduling order. It spans several passes. Its tickets
	// expire 2 s after the answer.
	recentAnswerWindow = 200 * time.Millisecond
	// freeLevels is the number of levels of free capacity by which workers are grouped. With
	// finer levels all questions would name the same few workers.
	freeLevels = 4
	// initialEligibleRatio is the assumed fraction of the workers that may run a step, for a
	// queue without answers. eligibleRatioWeight is the weight of the past in the ratio
	// learned from answers.
	initialEligibleRatio = 0.3
	eligibleRatioWeight  = 20
	// maxScannedWorkers is how many workers are listed for a question: enough to skip three
	// out of four that are full.
	maxScannedWorkers = 4 * maxWorkersPerQuestion
)

// tickets is what earlier answers tell about the workers that may run a step.
type tickets struct {
	// byWorker holds the tickets of the eligible workers, which may run the step. Eligibility
	// never changes; a ticket that was refused has an empty value.
	byWorker map[string]ticket
	// workerIDs holds the sorted keys of byWorker.
	workerIDs []string
	// askedAbout holds the workers named in answered questions.
	askedAbout map[string]bool
	// askedAt is when the pending questions were asked; 0 is none.
	askedAt time.Duration
	// pending holds the first worker of each pending question.
	pending []string
	// answeredAt is when the last answer arrived.
	answeredAt time.Duration
	// answerTimeout is how long the answers to the pending questions may take.
	answerTimeout time.Duration
}

// awaitNothing notes that no question is pending.
func (t *tickets) awaitNothing() { t.askedAt, t.pending = 0, nil }

// settle notes that a question was answered, or has failed. The answers to others about the
// same step that were asked with it are due at the same time.
func (t *tickets) settle(now time.Duration, q Question) {
	t.pending = slices.DeleteFunc(t.pending, func(first string) bool { return len(q.Workers) > 0 && q.Workers[0] == first })
	if len(t.pending) == 0 {
		t.awaitNothing()
	} else {
		t.answerTimeout = min(t.answerTimeout, now-t.askedAt+partTimeout)
	}
	t.answeredAt = now
}

// ticket permits runs of a step on one incarnation of a worker.
type ticket struct {
	value     string
	expiresAt time.Duration
	life      int64
}

// hasTicket reports whether there is a ticket for a worker that will still be valid when a
// start has been recorded.
func (c *Cell) hasTicket(now time.Duration, s *step, w *worker) bool {
	existing, ok := s.tickets.byWorker[w.ID]
	return ok && existing.value != "" && existing.life == w.Life && now+c.recordDelay+ticketMargin < existing.expiresAt
}

// invalidate discards a ticket that was refused.
func (t *tickets) invalidate(worker string) {
	if existing, ok := t.byWorker[worker]; ok {
		existing.value = ""
		t.byWorker[worker] = existing
	}
}

// hasAnswer reports whether a question about the step was ever answered.
func (t *tickets) hasAnswer() bool { return t.byWorker != nil }

// recentlyAnswered reports whether an answer arrived within recentAnswerWindow.
func (t *tickets) recentlyAnswered(now time.Duration) bool {
	return t.answeredAt != 0 && now-t.answeredAt < recentAnswerWindow
}

// awaitsAnswer reports whether a question is pending.
func (t *tickets) awaitsAnswer(now time.Duration) bool {
	return t.askedAt != 0 && now < t.askedAt+t.answerTimeout
}

// eligibleRatios holds the fraction of the workers that may run a step, by queue. Use a
// non-nil map.
type eligibleRatios map[string]float64

// of returns the fraction of the workers that may run a step of a queue.
func (r eligibleRatios) of(queue string) float64 {
	if ratio, ok := r[queue]; ok {
		return ratio
	}
	return initialEligibleRatio
}

// learn updates the ratio of a queue after an answer about workers not named before for the
// step.
func (r eligibleRatios) learn(queue string, eligible, named int) {
	if named == 0 {
		return
	}
	known := r.of(queue)
	r[queue] = known + (float64(eligible)/float64(named)-known)/eligibleRatioWeight
}

// askInitially asks the first question about a step, about the workers with the most free
// capacity among those that it would fit when empty.
func (c *Cell) askInitially(now time.Duration, s *step, queue workload.Queue) {
	if s.tickets.awaitsAnswer(now) {
		return
	}
	unasked, ratio := c.unaskedWorkers(now, s, queue), c.eligibleRatios.of(queue.Name)
	if s.Gang && c.maxQuestionParts(queue) > 1 {
		// All tasks need room at the same moment.
		c.ask(now, s, queue, c.selectEnough(queue, unasked, ratio, widenCapacityFactor*len(s.tasks), asFloat(s.fitCount)))
		return
	}
	c.ask(now, s, queue, c.selectEnough(queue, unasked, ratio, askedCapacityFactor*c.startableCount(now, s), s.expectedSlots))
}

// selectEnough returns the first workers of a list that probably offer the wanted number of
// slots, given the fraction of eligible workers and the slots on each, and at least as many
// as extraNamingRatio allows. It limits the number because a question takes longer the more
// workers it names, and delays all further questions of its host.
func (c *Cell) selectEnough(queue workload.Queue, list []*worker, eligibleRatio float64, wanted int, slots func(w *worker) float64) []*worker {
	minCount := queue.Advice.MaxWorkers(time.Duration(extraNamingRatio * float64(queue.Advice.BaseDuration)))
	expected := 0.0
	for i, w := range list {
		if i >= minCount && expected >= float64(wanted) {
			return list[:i]
		}
		expected += eligibleRatio * slots(w)
	}
	return list
}

// waitingTaskCount returns the number of waiting tasks.
func (s *step) waitingTaskCount(now time.Duration) int {
	n := 0
	for _, t := range s.tasks {
		if t.needsRun(now) {
			n++
		}
	}
	return n
}

// expectedSlots returns the number of tasks of a step for which a worker will probably have
// capacity soon.
func (s *step) expectedSlots(w *worker) float64 {
	return max(float64(s.fitCountIn(w.available())), float64(s.slotsOn(w))/busyCapacityDivisor)
}

// workerGroup holds workers with a similar free share of processors.
type workerGroup struct {
	workers []*worker
	// maxFreeProcessors is the largest number of free processors on one of the workers, in
	// thousandths.
	maxFreeProcessors int64
}

// unaskedWorkers lists workers not yet named in a question about a step, those with the most
// free capacity first. It scans only a part of a large cell, so that a question costs no more
// than in a small one. Each scan begins at a different worker, so that steps that await
// answers at the same time don't all count on the same capacity.
func (c *Cell) unaskedWorkers(now time.Duration, s *step, queue workload.Queue) []*worker {
	return c.scanUnasked(s, queue, 0, func(w *worker) bool { return w.canBeNamed(now) })
}

// unaskedFitting is unaskedWorkers for workers on which a task of the step fits now.
func (c *Cell) unaskedFitting(now time.Duration, s *step, queue workload.Queue) []*worker {
	demand := s.Demand()
	return c.scanUnasked(s, queue, demand.Processors, func(w *worker) bool { return demand.Fits(w.available()) && c.usable(now, w) })
}

// scanUnasked is unaskedWorkers for workers that satisfy a condition. processors is the number
// of free processors that the condition requires.
func (c *Cell) scanUnasked(s *step, queue workload.Queue, processors int64, accepts func(w *worker) bool) []*worker {
	c.groupByFree()
	offset := c.scanOffset
	c.scanOffset += maxWorkersPerQuestion
	var list []*worker
	for _, group := range c.freeGroups {
		if group.maxFreeProcessors < processors {
			continue
		}
		for i := range group.workers {
			w := group.workers[(offset+i)%len(group.workers)]
			if !accepts(w) || !matchesStep(s, queue, w) || s.tickets.askedAbout[w.ID] || !s.Demand().Fits(w.Capacity) {
				continue
			}
			list = append(list, w)
			if len(list) == maxScannedWorkers {
				return list
			}
		}
	}
	return list
}

// groupByFree groups the workers by their free share of processors, highest first, unless the
// current scheduling pass has done so.
func (c *Cell) groupByFree() {
	if c.freeGroupsValid {
		return
	}
	c.freeGroupsValid = true
	for g := range c.freeGroups {
		c.freeGroups[g] = workerGroup{workers: c.freeGroups[g].workers[:0]}
	}
	for _, w := range c.sortedWorkers {
		group := &c.freeGroups[freeLevels-min(freeLevels, max(0, w.freeLevel()))]
		group.workers = append(group.workers, w)
		group.maxFreeProcessors = max(group.maxFreeProcessors, w.available().Processors)
	}
}

// freeLevel returns the free share of a worker's processors as a multiple of 1/freeLevels.
func (w *worker) freeLevel() int64 {
	return freeLevels * w.available().Processors / max(1, w.Capacity.Processors)
}

// unticketedFirst moves the workers without a valid ticket for a step to the front if the
// list exceeds one question; the next question then names the others.
func (c *Cell) unticketedFirst(now time.Duration, s *step, workers []*worker) []*worker {
	if len(workers) <= maxWorkersPerQuestion {
		return workers
	}
	unticketed := slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return c.hasTicket(now, s, w) })
	return append(unticketed, slices.DeleteFunc(slices.Clone(workers), func(w *worker) bool { return !c.hasTicket(now, s, w) })...)
}

// ask issues a question about a step unless one is pending. A long question about many workers
// is divided among idle hosts.
func (c *Cell) ask(now time.Duration, s *step, queue workload.Queue, workers []*worker) {
	if len(workers) == 0 || s.tickets.awaitsAnswer(now) {
		return
	}
	workers = c.unticketedFirst(now, s, workers)
	s.tickets.awaitNothing()
	for i, part := range c.divide(queue, workers) {
		q := Question{
			Step: s.id, Valid: queue.Advice.TicketLifetime, Due: s.latestStart(queue), Hopeless: s.expiryTime(queue),
			Booked: s.bookedPlan != nil, BeyondShare: s.job.BeyondShare, Part: i, Expected: queue.Advice.QuestionDuration(len(part)),
		}
		for _, w := range part {
			q.Workers, q.Lives = append(q.Workers, w.ID), append(q.Lives, w.Life)
		}
		s.tickets.askedAt, s.tickets.answerTimeout = now, q.Expected+questionTimeout
		s.tickets.pending = append(s.tickets.pending, q.Workers[0])
		c.actions.Questions = append(c.actions.Questions, q)
	}
}

// divide returns the workers that are asked about at once, by question. The advice service
// handles one question of a host at a time, and takes longer the more workers it names: several
// hosts that each ask about a part of the workers get the answer sooner.
func (c *Cell) divide(queue workload.Queue, workers []*worker) [][]*worker {
	size := queue.Advice.MaxWorkers(time.Duration(extraNamingRatio * float64(queue.Advice.BaseDuration)))
	parts := 1
	if size > 0 {
		parts = min((len(workers)+size-1)/size, c.maxQuestionParts(queue))
	}
	size = maxWorkersPerQuestion
	if parts > 1 {
		size = min(size, (len(workers)+parts-1)/parts)
	}
	if queue.Advice.BaseDuration >= minDividedDuration {
		c.idleAdviceHosts = max(0, c.idleAdviceHosts-parts)
	}
	var divided [][]*worker
	for part := range slices.Chunk(workers, size) {
		if len(divided) == parts {
			break
		}
		divided = append(divided, part)
	}
	return divided
}

// maxQuestionParts returns into how many questions one may be divided now. It leaves idle hosts
// for others.
func (c *Cell) maxQuestionParts(queue workload.Queue) int {
	if queue.Advice.BaseDuration < minDividedDuration {
		return 1
	}
	return min(maxQuestionParts, 1+c.idleAdviceHosts/idleHostsPerPart)
}

// HandleAdvice processes the answer to a question. A nil map means that the question failed.
func (c *Cell) HandleAdvice(now, received time.Duration, q Question, tickets map[string]string) {
	s, _ := c.findTask(workload.TaskID{StepID: q.Step})
	if s == nil {
		return
	}
	t := &s.tickets
	askedAt := t.askedAt
	if askedAt == 0 {
		// An earlier owner asked the question.
		askedAt = received
	}
	c.log(LogEntry{Event: "advice", Job: q.Step.Job, Task: q.Step.String(), Reason: formatCount(len(tickets), len(q.Workers)), Age: now - askedAt})
	t.settle(now, q)
	c.stale = true
	if tickets == nil {
		return
	}
	if t.byWorker == nil {
		t.byWorker, t.askedAbout = map[string]ticket{}, map[string]bool{}
	}
	newlyNamed, eligible := 0, 0
	for _, id := range q.Workers {
		if t.askedAbout[id] || c.workers[id] == nil {
			// A worker that is not announced may return; it is asked about again then.
			continue
		}
		t.askedAbout[id] = true
		newlyNamed++
		if _, ok := tickets[id]; ok {
			eligible++
		}
	}
	c.eligibleRatios.learn(s.job.Queue, eligible, newlyNamed)
	until := received + q.Valid
	for id, value := range tickets {
		w := c.workers[id]
		if existing, ok := t.byWorker[id]; w == nil || ok && existing.expiresAt > until {
			// Answers may arrive out of order, and those of earlier tenures are passed on
			// again.
			continue
		}
		t.byWorker[id] = ticket{value: value, expiresAt: until, life: q.lifeOf(w)}
	}
	t.workerIDs = slices.Sorted(maps.Keys(t.byWorker))
}
