package decision

import (
	"time"

	"github.com/vanillaquay/vanillaquay/task"
)

// blockCause is why no job of a subqueue can be placed.
type blockCause int

// The causes. A blocked subqueue is tried again only after an event that may
// unblock it.
const (
	// ready is a subqueue that has not been tried since an event that may help
	// it.
	ready blockCause = iota
	// noCapacity waits for a worker with more free capacity.
	noCapacity
	// noQuota waits for the team to release quota.
	noQuota
	// noLease waits for the driver's lease.
	noLease
	// yielding leaves the free capacity to needier work of another member, for
	// a bounded time.
	yielding
)

// deadlineMargin is how long before its latest start a batch job with a
// deadline goes ahead of other batch work.
const deadlineMargin = time.Minute

// shape is what all jobs of a subqueue have in common: if one does not fit,
// none does.
type shape struct {
	team      *team
	allotment *allotment
	size      task.Size
	durable   bool
	// tasks is the number of tasks of a gang; 0 for other work.
	tasks int
	// runTimeBucket is the rounded run time expected of a batch task; 0 is
	// unknown.
	runTimeBucket time.Duration
	// hasDeadline reports whether the batch work has a deadline.
	hasDeadline bool
}

// subqueue holds the jobs of one class and shape, ordered by deadline if they
// have one and by age otherwise.
type subqueue struct {
	shape
	class class
	cause blockCause
	// first and last are the ends of the list of jobs.
	first, last *job
	// index is the position in the subqueues of the queue.
	index int
}

// awaitsCapacity reports whether the subqueue waits for free capacity.
func (l *subqueue) awaitsCapacity() bool { return l.cause == noCapacity || l.cause == yielding }

// queue holds the jobs of one class.
type queue struct {
	byShape map[shape]*subqueue
	// subqueues holds those with a job, in no order.
	subqueues []*subqueue
	// readyCount is the number of subqueues that are ready.
	readyCount int
}

// enqueue puts a job with a waiting task into the queue of its class, or sets
// its timer if its backoff is not over.
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

// unqueue removes a job from its subqueue.
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

// pick returns the ready subqueue to place from next, or nil. A batch job that
// must start now to meet its deadline goes first, then the team with the
// smallest share, then the oldest job. With byAge, shares are ignored.
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

// mustStartNow reports whether the first job must start now to meet its
// deadline with deadlineMargin to spare.
func (l *subqueue) mustStartNow(now time.Time) bool {
	if !l.hasDeadline {
		return false
	}
	latest := l.first.work.Deadline.Add(-l.runTimeBucket - deadlineMargin)
	return !now.Before(latest)
}

// precedes reports whether a job goes before another in the subqueue.
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

// insert adds a job at its place in the order. New jobs belong at the back and
// requeued jobs near the front, so the search is short.
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

// unblock makes ready the blocked subqueues for which helped returns true.
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
