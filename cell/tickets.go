package cell

import (
	"cmp"
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

// waitsForAnswer reports whether a question is under way.
func (t *tickets) waitsForAnswer(now time.Duration) bool {
	return t.pending != 0 && now < t.pending+t.patience
}

// askFirst asks about all workers that could ever run a step, those with most room
// first.
func (c *Cell) askFirst(now time.Duration, s *step, queue workload.Queue) {
	if !s.tickets.waitsForAnswer(now) {
		c.ask(now, s, queue, c.unasked(s, queue))
	}
}

// unasked lists workers that no question about a step has named yet, those with most
// room first. Of a large cell it looks at a part, each time at another one, so that a
// question costs no more than in a small cell.
func (c *Cell) unasked(s *step, queue workload.Queue) []*worker {
	first := 0
	if len(c.order) > maxLookedAt {
		first = c.lookedAt % len(c.order)
	}
	var list []*worker
	for i := range c.order {
		if len(list) == maxLookedAt {
			break
		}
		c.lookedAt++
		w := c.order[(first+i)%len(c.order)]
		if w.announced() && serves(s, queue, w) && !s.tickets.asked[w.ID] && s.Room().Fits(w.Capacity) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return cmp.Compare(b.free().Processors, a.free().Processors) })
	return list
}

// ask hands out a question about a step unless one is under way.
func (c *Cell) ask(now time.Duration, s *step, queue workload.Queue, about []*worker) {
	if len(about) == 0 || s.tickets.waitsForAnswer(now) {
		return
	}
	names := make([]string, 0, len(about))
	for _, w := range about[:min(len(about), maxNamed)] {
		names = append(names, w.ID)
	}
	expected := queue.Advice.Duration(len(names))
	s.tickets.pending, s.tickets.patience = now, expected+questionTimeout
	c.actions.Questions = append(c.actions.Questions, Question{
		Step: s.id, Workers: names, Expected: expected, Valid: queue.Advice.Valid, Due: s.latestStart(queue),
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
	for _, id := range q.Workers {
		t.asked[id] = true
	}
	for id, value := range answered {
		if w := c.workers[id]; w != nil {
			t.good[id] = ticket{value: value, until: received + q.Valid, life: w.Life}
		}
	}
	t.named = slices.Sorted(maps.Keys(t.good))
}
