package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// ticketMargin is how much earlier than its end a ticket is no longer used,
	// beside the time for the record: that of the order and of its way.
	ticketMargin = 150 * time.Millisecond
	// questionTimeout is when a question without an answer is asked again,
	// beyond the time that it is expected to take.
	questionTimeout = 2500 * time.Millisecond
	// maxWorkersPerQuestion is the most workers of one question; the service takes 100.
	maxWorkersPerQuestion = 100
	// extraNamingRatio is the part of the time that the service takes for any question which
	// may go into naming workers, needed or not: some get other work or fail until the
	// answer comes.
	extraNamingRatio = 0.5
	// askedCapacityFactor is for how many times the tasks that wait the workers of a question
	// should have room.
	askedCapacityFactor = 3
	// busyCapacityDivisor is the part of a worker without room that counts as free by the time of
	// the answer.
	busyCapacityDivisor = 4
	// recentAnswerWindow is how long a step whose question was answered is looked at each time,
	// wherever it stands in the order of service: some looks. Its tickets lapse 2 s after
	// the answer.
	recentAnswerWindow = 200 * time.Millisecond
	// freeLevels is how finely workers are told apart by their room: all questions would
	// name the same few otherwise.
	freeLevels = 4
	// initialEligibleRatio is the part of the workers that may run a step, as long as a queue
	// has no answers; goodWeight is the weight of the past in what they tell.
	initialEligibleRatio = 0.3
	eligibleRatioWeight  = 20
	// maxScannedWorkers is how many workers are compared for a question: enough to leave
	// out three of four that are full.
	maxScannedWorkers = 4 * maxWorkersPerQuestion
)

// tickets is what is known of the workers that may run a step.
type tickets struct {
	// byWorker holds the tickets of workers that may run the step. Which these are
	// never changes; a ticket lapses and is "" then.
	byWorker map[string]ticket
	// workerIDs holds the keys of good in their order.
	workerIDs []string
	// askedAbout holds the workers that a question has named.
	askedAbout map[string]bool
	// askedAt is when the question under way was asked; 0 is none.
	askedAt time.Duration
	// answeredAt is when the last answer came.
	answeredAt time.Duration
	// answerTimeout is how long its answer may take.
	answerTimeout time.Duration
}

// ticket allows runs of a step on one life of a worker.
type ticket struct {
	value     string
	expiresAt time.Duration
	life      int64
}

// hasTicket reports whether there is a ticket for a worker that will still hold when a
// start has been recorded.
func (c *Cell) hasTicket(now time.Duration, s *step, w *worker) bool {
	held, ok := s.tickets.byWorker[w.ID]
	return ok && held.value != "" && held.life == w.Life && now+c.recordDelay+ticketMargin < held.expiresAt
}

// invalidate forgets a ticket that was turned down.
func (t *tickets) invalidate(worker string) {
	if held, ok := t.byWorker[worker]; ok {
		held.value = ""
		t.byWorker[worker] = held
	}
}

// hasAnswer reports whether a question about the step was ever answered.
func (t *tickets) hasAnswer() bool { return t.byWorker != nil }

// recentlyAnswered reports whether an answer came a short time ago.
func (t *tickets) recentlyAnswered(now time.Duration) bool {
	return t.answeredAt != 0 && now-t.answeredAt < recentAnswerWindow
}

// awaitsAnswer reports whether a question is under way.
func (t *tickets) awaitsAnswer(now time.Duration) bool {
	return t.askedAt != 0 && now < t.askedAt+t.answerTimeout
}

// eligibleRatios holds the part of the workers that may run a step, by queue. The zero value
// knows nothing.
type eligibleRatios map[string]float64

// of returns the part of the workers that may run a step of a queue.
func (g eligibleRatios) of(queue string) float64 {
	if share, ok := g[queue]; ok {
		return share
	}
	return initialEligibleRatio
}

// learn takes an answer about workers that were not known before.
func (g eligibleRatios) learn(queue string, good, named int) {
	if named == 0 {
		return
	}
	known := g.of(queue)
	g[queue] = known + (float64(good)/float64(named)-known)/eligibleRatioWeight
}

// askInitially asks about workers that could ever run a step, those with most room first.
func (c *Cell) askInitially(now time.Duration, s *step, queue workload.Queue) {
	if !s.tickets.awaitsAnswer(now) {
		c.ask(now, s, queue, c.selectEnough(queue, c.unaskedWorkers(s, queue), c.eligibleRatios.of(queue.Name), askedCapacityFactor*s.waitingTaskCount(now), s.expectedSlots))
	}
}

// selectEnough returns the first workers of a list that will likely have a number of places for
// tasks, if the given part of them may run the step and each has what places tells. A
// question takes the service longer the more workers it names, and all of a host's questions
// wait for one another.
func (c *Cell) selectEnough(queue workload.Queue, list []*worker, goodShare float64, wanted int, places func(w *worker) float64) []*worker {
	cheap := queue.Advice.MaxWorkers(time.Duration(extraNamingRatio * float64(queue.Advice.BaseDuration)))
	room := 0.0
	for i, w := range list {
		if i >= cheap && room >= float64(wanted) {
			return list[:i]
		}
		room += goodShare * places(w)
	}
	return list
}

// waitingTaskCount counts the tasks that wait.
func (s *step) waitingTaskCount(now time.Duration) int {
	n := 0
	for _, t := range s.tasks {
		if t.needsRun(now) {
			n++
		}
	}
	return n
}

