package virtual

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs callbacks in order of their due time;
// callbacks due at the same time run in the order in which they were added. The
// zero value starts at time 0.
type clock struct {
	now   time.Duration
	added uint64
	queue timers
}

// timer is a callback that is due at a given time.
type timer struct {
	at    time.Duration
	order uint64
	run   func()
}

// after schedules a callback to run once d has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.added++
	heap.Push(&c.queue, timer{at: c.now + d, order: c.added, run: run})
}

// step runs the next callback and reports whether there was one.
func (c *clock) step() bool {
	if len(c.queue) == 0 {
		return false
	}
	t := heap.Pop(&c.queue).(timer)
	c.now = t.at
	t.run()
	return true
}

// timers is a heap ordered by due time and then by order of addition.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].order < t[j].order
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}
