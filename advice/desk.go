package advice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// minLongDuration is the duration from which a question goes to the hosts for
	// long ones only.
	minLongDuration = 250 * time.Millisecond
	// longHostEighths is the part of the hosts, in eighths, that takes long questions at any
	// time, and idleShare the part that must be idle beside those for one of the rest to
	// take a long question as well: a burst of short ones finds them.
	longHostEighths = 5
	reservedEighths = 1
	// eighths is the number of parts.
	eighths = 8
	// maxShortPerHost is how many short questions a host has at once: one that the service
	// handles, and one that is on its way meanwhile.
	maxShortPerHost = 2
	// answerGrace is how long after its expected end an answer is given up.
	answerGrace = 2 * time.Second
	// failureBackoff is how long a host is asked nothing after it failed a question: the time in
	// which others answer a short one, or a connection is made again.
	failureBackoff = 500 * time.Millisecond
	// delaySmoothing is the weight of the past in the mean delay of a host.
	delaySmoothing = 4
)

// Assignment is a question for one host.
type Assignment struct {
	Host     string
	Question cell.Question
}

// Dispatcher holds the questions that wait and those that hosts ask. The zero value is
// empty.
type Dispatcher struct {
	queue    []cell.Question
	inFlight map[string][]sentQuestion
	// meanDelay is how much longer than expected the answers of each host take, as a
	// moving mean.
	meanDelay map[string]time.Duration
	// backoffUntil holds the hosts that have failed a question, until when they are asked nothing.
	backoffUntil map[string]time.Duration
}

// sentQuestion is a question at a host.
type sentQuestion struct {
	question cell.Question
	sentAt   time.Duration
	// expectedAt is when the answer is expected.
	expectedAt time.Duration
}

// Add takes a question; it replaces an earlier one about the same step.
func (d *Dispatcher) Add(q cell.Question) {
	d.queue = slices.DeleteFunc(d.queue, func(other cell.Question) bool { return other.Step == q.Step })
	d.queue = append(d.queue, q)
}

// RemoveJob forgets the questions of a job that wait: nobody needs their answers.
func (d *Dispatcher) RemoveJob(job string) {
	d.queue = slices.DeleteFunc(d.queue, func(q cell.Question) bool { return q.Step.Job == job })
}

// RecordAnswer takes a question off its host. An answer to an earlier owner may be about the
// same step, but other workers.
func (d *Dispatcher) RecordAnswer(now time.Duration, host string, q cell.Question) {
	if a, ok := d.removeInFlight(host, q); ok {
		d.recordDelay(host, now-a.sentAt-q.Expected)
	}
}

// RecordFailure takes a question off its host that got no answer there. The host is asked nothing
// for some time, and later than others after that: one that is cut off from the service
// fails all at once, and would be the first that is free again.
func (d *Dispatcher) RecordFailure(now time.Duration, host string, q cell.Question) {
	d.removeInFlight(host, q)
	d.recordDelay(host, answerGrace)
	if d.backoffUntil == nil {
		d.backoffUntil = map[string]time.Duration{}
	}
	d.backoffUntil[host] = now + failureBackoff
}

// removeInFlight takes a question off its host, and reports whether the host had it.
func (d *Dispatcher) removeInFlight(host string, q cell.Question) (sentQuestion, bool) {
	for i, a := range d.inFlight[host] {
		if a.question.Step == q.Step && slices.Equal(a.question.Workers, q.Workers) {
			d.inFlight[host] = slices.Delete(d.inFlight[host], i, i+1)
			return a, true
		}
	}
	return sentQuestion{}, false
}

// recordDelay takes how much longer than expected an answer took.
func (d *Dispatcher) recordDelay(host string, delay time.Duration) {
	if d.meanDelay == nil {
		d.meanDelay = map[string]time.Duration{}
	}
	d.meanDelay[host] += (delay - d.meanDelay[host]) / delaySmoothing
}

