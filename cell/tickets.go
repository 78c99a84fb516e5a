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
	// maxNamed is the most workers of one question; the service takes 100.
	maxNamed = 100
	// namingShare is the part of the time that the service takes for any question which
	// may go into naming workers, needed or not: some get other work or fail until the
	// answer comes.
	namingShare = 0.5
	// namedRoom is for how many times the tasks that wait the workers of a question
	// should have room.
	namedRoom = 3
	// busyRoom is the part of a worker without room that counts as free by the time of
	// the answer.
	busyRoom = 4
	// answeredTurn is how long a step whose question was answered is looked at each time,
	// wherever it stands in the order of service: some looks. Its tickets lapse 2 s after
	// the answer.
	answeredTurn = 200 * time.Millisecond
	// roomSteps is how finely workers are told apart by their room: all questions would
	// name the same few otherwise.
	roomSteps = 4
	// firstGoodShare is the part of the workers that may run a step, as long as a queue
	// has no answers; goodWeight is the weight of the past in what they tell.
	firstGoodShare = 0.3
	goodWeight     = 20
	// maxLookedAt is how many workers are compared for a question: enough to leave
	// out three of four that are full.
	maxLookedAt = 4 * maxNamed
)

// tickets is what is known of the workers that may run a step.
type tickets struct {
	// good holds the tickets of workers that may run the step. Which these are
	// never changes; a ticket lapses and is "" then.
	good map[string]ticket
	// named holds the keys of good in their order.
	named []string
	// asked holds the workers that a question has named.
	asked map[string]bool
	// pending is when the question under way was asked; 0 is none.
	pending time.Duration
	// answered is when the last answer came.
	answered time.Duration
	// patience is how long its answer may take.
	patience time.Duration
}

// ticket allows runs of a step on one life of a worker.
type ticket struct {
	value string
	until time.Duration
	life  int64
}

// valid reports whether there is a ticket for a worker that will still hold when a
// start has been recorded.
func (c *Cell) valid(now time.Duration, s *step, w *worker) bool {
	held, ok := s.tickets.good[w.ID]
	return ok && held.value != "" && held.life == w.Life && now+c.recordDelay+ticketMargin < held.until
}

// drop forgets a ticket that was turned down.
func (t *tickets) drop(worker string) {
	if held, ok := t.good[worker]; ok {
		held.value = ""
		t.good[worker] = held
	}
}

// known reports whether a question about the step was ever answered.
func (t *tickets) known() bool { return t.good != nil }

// justAnswered reports whether an answer came a short time ago.
func (t *tickets) justAnswered(now time.Duration) bool {
	return t.answered != 0 && now-t.answered < answeredTurn
}

// waitsForAnswer reports whether a question is under way.
func (t *tickets) waitsForAnswer(now time.Duration) bool {
	return t.pending != 0 && now < t.pending+t.patience
}

// goodShares holds the part of the workers that may run a step, by queue. The zero value
// knows nothing.
type goodShares map[string]float64

// of returns the part of the workers that may run a step of a queue.
func (g goodShares) of(queue string) float64 {
	if share, ok := g[queue]; ok {
		return share
	}
	return firstGoodShare
}

// learn takes an answer about workers that were not known before.
func (g goodShares) learn(queue string, good, named int) {
	if named == 0 {
		return
	}
	known := g.of(queue)
	g[queue] = known + (float64(good)/float64(named)-known)/goodWeight
}

// askFirst asks about workers that could ever run a step, those with most room first.
func (c *Cell) askFirst(now time.Duration, s *step, queue workload.Queue) {
	if !s.tickets.waitsForAnswer(now) {
		c.ask(now, s, queue, c.enough(queue, c.unasked(s, queue), c.goodShares.of(queue.Name), namedRoom*s.waitingTasks(now), s.likelyRoom))
	}
}

// enough returns the first workers of a list that will likely have a number of places for
// tasks, if the given part of them may run the step and each has what places tells. A
// question takes the service longer the more workers it names, and all of a host's questions
// wait for one another.
func (c *Cell) enough(queue workload.Queue, list []*worker, goodShare float64, wanted int, places func(w *worker) float64) []*worker {
	cheap := queue.Advice.Workers(time.Duration(namingShare * float64(queue.Advice.Decide)))
	room := 0.0
	for i, w := range list {
		if i >= cheap && room >= float64(wanted) {
			return list[:i]
		}
		room += goodShare * places(w)
	}
	return list
}

// waitingTasks counts the tasks that wait.
func (s *step) waitingTasks(now time.Duration) int {
	n := 0
	for _, t := range s.tasks {
		if t.waits(now) {
			n++
		}
	}
	return n
}

// likelyRoom returns for how many tasks of a step a worker will likely have room soon.
func (s *step) likelyRoom(w *worker) float64 {
	return max(float64(s.fittingIn(w.spare())), float64(s.slotsOn(w))/busyRoom)
}

// alike is a group of workers that are alike in the part that is free.
type alike struct {
	workers []*worker
	// most is the most processors that one of them has free, in thousandths.
	most int64
}

