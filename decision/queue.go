package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// blockCause tells why a line cannot be placed from.
type blockCause int

// The causes. A line is looked at again only after an event that can help it.
const (
	// ready is a line that was not tried since something changed for it.
	ready blockCause = iota
	// noCapacity waits for a worker with more free room.
	noCapacity
	// noQuota waits for the team to give something back.
	noQuota
	// noLease waits for the driver's lease.
	noLease
	// yielding leaves what room there is to needier work of another member, for a
	// bounded time.
	yielding
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
	// runTimeBucket is how long a batch task is expected to run; 0 is not known.
	runTimeBucket time.Duration
	// hasDeadline tells that the batch work has a deadline.
	hasDeadline bool
}

// subqueue is the jobs of one class and shape, the oldest first, or those of the
// earliest deadline.
type subqueue struct {
	shape
	class class
	cause blockCause
	// first and last are the ends of the list of jobs.
	first, last *job
	// index is the place in the lines of the queue.
	index int
}

// awaitsCapacity reports whether the line waits for room.
func (l *subqueue) awaitsCapacity() bool { return l.cause == noCapacity || l.cause == yielding }

// queue is the jobs of one class.
type queue struct {
	byShape map[shape]*subqueue
	// subqueues are those with a job, in no order.
	subqueues []*subqueue
	// readyCount counts the lines that are ready.
	readyCount int
}

// enqueue puts a job with a waiting task into the queue of its class.
func (c *Core) enqueue(j *job) {
	if j.subqueue != nil {
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
		s.runTimeBucket = c.runTimeBucket(j)
		s.hasDeadline = !j.work.Deadline.IsZero()
	}
	j.subqueue = c.queues[k].subqueueFor(s, k)
	j.subqueue.insert(j)
	c.queuedCount++
	c.queuedByClass[k]++
	j.team.queuedCount++
	j.team.queuedByClass[k]++
	c.needsPlacement = true
	if !c.cell.fullyKnown(c.now, c.options.DiscoveryPeriod) {
		c.wakeBy(j, c.now.Add(c.options.DiscoveryPeriod))
	}
}

// unqueue takes a job out of its line.
func (c *Core) unqueue(j *job) {
	l := j.subqueue
	if l == nil {
		return
	}
	l.remove(j)
	j.subqueue = nil
	c.queuedCount--
	c.queuedByClass[l.class]--
	j.team.queuedCount--
	j.team.queuedByClass[l.class]--
	if l.first == nil {
		c.queues[l.class].remove(l)
	}
}

func (j *job) shape() shape {
	s := shape{team: j.team, allotment: j.allotment, size: j.size, durable: j.work.NeedsDurableRecord()}
	if j.isGang() {
		s.tasks = len(j.tasks)
	}
	return s
}

func (q *queue) subqueueFor(s shape, k class) *subqueue {
	if l, ok := q.byShape[s]; ok {
		return l
	}
	if q.byShape == nil {
		q.byShape = map[shape]*subqueue{}
	}
	l := &subqueue{shape: s, class: k, index: len(q.subqueues)}
	q.byShape[s] = l
	q.subqueues = append(q.subqueues, l)
	q.readyCount++
	return l
}

func (q *queue) remove(l *subqueue) {
	q.setCause(l, noCapacity)
	delete(q.byShape, l.shape)
	last := len(q.subqueues) - 1
	q.subqueues[l.index] = q.subqueues[last]
	q.subqueues[l.index].index = l.index
	q.subqueues[last] = nil
	q.subqueues = q.subqueues[:last]
}

func (q *queue) setCause(l *subqueue, to blockCause) {
	if l.cause == ready {
		q.readyCount--
	}
	if to == ready {
		q.readyCount++
	}
	l.cause = to
}

// pick returns the ready line that goes first, or nil: one whose deadline
// presses, or that of the team with the smallest share, or the one with the
// oldest job where age decides.
func (q *queue) pick(now time.Time, byAge bool) *subqueue {
	var best *subqueue
	for _, l := range q.subqueues {
		if l.cause == ready && (best == nil || l.goesBefore(best, now, byAge)) {
			best = l
		}
	}
	return best
}

func (l *subqueue) goesBefore(o *subqueue, now time.Time, byAge bool) bool {
	if p := l.mustStartNow(now); p != o.mustStartNow(now) {
		return p
	}
	if !byAge && l.team != o.team && l.team.share != o.team.share {
		return l.team.share < o.team.share
	}
	return l.first.olderThan(o.first)
}

// mustStartNow reports whether the first job must start now to meet its deadline,
// with a margin.
func (l *subqueue) mustStartNow(now time.Time) bool {
	if !l.hasDeadline {
		return false
	}
	latest := l.first.work.Deadline.Add(-l.runTimeBucket - deadlineMargin)
	return !now.Before(latest)
}

// precedes reports whether a job stands before another in the line.
func (l *subqueue) precedes(j, o *job) bool {
	if l.hasDeadline && !j.work.Deadline.Equal(o.work.Deadline) {
		return j.work.Deadline.Before(o.work.Deadline)
	}
	return j.olderThan(o)
}

// olderThan orders jobs by time of submission.
func (j *job) olderThan(o *job) bool {
	if !j.submittedAt.Equal(o.submittedAt) {
		return j.submittedAt.Before(o.submittedAt)
	}
	return j.serial < o.serial
}

// insert keeps the line in the order of age. New jobs go to the back and jobs
// that come back are among the oldest, so that the walk is short.
func (l *subqueue) insert(j *job) {
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

func (l *subqueue) link(previous, j, next *job) {
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

func (l *subqueue) remove(j *job) {
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
func (c *Core) unblock(helped func(*subqueue) bool) {
	for k := range c.queues {
		q := &c.queues[k]
		if len(q.subqueues) == q.readyCount {
			continue
		}
		for _, l := range q.subqueues {
			if l.cause != ready && helped(l) {
				q.setCause(l, ready)
				c.needsPlacement = true
			}
		}
	}
}