// QueueLength returns how many questions wait.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// urgencyClass orders questions: those for which room is kept come first, as it stands idle,
// then those whose job can be in time, then those whose job can still earn something.
func urgencyClass(now time.Duration, q cell.Question) int {
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
func isLong(q cell.Question) bool { return q.Expected >= minLongDuration }

// Assign gives the questions that wait to hosts that are free, the most pressing
// first. Hosts must be sorted, so that the same ones take the long questions.
func (d *Dispatcher) Assign(now time.Duration, hosts []string) []Assignment {
	if d.inFlight == nil {
		d.inFlight = map[string][]sentQuestion{}
	}
	d.expire(now)
	var assigned []Assignment
	// busy tells that no host is free for short or for long questions; none gets free here.
	busy := map[bool]bool{}
	for {
		i := d.mostUrgent(now, busy)
		if i < 0 {
			return assigned
		}
		q := d.queue[i]
		host, ok := d.pickHost(q, hosts, busy[false])
		if !ok {
			busy[isLong(q)] = true
			continue
		}
		d.queue = slices.Delete(d.queue, i, i+1)
		d.inFlight[host] = append(d.inFlight[host], sentQuestion{question: q, sentAt: now, expectedAt: max(now, d.busyUntil(host)) + q.Expected})
		assigned = append(assigned, Assignment{Host: host, Question: q})
	}
}

// mostUrgent returns the place of the question that is to be asked next, or -1. Those for
// which the hosts are busy are passed over.
func (d *Dispatcher) mostUrgent(now time.Duration, busy map[bool]bool) int {
	first := -1
	for i, q := range d.queue {
		if busy[isLong(q)] {
			continue
		}
		if first < 0 || moreUrgent(now, q, d.queue[first]) {
			first = i
		}
	}
	return first
}

// moreUrgent reports whether one question is to be asked before another.
func moreUrgent(now time.Duration, q, other cell.Question) bool {
	return cmp.Or(cmp.Compare(urgencyClass(now, q), urgencyClass(now, other)), cmp.Compare(q.Due, other.Due)) < 0
}

// pickHost returns the host that is free first for a question. shortWait tells that short
// questions wait for a host.
func (d *Dispatcher) pickHost(q cell.Question, hosts []string, shortWait bool) (string, bool) {
	forLong := (len(hosts)*longHostEighths + eighths - 1) / eighths
	best, found := "", false
	take := func(hosts []string, free func(host string) bool) {
		for _, h := range hosts {
			if free(h) && (!found || d.answersSooner(h, best)) {
				best, found = h, true
			}
		}
	}
	if !isLong(q) {
		take(hosts, func(h string) bool {
			return !d.inBackoff(h) && len(d.inFlight[h]) < maxShortPerHost && (len(hosts) == 1 || !d.hasLongQuestion(h))
		})
		return best, found
	}
	take(hosts[:forLong], d.isIdle)
	if !found && !shortWait && d.mayLendIdleHost(hosts[forLong:], len(hosts)) {
		take(hosts[forLong:], d.isIdle)
	}
	return best, found
}

// isIdle reports whether a host has no question and may get one.
func (d *Dispatcher) isIdle(host string) bool {
	return len(d.inFlight[host]) == 0 && !d.inBackoff(host)
}

// inBackoff reports whether a host has failed a question a short time ago.
func (d *Dispatcher) inBackoff(host string) bool {
	_, ok := d.backoffUntil[host]
	return ok
}

// mayLendIdleHost reports whether one of the hosts that are left for short questions may take a long
// one, out of a number of hosts in all.
func (d *Dispatcher) mayLendIdleHost(hosts []string, all int) bool {
	n := 0
	for _, h := range hosts {
		if d.isIdle(h) {
			n++
		}
	}
	return n > 1+all*reservedEighths/eighths
}

// answersSooner reports whether one host is likely to answer before another.
func (d *Dispatcher) answersSooner(host, other string) bool {
	if len(d.inFlight[host]) != len(d.inFlight[other]) {
		return len(d.inFlight[host]) < len(d.inFlight[other])
	}
	return d.meanDelay[host] < d.meanDelay[other]
}

func (d *Dispatcher) hasLongQuestion(host string) bool {
	return slices.ContainsFunc(d.inFlight[host], func(a sentQuestion) bool { return isLong(a.question) })
}

func (d *Dispatcher) busyUntil(host string) time.Duration {
	var until time.Duration
	for _, a := range d.inFlight[host] {
		until = max(until, a.expectedAt)
	}
	return until
}

// expire forgets questions whose answer will not come, and rests that are over.
func (d *Dispatcher) expire(now time.Duration) {
	for host, list := range d.inFlight {
		d.inFlight[host] = slices.DeleteFunc(list, func(a sentQuestion) bool { return now > a.expectedAt+answerGrace })
	}
	maps.DeleteFunc(d.backoffUntil, func(_ string, until time.Duration) bool { return now >= until })
}