// unasked lists workers that no question about a step has named yet, those with most room
// first. Of a large cell it looks at a part, so that a question costs no more than in a
// small cell. Each question begins at another worker, so that steps that wait for their
// answers at the same time don't all count on the same room.
func (c *Cell) unasked(s *step, queue workload.Queue) []*worker {
	return c.unaskedWith(s, queue, 0, (*worker).announced)
}

// unaskedWithRoom is unasked for workers that may get a task of the step now.
func (c *Cell) unaskedWithRoom(now time.Duration, s *step, queue workload.Queue) []*worker {
	room := s.Room()
	return c.unaskedWith(s, queue, room.Processors, func(w *worker) bool { return room.Fits(w.spare()) && c.usable(now, w) })
}

// unaskedWith is unasked for workers that have some processors free and may be named.
func (c *Cell) unaskedWith(s *step, queue workload.Queue, processors int64, may func(w *worker) bool) []*worker {
	c.sortByRoom()
	first := c.lookedAt
	c.lookedAt += maxNamed
	var list []*worker
	for _, group := range c.byRoom {
		if group.most < processors {
			continue
		}
		for i := range group.workers {
			w := group.workers[(first+i)%len(group.workers)]
			if !may(w) || !serves(s, queue, w) || s.tickets.asked[w.ID] || !s.Room().Fits(w.Capacity) {
				continue
			}
			list = append(list, w)
			if len(list) == maxLookedAt {
				return list
			}
		}
	}
	return list
}

// sortByRoom puts the workers in groups of those that are alike in the part that is free,
// those with most room first, unless the present look has done so.
func (c *Cell) sortByRoom() {
	if c.isByRoom {
		return
	}
	c.isByRoom = true
	for g := range c.byRoom {
		c.byRoom[g] = alike{workers: c.byRoom[g].workers[:0]}
	}
	for _, w := range c.order {
		group := &c.byRoom[roomSteps-min(roomSteps, max(0, w.roomStep()))]
		group.workers = append(group.workers, w)
		group.most = max(group.most, w.spare().Processors)
	}
}

// roomStep is the part of a worker that is free, in roomSteps.
func (w *worker) roomStep() int64 {
	return roomSteps * w.spare().Processors / max(1, w.Capacity.Processors)
}

// lackingFirst puts those workers first for which a step has no ticket, if there are more
// than one question takes: the next one names the others.
func (c *Cell) lackingFirst(now time.Duration, s *step, about []*worker) []*worker {
	if len(about) <= maxNamed {
		return about
	}
	lacking := slices.DeleteFunc(slices.Clone(about), func(w *worker) bool { return c.valid(now, s, w) })
	return append(lacking, slices.DeleteFunc(slices.Clone(about), func(w *worker) bool { return !c.valid(now, s, w) })...)
}

// ask hands out a question about a step unless one is under way.
func (c *Cell) ask(now time.Duration, s *step, queue workload.Queue, about []*worker) {
	if len(about) == 0 || s.tickets.waitsForAnswer(now) {
		return
	}
	about = c.lackingFirst(now, s, about)
	names := make([]string, 0, len(about))
	for _, w := range about[:min(len(about), maxNamed)] {
		names = append(names, w.ID)
	}
	expected := queue.Advice.Duration(len(names))
	s.tickets.pending, s.tickets.patience = now, expected+questionTimeout
	c.actions.Questions = append(c.actions.Questions, Question{
		Step: s.id, Workers: names, Expected: expected, Valid: queue.Advice.Valid, Due: s.latestStart(queue), Hopeless: s.hopelessFrom(queue),
		Booked: s.booked != nil,
	})
}

// Advised takes the answer to a question. A nil map is a question that failed.
func (c *Cell) Advised(now, received time.Duration, q Question, answered map[string]string) {
	s, _ := c.find(workload.TaskID{StepID: q.Step})
	if s == nil {
		return
	}
	t := &s.tickets
	asked := t.pending
	if asked == 0 {
		// An earlier owner asked.
		asked = received
	}
	c.note(Note{What: "advice", Job: q.Step.Job, Task: q.Step.String(), Why: countOf(len(answered), len(q.Workers)), Age: now - asked})
	t.pending, t.answered = 0, now
	c.stale = true
	if answered == nil {
		return
	}
	if t.good == nil {
		t.good, t.asked = map[string]ticket{}, map[string]bool{}
	}
	fresh, good := 0, 0
	for _, id := range q.Workers {
		if t.asked[id] || c.workers[id] == nil {
			// A worker that is off the list may come back: it is asked about again then.
			continue
		}
		t.asked[id] = true
		fresh++
		if _, ok := answered[id]; ok {
			good++
		}
	}
	c.goodShares.learn(s.job.Queue, good, fresh)
	until := received + q.Valid
	for id, value := range answered {
		w := c.workers[id]
		if held, ok := t.good[id]; w == nil || ok && held.until > until {
			// Answers overtake one another, and those of earlier tenures are passed on again.
			continue
		}
		t.good[id] = ticket{value: value, until: until, life: w.Life}
	}
	t.named = slices.Sorted(maps.Keys(t.good))
}