// expectedSlots returns for how many tasks of a step a worker will likely have room soon.
func (s *step) expectedSlots(w *worker) float64 {
	return max(float64(s.fitCountIn(w.available())), float64(s.slotsOn(w))/busyCapacityDivisor)
}

// workerGroup is a group of workers that are alike in the part that is free.
type workerGroup struct {
	workers []*worker
	// maxFreeProcessors is the most processors that one of them has free, in thousandths.
	maxFreeProcessors int64
}

// unaskedWorkers lists workers that no question about a step has named yet, those with most room
// first. Of a large cell it looks at a part, so that a question costs no more than in a
// small cell. Each question begins at another worker, so that steps that wait for their
// answers at the same time don't all count on the same room.
func (c *Cell) unaskedWorkers(s *step, queue workload.Queue) []*worker {
	return c.scanUnasked(s, queue, 0, (*worker).canBeNamed)
}

// unaskedFitting is unasked for workers that may get a task of the step now.
func (c *Cell) unaskedFitting(now time.Duration, s *step, queue workload.Queue) []*worker {
	room := s.Demand()
	return c.scanUnasked(s, queue, room.Processors, func(w *worker) bool { return room.Fits(w.available()) && c.usable(now, w) })
}

// scanUnasked is unasked for workers that have some processors free and may be named.
func (c *Cell) scanUnasked(s *step, queue workload.Queue, processors int64, may func(w *worker) bool) []*worker {
	c.groupByFree()
	first := c.scanOffset
	c.scanOffset += maxWorkersPerQuestion
	var list []*worker
	for _, group := range c.freeGroups {
		if group.maxFreeProcessors < processors {
			continue
		}
		for i := range group.workers {
			w := group.workers[(first+i)%len(group.workers)]
			if !may(w) || !matchesStep(s, queue, w) || s.tickets.askedAbout[w.ID] || !s.Demand().Fits(w.Capacity) {
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

// groupByFree puts the workers in groups of those that are alike in the part that is free,
// those with most room first, unless the present look has done so.
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

// freeLevel is the part of a worker that is free, in roomSteps.
func (w *worker) freeLevel() int64 {
	return freeLevels * w.available().Processors / max(1, w.Capacity.Processors)
}

// unticketedFirst puts those workers first for which a step has no ticket, if there are more
// than one question takes: the next one names the others.
func (c *Cell) unticketedFirst(now time.Duration, s *step, about []*worker) []*worker {
	if len(about) <= maxWorkersPerQuestion {
		return about
	}
	lacking := slices.DeleteFunc(slices.Clone(about), func(w *worker) bool { return c.hasTicket(now, s, w) })
	return append(lacking, slices.DeleteFunc(slices.Clone(about), func(w *worker) bool { return !c.hasTicket(now, s, w) })...)
}

// ask hands out a question about a step unless one is under way.
func (c *Cell) ask(now time.Duration, s *step, queue workload.Queue, about []*worker) {
	if len(about) == 0 || s.tickets.awaitsAnswer(now) {
		return
	}
	about = c.unticketedFirst(now, s, about)
	names := make([]string, 0, len(about))
	for _, w := range about[:min(len(about), maxWorkersPerQuestion)] {
		names = append(names, w.ID)
	}
	expected := queue.Advice.QuestionDuration(len(names))
	s.tickets.askedAt, s.tickets.answerTimeout = now, expected+questionTimeout
	c.actions.Questions = append(c.actions.Questions, Question{
		Step: s.id, Workers: names, Expected: expected, Valid: queue.Advice.TicketLifetime, Due: s.latestStart(queue), Hopeless: s.expiryTime(queue),
		Booked: s.bookedPlan != nil,
	})
}

// HandleAdvice takes the answer to a question. A nil map is a question that failed.
func (c *Cell) HandleAdvice(now, received time.Duration, q Question, answered map[string]string) {
	s, _ := c.findTask(workload.TaskID{StepID: q.Step})
	if s == nil {
		return
	}
	t := &s.tickets
	asked := t.askedAt
	if asked == 0 {
		// An earlier owner asked.
		asked = received
	}
	c.log(LogEntry{Event: "advice", Job: q.Step.Job, Task: q.Step.String(), Reason: formatCount(len(answered), len(q.Workers)), Age: now - asked})
	t.askedAt, t.answeredAt = 0, now
	c.stale = true
	if answered == nil {
		return
	}
	if t.byWorker == nil {
		t.byWorker, t.askedAbout = map[string]ticket{}, map[string]bool{}
	}
	fresh, good := 0, 0
	for _, id := range q.Workers {
		if t.askedAbout[id] || c.workers[id] == nil {
			// A worker that is off the list may come back: it is asked about again then.
			continue
		}
		t.askedAbout[id] = true
		fresh++
		if _, ok := answered[id]; ok {
			good++
		}
	}
	c.eligibleRatios.learn(s.job.Queue, good, fresh)
	until := received + q.Valid
	for id, value := range answered {
		w := c.workers[id]
		if held, ok := t.byWorker[id]; w == nil || ok && held.expiresAt > until {
			// Answers overtake one another, and those of earlier tenures are passed on again.
			continue
		}
		t.byWorker[id] = ticket{value: value, expiresAt: until, life: w.Life}
	}
	t.workerIDs = slices.Sorted(maps.Keys(t.byWorker))
}
