package cell

import (
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// ticketMargin is how much earlier than its end a ticket is no longer used:
	// the time for the record and the order.
	ticketMargin = 200 * time.Millisecond
	// questionTimeout is when a question without an answer is asked again,
	// beyond the time that it is expected to take.
	questionTimeout = 2500 * time.Millisecond
	// maxNamed is the most workers of one question; the service takes 100.
	maxNamed = 100
)

// tickets is what is known of the workers that may run a step.
type tickets struct {
	// good holds the tickets of workers that may run the step. Which these are
	// never changes; a ticket lapses and is "" then.
	good map[string]ticket
	// asked holds the workers that a question has named.
	asked map[string]bool
	// pending is when the question under way was asked; 0 is none.
	pending time.Duration
	// patience is how long its answer may take.
	patience time.Duration
}

// ticket allows runs of a step on one life of a worker.
type ticket struct {
	value string
	until time.Duration
	life  int64
}

func (t *tickets) of(worker string) string { return t.good[worker].value }

// valid reports whether there is a ticket for a worker that can still be used.
func (t *tickets) valid(now time.Duration, w *worker) bool {
	held, ok := t.good[w.ID]
	return ok && held.value != "" && held.life == w.Life && now+ticketMargin < held.until
}

// mayRun reports whether a worker is known not to be allowed.
func (t *tickets) mayRun(id string) bool {
	if _, ok := t.good[id]; ok {
		return true
	}
	return !t.asked[id]
}

// drop forgets a ticket that was turned down.
func (t *tickets) drop(worker string) {
	if held, ok := t.good[worker]; ok {
		held.value = ""
		t.good[worker] = held
	}
}

// ask hands out a question about a step unless one is under way.
func (c *Cell) ask(now time.Duration, s *step, advice workload.Advice) {
	t := &s.tickets
	if t.pending != 0 && now < t.pending+t.patience {
		return
	}
	named := c.namedWorkers(now, s)
	if len(named) == 0 {
		return
	}
	expected := advice.Duration(len(named))
	t.pending, t.patience = now, expected+questionTimeout
	c.actions.Questions = append(c.actions.Questions, Question{
		Step: s.id, Workers: named, Expected: expected, Valid: advice.Valid, Due: c.latestStart(s),
	})
}

// namedWorkers lists the workers to ask about: those that may run the step and
// have most room. Those that are known to be good come alone.
func (c *Cell) namedWorkers(now time.Duration, s *step) []string {
	var candidates []*worker
	for _, w := range c.order {
		if c.serves(s, w) && w.usable(now) && s.tickets.mayRun(w.ID) && s.Room().Fits(w.Capacity) {
			candidates = append(candidates, w)
		}
	}
	fits := func(w *worker) bool { return s.Room().Fits(w.free()) }
	if len(s.tickets.good) > 0 {
		// The rest of the workers is known to be of no use, or lacked room then.
		known := slices.DeleteFunc(slices.Clone(candidates), func(w *worker) bool {
			_, ok := s.tickets.good[w.ID]
			return !ok || !fits(w)
		})
		if len(known) == 0 {
			return nil
		}
		candidates = known
	}
	slices.SortStableFunc(candidates, func(a, b *worker) int {
		return int(b.free().Processors - a.free().Processors)
	})
	names := make([]string, 0, len(candidates))
	for _, w := range candidates[:min(len(candidates), maxNamed)] {
		names = append(names, w.ID)
	}
	return names
}

// Advised takes the answer to a question. A nil map is a question that failed.
func (c *Cell) Advised(now, received time.Duration, q Question, answered map[string]string) {
	s, _ := c.find(workload.TaskID{StepID: q.Step})
	if s == nil {
		return
	}
	t := &s.tickets
	c.note(Note{What: "advice", Job: q.Step.Job, Task: q.Step.String(), Why: countOf(len(answered), len(q.Workers)), Age: now - t.pending})
	t.pending = 0
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
}
