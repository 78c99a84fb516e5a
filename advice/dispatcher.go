package advice

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// minLongDuration is the expected duration from which a question counts as long.
	minLongDuration = 250 * time.Millisecond
	// longHostEighths is the fraction of the hosts, in eighths, that is eligible for long
	// questions at any time. Another host gets one only if more than reservedEighths of all
	// hosts then remain idle among the rest, so that a burst of short questions finds free
	// hosts.
	longHostEighths = 5
	reservedEighths = 1
	// eighths is the denominator of the fractions above.
	eighths = 8
	// maxShortPerHost bounds the short questions in flight per host: one that the service
	// handles and one on its way to it.
	maxShortPerHost = 2
	// answerGrace is the time after its expected answer at which a question counts as lost.
	answerGrace = 2 * time.Second
	// failureBackoff is how long a host gets no questions after a failure: time enough for
	// other hosts to answer a short question, or for a connection to be re-established.
	failureBackoff = 500 * time.Millisecond
	// delaySmoothing divides the difference to a new sample in the moving mean of a host's
	// delay.
	delaySmoothing = 4
)

// Assignment is a question assigned to a host.
type Assignment struct {
	Host     string
	Question cell.Question
}

// Dispatcher holds the queued questions and those in flight at hosts. The zero value is
// empty and ready to use.
type Dispatcher struct {
	queue    []cell.Question
	inFlight map[string][]sentQuestion
	// meanDelay is the moving mean of how much later than expected each host answers.
	meanDelay map[string]time.Duration
	// backoffUntil holds the time until which a host gets no questions after a failure.
	backoffUntil map[string]time.Duration
}

// sentQuestion is a question in flight at a host.
type sentQuestion struct {
	question cell.Question
	sentAt   time.Duration
	// expectedAt is the time at which the answer is expected.
	expectedAt time.Duration
}

// Add queues a question. It replaces earlier ones about the same step, but not other parts of
// the same one, of which the first must be added first.
func (d *Dispatcher) Add(q cell.Question) {
	if q.Part == 0 {
		d.queue = slices.DeleteFunc(d.queue, func(other cell.Question) bool { return other.Step == q.Step })
	}
	d.queue = append(d.queue, q)
}

// Requeue queues a question again that could not be sent to its host.
func (d *Dispatcher) Requeue(q cell.Question) { d.queue = append(d.queue, q) }

// IdleHosts returns how many of the hosts for long questions are idle, without those that
// queued questions will need.
func (d *Dispatcher) IdleHosts(hosts []string) int {
	n := 0
	for _, h := range hosts[:longHostCount(hosts)] {
		if d.isIdle(h) {
			n++
		}
	}
	for _, q := range d.queue {
		if isLong(q) {
			n--
		}
	}
	return max(0, n)
}

// longHostCount returns how many of the hosts are eligible for long questions at any time.
func longHostCount(hosts []string) int { return (len(hosts)*longHostEighths + eighths - 1) / eighths }

// RemoveJob removes the queued questions of a job, whose answers are no longer needed.
func (d *Dispatcher) RemoveJob(job string) {
	d.queue = slices.DeleteFunc(d.queue, func(q cell.Question) bool { return q.Step.Job == job })
}

// RecordAnswer removes an answered question from its host. An answer to a question of an
// earlier owner may be about the same step but other workers; it is ignored.
func (d *Dispatcher) RecordAnswer(now time.Duration, host string, q cell.Question) {
	if a, ok := d.removeInFlight(host, q); ok {
		d.recordDelay(host, now-a.sentAt-q.Expected)
	}
}

// RecordFailure removes a question that its host failed to get answered. The host gets no
// questions for failureBackoff, and its mean delay rises: a host that is cut off from the
// service fails each question at once, and would otherwise be the first free host again.
func (d *Dispatcher) RecordFailure(now time.Duration, host string, q cell.Question) {
	d.removeInFlight(host, q)
	d.recordDelay(host, answerGrace)
	if d.backoffUntil == nil {
		d.backoffUntil = map[string]time.Duration{}
	}
	d.backoffUntil[host] = now + failureBackoff
}

// removeInFlight removes a question from those in flight at a host, and reports whether it
// was there.
func (d *Dispatcher) removeInFlight(host string, q cell.Question) (sentQuestion, bool) {
	for i, a := range d.inFlight[host] {
		if a.question.Step == q.Step && slices.Equal(a.question.Workers, q.Workers) {
			d.inFlight[host] = slices.Delete(d.inFlight[host], i, i+1)
			return a, true
		}
	}
	return sentQuestion{}, false
}

// recordDelay updates the mean delay of a host.
func (d *Dispatcher) recordDelay(host string, delay time.Duration) {
	if d.meanDelay == nil {
		d.meanDelay = map[string]time.Duration{}
	}
	d.meanDelay[host] += (delay - d.meanDelay[host]) / delaySmoothing
}

