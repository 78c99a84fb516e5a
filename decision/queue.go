package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// cause tells why a line cannot be placed from.
type cause int

// The causes. A line is looked at again only after an event that can help it.
const (
	// ready is a line that was not tried since something changed for it.
	ready cause = iota
	// noRoom waits for a worker with more free room.
	noRoom
	// noQuota waits for the team to give something back.
	noQuota
	// noLease waits for the driver's lease.
	noLease
	// yields leaves what room there is to needier work of another member, for a
	// bounded time.
	yields
)

// deadlineMargin is how long before its latest start batch work with a deadline
// goes ahead of other batch work.
const deadlineMargin = time.Minute

// shape is what all jobs of a line have in common: if one has no room, none
// has.
type shape struct {
	team      *team
	allotment *allotment
	size      task.Size
	durable   bool
	// tasks is the number of tasks of an all-at-once job; 0 for other work.
	tasks int
	// span is how long a batch task is expected to run; 0 is not known.
	span time.Duration
	// dated tells that the batch work has a deadline.
	dated bool
}

// line is the jobs of one class and shape, the oldest first, or those of the
// earliest deadline.
type line struct {
	shape
	class class
	cause cause
	// first and last are the ends of the list of jobs.
	first, last *job
	// index is the place in the lines of the queue.
	index int
}

// wantsRoom reports whether the line waits for room.
func (l *line) wantsRoom() bool { return l.cause == noRoom || l.cause == yields }

// queue is the jobs of one class.
type queue struct {
	byShape map[shape]*line
	// lines are those with a job, in no order.
	lines []*line
	// ready counts the lines that are ready.
	ready int
}

// enqueue puts a job with a waiting task into the queue of its class.
func (c *Core) enqueue(j *job) {
	if j.line != nil {
		return
	}
	if j.notBefore.After(c.now) {
		c.wakeBy(j, j.notBefore)
		return
	}
	j.size = c.sizeOf(j)
	k := j.class()
	s := j.shape()
	if k == batch {
		s.span = c.spanOf(j)
		s.dated = !j.work.Deadline.IsZero()
	}
	j.line = c.queue[k].lineOf(s, k)
	j.line.insert(j)
	c.waiting++
	c.waitingClass[k]++
	j.team.waiting++
	j.team.waitingClass[k]++
	c.changed = true
	if !c.cell.whole(c.now, c.options.DiscoveryPeriod) {
		c.wakeBy(j, c.now.Add(c.options.DiscoveryPeriod))
	}
}

// unqueue takes a job out of its line.
func (c *Core) unqueue(j *job) {
	l := j.line
	if l == nil {
		return
	}
	l.remove(j)
	j.line = nil
	c.waiting--
	c.waitingClass[l.class]--
	j.team.waiting--
	j.team.waitingClass[l.class]--
	if l.first == nil {
		c.queue[l.class].drop(l)
	}
}

func (j *job) shape() shape {
	s := shape{team: j.team, allotment: j.allotment, size: j.size, durable: j.work.NeedsDurableRecord()}
	if j.together() {
		s.tasks = len(j.tasks)
	}
	return s
}

func (q *queue) lineOf(s shape, k class) *line {
	if l, ok := q.byShape[s]; ok {
		return l
	}
	if q.byShape == nil {
		q.byShape = map[shape]*line{}
	}
	l := &line{shape: s, class: k, index: len(q.lines)}
	q.byShape[s] = l
	q.lines = append(q.lines, l)
	q.ready++
	return l
}

func (q *queue) drop(l *line) {
	q.setCause(l, noRoom)
	delete(q.byShape, l.shape)
	last := len(q.lines) - 1
	q.lines[l.index] = q.lines[last]
	q.lines[l.index].index = l.index
	q.lines[last] = nil
	q.lines = q.lines[:last]
}

func (q *queue) setCause(l *line, to cause) {
	if l.cause == ready {
		q.ready--
	}
	if to == ready {
		q.ready++
	}
	l.cause = to
}

// pick returns the ready line that goes first, or nil: one whose deadline
// presses, or that of the team with the smallest share, or the one with the
// oldest job where age decides.
func (q *queue) pick(now time.Time, byAge bool) *line {
	var best *line
	for _, l := range q.lines {
		if l.cause == ready && (best == nil || l.before(best, now, byAge)) {
			best = l
		}
	}
	return best
}

func (l *line) before(o *line, now time.Time, byAge bool) bool {
	if p := l.presses(now); p != o.presses(now) {
		return p
	}
	if !byAge && l.team != o.team && l.team.share != o.team.share {
		return l.team.share < o.team.share
	}
	return l.first.older(o.first)
}

// presses reports whether the first job must start now to meet its deadline,
// with a margin.
func (l *line) presses(now time.Time) bool {
	if !l.dated {
		return false
	}
	latest := l.first.work.Deadline.Add(-l.span - deadlineMargin)
	return !now.Before(latest)
}

// precedes reports whether a job stands before another in the line.
func (l *line) precedes(j, o *job) bool {
	if l.dated && !j.work.Deadline.Equal(o.work.Deadline) {
		return j.work.Deadline.Before(o.work.Deadline)
	}
	return j.older(o)
}

// older orders jobs by time of submission.
func (j *job) older(o *job) bool {
	if !j.submitted.Equal(o.submitted) {
		return j.submitted.Before(o.submitted)
	}
	return j.serial < o.serial
}

// insert keeps the line in the order of age. New jobs go to the back and jobs
// that come back are among the oldest, so that the walk is short.
func (l *line) insert(j *job) {
	if l.last == nil || l.precedes(l.last, j) {
		l.link(l.last, j, nil)
		return
	}
	next := l.first
	for l.precedes(next, j) {
		next = next.next
	}
	l.link(next.previous, j, next)
}

func (l *line) link(previous, j, next *job) {
	j.previous, j.next = previous, next
	if previous == nil {
		l.first = j
	} else {
		previous.next = j
	}
	if next == nil {
		l.last = j
	} else {
		next.previous = j
	}
}

func (l *line) remove(j *job) {
	if j.previous == nil {
		l.first = j.next
	} else {
		j.previous.next = j.next
	}
	if j.next == nil {
		l.last = j.previous
	} else {
		j.next.previous = j.previous
	}
	j.previous, j.next = nil, nil
}

// unblock makes the lines ready that something has changed for.
func (c *Core) unblock(helped func(*line) bool) {
	for k := range c.queue {
		q := &c.queue[k]
		if len(q.lines) == q.ready {
			continue
		}
		for _, l := range q.lines {
			if l.cause != ready && helped(l) {
				q.setCause(l, ready)
				c.changed = true
			}
		}
	}
}
