package cell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

const (
	// firstLooks is how many steps are looked at each time room is given to what waits,
	// in the order of service, and turnLooks how many of the others: a backlog of 1,000
	// steps has had its turn within half a second.
	firstLooks = 160
	turnLooks  = 40
	// maxLateAsking is how many steps may wait for advice while one that is late asks
	// too: some more than the hosts of a large deployment ask at once. Those that come
	// meanwhile would find the service busy.
	maxLateAsking = 64
)

// Tick does what is due at a time: occurrences, stops to send again, leases that
// have ended, and then gives room to what waits. wall is the time since 1970 in
// milliseconds.
func (c *Cell) Tick(now time.Duration, wall int64) {
	c.wall = wall
	for _, j := range c.sortedJobs() {
		if j.due < j.Occurrences() {
			c.makeDue(now, j)
		}
	}
	for _, w := range slices.Clone(c.order) {
		c.overdue(now, w)
	}
	c.stale = true
	c.Schedule(now)
}

// overdue closes what the end of its lease has ended, sends stops again and moves
// what makes no progress.
func (c *Cell) overdue(now time.Duration, w *worker) {
	for _, r := range w.sortedRuns() {
		switch {
		case c.lapsed(now, w, r):
			c.note(Note{What: "run lapsed", Job: r.id.Job, Task: r.id.String(), Run: r.number, Worker: w.ID, Why: "the lease has ended", Age: now - w.granted})
			c.apply(r, "Lapsed")
			c.closeRun(now, w, r)
		case r.state == withdrawing && now-r.stopSent > stopRetry:
			c.sendStop(now, r)
		case r.state == running:
			c.checkProgress(now, w, r)
		}
	}
	c.dropIfEmpty(w)
}

// lapsed reports whether nothing that was granted can still let a run go on. The order
// for one that is placed may be about to be sent, with a grant of its own.
func (c *Cell) lapsed(now time.Duration, w *worker, r *run) bool {
	if w.granted == 0 && !w.gone {
		return false
	}
	granted := w.granted
	if r.state == placed {
		granted = max(granted, r.placedAt)
	}
	return now > c.leaseEnd(granted) && now-w.heard > c.options.Lease
}

// checkProgress stops a run that stands still on a worker that can be heard.
func (c *Cell) checkProgress(now time.Duration, w *worker, r *run) {
	s, t := c.find(r.id)
	if s == nil || s.Daemon || w.heard <= r.progressed || t.done {
		return
	}
	progressed, waits := r.progressed, false
	if s.Gang {
		progressed, waits = s.gangProgressed(r)
	}
	if waits || now-progressed < stuckBound {
		return
	}
	w.strike(now)
	w.strikes++
	c.withdraw(now, r, fmt.Sprintf("no progress at %.0f percent", r.percent))
}

// complete is the progress, in percent, of a run whose own work is done.
const complete = 100

// gangProgressed returns when a member of a gang last made progress, and whether it
// waits for others. The members are of different size and end together, so that one
// that has done its work stands still until the last has.
func (s *step) gangProgressed(r *run) (progressed time.Duration, waits bool) {
	if !s.allRunning() {
		return 0, true
	}
	if r.percent < complete {
		return r.progressed, false
	}
	for _, t := range s.tasks {
		other := t.runs[0]
		if other.percent < complete {
			return 0, true
		}
		progressed = max(progressed, other.progressed)
	}
	return progressed, false
}

func (s *step) allRunning() bool {
	for _, t := range s.tasks {
		if len(t.runs) != 1 || t.runs[0].state != running {
			return false
		}
	}
	return true
}

// Stale reports whether something has changed since room was last given to what waits.
func (c *Cell) Stale() bool { return c.stale }

// Schedule gives room to what waits, if something has changed.
func (c *Cell) Schedule(now time.Duration) {
	if !c.stale {
		return
	}
	c.stale = false
	c.beginLook()
	gangsHeld := 0
	steps := c.waiting(now)
	c.book(now, steps)
	lateAsking := countLateAsking(now, steps)
	for _, r := range c.inTurn(now, steps) {
		s, queue := r.step, r.queue
		if !r.routed {
			continue
		}
		if queue.Advice != nil && !s.tickets.known() {
			if s.tickets.waitsForAnswer(now) {
				continue
			}
			if r.standing != inTime {
				if lateAsking >= maxLateAsking {
					continue
				}
				lateAsking++
			}
			c.askFirst(now, s, queue)
			continue
		}
		if !s.Gang {
			c.placeTasks(now, s, queue)
			continue
		}
		if !c.placeGang(now, s, queue) && gangsHeld < c.maxGangsHeld() {
			gangsHeld++
			c.holdRoom(now, s, queue)
		}
	}
}

// beginLook forgets what the last look kept.
func (c *Cell) beginLook() {
	c.isByRoom = false
	for _, w := range c.order {
		w.held = task.Size{}
	}
}

// inTurn returns the steps that are looked at this time: the first in the order of service,
// and of the others those that were just answered, and some more, each time the next. A
// backlog costs no more than this, and all of it comes to its turn.
func (c *Cell) inTurn(now time.Duration, steps []ranked) []ranked {
	if len(steps) <= firstLooks+turnLooks {
		return steps
	}
	turn := slices.Clone(steps[:firstLooks])
	rest := steps[firstLooks:]
	for _, s := range rest {
		if s.tickets.justAnswered(now) {
			turn = append(turn, s)
		}
	}
	for range turnLooks {
		c.turn = (c.turn + 1) % len(rest)
		if s := rest[c.turn]; !s.tickets.justAnswered(now) {
			turn = append(turn, s)
		}
	}
	return turn
}

// countLateAsking counts the steps that are late and wait for an answer about their
// workers. Those in time may ask at any moment, and must not keep these from it.
func countLateAsking(now time.Duration, steps []ranked) int {
	n := 0
	for _, s := range steps {
		if s.standing != inTime && s.tickets.waitsForAnswer(now) {
			n++
		}
	}
	return n
}

// waiting returns the steps with tasks that wait, in the order of service.
func (c *Cell) waiting(now time.Duration) []ranked {
	var steps []ranked
	for _, j := range c.jobs {
		if j.state.Final() {
			continue
		}
		for _, s := range j.steps {
			if s.left > 0 && s.hasWaiting(now) && s.ready() {
				steps = append(steps, c.rank(now, s))
			}
		}
	}
	slices.SortFunc(steps, ranked.compare)
	return steps
}

func (s *step) hasWaiting(now time.Duration) bool {
	for _, t := range s.tasks {
		if t.waits(now) {
			return true
		}
	}
	return false
}

func (c *Cell) sortedJobs() []*job {
	jobs := make([]*job, 0, len(c.jobs))
	for _, j := range c.jobs {
		if j.Schedule.Times > 0 && !j.state.Final() {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

func countOf(n, of int) string { return fmt.Sprintf("%d of %d", n, of) }
