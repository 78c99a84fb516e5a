package advice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// longQuestion is the duration from which a question goes to the hosts for
	// long ones only.
	longQuestion = 250 * time.Millisecond
	// longShare is the part of the hosts, in eighths, that takes long questions at any
	// time, and idleShare the part that must be idle beside those for one of the rest to
	// take a long question as well: a burst of short ones finds them.
	longShare = 5
	idleShare = 1
	// shares is the number of parts.
	shares = 8
	// maxShort is how many short questions a host has at once: one that the service
	// handles, and one that is on its way meanwhile.
	maxShort = 2
	// lost is how long after its expected end an answer is given up.
	lost = 2 * time.Second
	// failedRest is how long a host is asked nothing after it failed a question: the time in
	// which others answer a short one, or a connection is made again.
	failedRest = 500 * time.Millisecond
	// delayWeight is the weight of the past in the mean delay of a host.
	delayWeight = 4
)

// Assignment is a question for one host.
type Assignment struct {
	Host     string
	Question cell.Question
}

// Desk holds the questions that wait and those that hosts ask. The zero value is
// empty.
type Desk struct {
	waiting []cell.Question
	asked   map[string][]asked
	// delay is how much longer than expected the answers of each host take, as a
	// moving mean.
	delay map[string]time.Duration
	// resting holds the hosts that have failed a question, until when they are asked nothing.
	resting map[string]time.Duration
}

// asked is a question at a host.
type asked struct {
	question cell.Question
	at       time.Duration
	// until is when the answer is expected.
	until time.Duration
}

// Add takes a question; it replaces an earlier one about the same step.
func (d *Desk) Add(q cell.Question) {
	d.waiting = slices.DeleteFunc(d.waiting, func(other cell.Question) bool { return other.Step == q.Step })
	d.waiting = append(d.waiting, q)
}

// Drop forgets the questions of a job that wait: nobody needs their answers.
func (d *Desk) Drop(job string) {
	d.waiting = slices.DeleteFunc(d.waiting, func(q cell.Question) bool { return q.Step.Job == job })
}

// Answered takes a question off its host. An answer to an earlier owner may be about the
// same step, but other workers.
func (d *Desk) Answered(now time.Duration, host string, q cell.Question) {
	if a, ok := d.remove(host, q); ok {
		d.learn(host, now-a.at-q.Expected)
	}
}

// Failed takes a question off its host that got no answer there. The host is asked nothing
// for some time, and later than others after that: one that is cut off from the service
// fails all at once, and would be the first that is free again.
func (d *Desk) Failed(now time.Duration, host string, q cell.Question) {
	d.remove(host, q)
	d.learn(host, lost)
	if d.resting == nil {
		d.resting = map[string]time.Duration{}
	}
	d.resting[host] = now + failedRest
}

// remove takes a question off its host, and reports whether the host had it.
func (d *Desk) remove(host string, q cell.Question) (asked, bool) {
	for i, a := range d.asked[host] {
		if a.question.Step == q.Step && slices.Equal(a.question.Workers, q.Workers) {
			d.asked[host] = slices.Delete(d.asked[host], i, i+1)
			return a, true
		}
	}
	return asked{}, false
}

// learn takes how much longer than expected an answer took.
func (d *Desk) learn(host string, delay time.Duration) {
	if d.delay == nil {
		d.delay = map[string]time.Duration{}
	}
	d.delay[host] += (delay - d.delay[host]) / delayWeight
}

// Depth returns how many questions wait.
func (d *Desk) Depth() int { return len(d.waiting) }

// urgency orders questions: those for which room is kept come first, as it stands idle,
// then those whose job can be in time, then those whose job can still earn something.
func urgency(now time.Duration, q cell.Question) int {
	switch {
	case q.Booked:
		return 0
	case now <= q.Due:
		return 1
	case now <= q.Hopeless:
		return 2
	default:
		return 3
	}
}

// isLong reports whether a question goes to the hosts for long ones.
func isLong(q cell.Question) bool { return q.Expected >= longQuestion }