// QueueLength returns the number of queued questions.
func (d *Dispatcher) QueueLength() int { return len(d.queue) }

// urgencyClass returns the class of a question; lower classes go first. Questions for a job
// with booked capacity come first, as that capacity is idle meanwhile, then those of jobs
// that can still meet their deadline, then those of jobs whose completion is still worth
// something, and then those of jobs beyond the share of their organisation.
func urgencyClass(now time.Duration, q cell.Question) int {
	switch {
	case q.Booked:
		return 0
	case now > q.Hopeless:
		return 4
	case q.BeyondShare:
		return 3
	case now > q.Due:
		return 2
	default:
		return 1
	}
}

// isLong reports whether a question is to go to the hosts for long ones.
func isLong(q cell.Question) bool { return q.Expected >= minLongDuration }

// Assign assigns queued questions to free hosts, the most urgent first. Hosts must be
// sorted, so that the same ones get the long questions each time.
func (d *Dispatcher) Assign(now time.Duration, hosts []string) []Assignment {
	if d.inFlight == nil {
		d.inFlight = map[string][]sentQuestion{}
	}
	d.expire(now)
	var assigned []Assignment
	// noHost reports, for long (true) and short (false) questions, that no host is free;
	// none becomes free within this call.
	noHost := map[bool]bool{}
	for {
		i := d.mostUrgent(now, noHost)
		if i < 0 {
			return assigned
		}
		q := d.queue[i]
		host, ok := d.pickHost(q, hosts, noHost[false])
		if !ok {
			noHost[isLong(q)] = true
			continue
		}
		d.queue = slices.Delete(d.queue, i, i+1)
		d.inFlight[host] = append(d.inFlight[host], sentQuestion{question: q, sentAt: now, expectedAt: max(now, d.busyUntil(host)) + q.Expected})
		assigned = append(assigned, Assignment{Host: host, Question: q})
	}
}

// mostUrgent returns the index of the most urgent question, or -1. Questions of a length
// for which no host is free are skipped.
func (d *Dispatcher) mostUrgent(now time.Duration, noHost map[bool]bool) int {
	first := -1
	for i, q := range d.queue {
		if noHost[isLong(q)] {
			continue
		}
		if first < 0 || moreUrgent(now, q, d.queue[first]) {
			first = i
		}
	}
	return first
}

// moreUrgent reports whether q is to be sent before other.
func moreUrgent(now time.Duration, q, other cell.Question) bool {
	return cmp.Or(cmp.Compare(urgencyClass(now, q), urgencyClass(now, other)), cmp.Compare(q.Due, other.Due)) < 0
}

// pickHost returns the host for a question that is likely to answer first. shortQueued
// reports that short questions are waiting for a host.
func (d *Dispatcher) pickHost(q cell.Question, hosts []string, shortQueued bool) (string, bool) {
	longHosts := longHostCount(hosts)
	best, found := "", false
	consider := func(hosts []string, free func(host string) bool) {
		for _, h := range hosts {
			if free(h) && (!found || d.answersSooner(h, best)) {
				best, found = h, true
			}
		}
	}
	if !isLong(q) {
		consider(hosts, func(h string) bool {
			return !d.inBackoff(h) && len(d.inFlight[h]) < maxShortPerHost && (len(hosts) == 1 || !d.hasLongQuestion(h))
		})
		return best, found
	}
	consider(hosts[:longHosts], d.isIdle)
	if !found && !shortQueued && d.mayLendIdleHost(hosts[longHosts:], len(hosts)) {
		consider(hosts[longHosts:], d.isIdle)
	}
	return best, found
}

// isIdle reports whether a host has no question in flight and is not in backoff.
func (d *Dispatcher) isIdle(host string) bool {
	return len(d.inFlight[host]) == 0 && !d.inBackoff(host)
}

// inBackoff reports whether a host is in backoff after a failure.
func (d *Dispatcher) inBackoff(host string) bool {
	_, ok := d.backoffUntil[host]
	return ok
}

// mayLendIdleHost reports whether one of the hosts reserved for short questions may get a
// long one. total is the number of all hosts.
func (d *Dispatcher) mayLendIdleHost(hosts []string, total int) bool {
	n := 0
	for _, h := range hosts {
		if d.isIdle(h) {
			n++
		}
	}
	return n > 1+total*reservedEighths/eighths
}

// answersSooner reports whether host is likely to answer before other.
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

// expire removes questions whose answers count as lost, and backoffs that have ended.
func (d *Dispatcher) expire(now time.Duration) {
	for host, list := range d.inFlight {
		d.inFlight[host] = slices.DeleteFunc(list, func(a sentQuestion) bool { return now > a.expectedAt+answerGrace })
	}
	maps.DeleteFunc(d.backoffUntil, func(_ string, until time.Duration) bool { return now >= until })
}