// Assign gives the questions that wait to hosts that are free, the most pressing
// first. Hosts must be sorted, so that the same ones take the long questions.
func (d *Desk) Assign(now time.Duration, hosts []string) []Assignment {
	if d.asked == nil {
		d.asked = map[string][]asked{}
	}
	d.expire(now)
	var assigned []Assignment
	// busy tells that no host is free for short or for long questions; none gets free here.
	busy := map[bool]bool{}
	for {
		i := d.mostPressing(now, busy)
		if i < 0 {
			return assigned
		}
		q := d.waiting[i]
		host, ok := d.pick(q, hosts, busy[false])
		if !ok {
			busy[isLong(q)] = true
			continue
		}
		d.waiting = slices.Delete(d.waiting, i, i+1)
		d.asked[host] = append(d.asked[host], asked{question: q, at: now, until: max(now, d.busyUntil(host)) + q.Expected})
		assigned = append(assigned, Assignment{Host: host, Question: q})
	}
}

// mostPressing returns the place of the question that is to be asked next, or -1. Those for
// which the hosts are busy are passed over.
func (d *Desk) mostPressing(now time.Duration, busy map[bool]bool) int {
	first := -1
	for i, q := range d.waiting {
		if busy[isLong(q)] {
			continue
		}
		if first < 0 || pressing(now, q, d.waiting[first]) {
			first = i
		}
	}
	return first
}

// pressing reports whether one question is to be asked before another.
func pressing(now time.Duration, q, other cell.Question) bool {
	return cmp.Or(cmp.Compare(urgency(now, q), urgency(now, other)), cmp.Compare(q.Due, other.Due)) < 0
}

// pick returns the host that is free first for a question. shortWait tells that short
// questions wait for a host.
func (d *Desk) pick(q cell.Question, hosts []string, shortWait bool) (string, bool) {
	forLong := (len(hosts)*longShare + shares - 1) / shares
	best, found := "", false
	take := func(hosts []string, free func(host string) bool) {
		for _, h := range hosts {
			if free(h) && (!found || d.before(h, best)) {
				best, found = h, true
			}
		}
	}
	if !isLong(q) {
		take(hosts, func(h string) bool {
			return !d.rests(h) && len(d.asked[h]) < maxShort && (len(hosts) == 1 || !d.hasLong(h))
		})
		return best, found
	}
	take(hosts[:forLong], d.idle)
	if !found && !shortWait && d.mayLend(hosts[forLong:], len(hosts)) {
		take(hosts[forLong:], d.idle)
	}
	return best, found
}

// idle reports whether a host has no question and may get one.
func (d *Desk) idle(host string) bool { return len(d.asked[host]) == 0 && !d.rests(host) }

// rests reports whether a host has failed a question a short time ago.
func (d *Desk) rests(host string) bool {
	_, ok := d.resting[host]
	return ok
}

// mayLend reports whether one of the hosts that are left for short questions may take a long
// one, out of a number of hosts in all.
func (d *Desk) mayLend(hosts []string, all int) bool {
	n := 0
	for _, h := range hosts {
		if d.idle(h) {
			n++
		}
	}
	return n > 1+all*idleShare/shares
}

// before reports whether one host is likely to answer before another.
func (d *Desk) before(host, other string) bool {
	if len(d.asked[host]) != len(d.asked[other]) {
		return len(d.asked[host]) < len(d.asked[other])
	}
	return d.delay[host] < d.delay[other]
}

func (d *Desk) hasLong(host string) bool {
	return slices.ContainsFunc(d.asked[host], func(a asked) bool { return isLong(a.question) })
}

func (d *Desk) busyUntil(host string) time.Duration {
	var until time.Duration
	for _, a := range d.asked[host] {
		until = max(until, a.until)
	}
	return until
}

// expire forgets questions whose answer will not come, and rests that are over.
func (d *Desk) expire(now time.Duration) {
	for host, list := range d.asked {
		d.asked[host] = slices.DeleteFunc(list, func(a asked) bool { return now > a.until+lost })
	}
	maps.DeleteFunc(d.resting, func(_ string, until time.Duration) bool { return now >= until })
}
