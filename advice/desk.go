package advice

import (
	"cmp"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/cell"
)

const (
	// longQuestion is the duration from which a question goes to the hosts for
	// long ones only.
	longQuestion = 250 * time.Millisecond
	// longShare is the part of the hosts, in eighths, that takes long questions.
	longShare = 5
	// maxShort is how many short questions a host has at once: one that the service
	// handles, and one that is on its way meanwhile.
	maxShort = 2
	// lost is how long after its expected end an answer is given up.
	lost = 2 * time.Second
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

// Answered takes a question off its host.
func (d *Desk) Answered(now time.Duration, host string, q cell.Question) {
	for i, a := range d.asked[host] {
		if a.question.Step == q.Step {
			d.learn(host, now-a.at-q.Expected)
			d.asked[host] = slices.Delete(d.asked[host], i, i+1)
			return
		}
	}
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

// urgency orders questions: those whose job can be in time come first, then those whose
// job can still earn something.
func urgency(now time.Duration, q cell.Question) int {
	switch {
	case now <= q.Due:
		return 0
	case now <= q.Hopeless:
		return 1
	default:
		return 2
	}
}

// Assign gives the questions that wait to hosts that are free, the most pressing
// first. Hosts must be sorted, so that the same ones take the long questions.
func (d *Desk) Assign(now time.Duration, hosts []string) []Assignment {
	if d.asked == nil {
		d.asked = map[string][]asked{}
	}
	d.expire(now)
	slices.SortStableFunc(d.waiting, func(a, b cell.Question) int {
		return cmp.Or(cmp.Compare(urgency(now, a), urgency(now, b)), cmp.Compare(a.Due, b.Due))
	})
	var assigned []Assignment
	var rest []cell.Question
	for _, q := range d.waiting {
		host, ok := d.pick(now, q, hosts)
		if !ok {
			rest = append(rest, q)
			continue
		}
		d.asked[host] = append(d.asked[host], asked{question: q, at: now, until: max(now, d.busyUntil(host)) + q.Expected})
		assigned = append(assigned, Assignment{Host: host, Question: q})
	}
	d.waiting = rest
	return assigned
}

// pick returns the host that is free first for a question.
func (d *Desk) pick(now time.Duration, q cell.Question, hosts []string) (string, bool) {
	long := q.Expected >= longQuestion
	forLong := (len(hosts)*longShare + 7) / 8
	best, found := "", false
	for i, h := range hosts {
		if len(hosts) > 1 && long != (i < forLong) && (long || d.hasLong(h)) {
			continue
		}
		if n := len(d.asked[h]); n >= maxShort || n > 0 && long {
			continue
		}
		if !found || d.before(h, best) {
			best, found = h, true
		}
	}
	return best, found
}

// before reports whether one host is likely to answer before another.
func (d *Desk) before(host, other string) bool {
	if len(d.asked[host]) != len(d.asked[other]) {
		return len(d.asked[host]) < len(d.asked[other])
	}
	return d.delay[host] < d.delay[other]
}

func (d *Desk) hasLong(host string) bool {
	return slices.ContainsFunc(d.asked[host], func(a asked) bool { return a.question.Expected >= longQuestion })
}

func (d *Desk) busyUntil(host string) time.Duration {
	var until time.Duration
	for _, a := range d.asked[host] {
		until = max(until, a.until)
	}
	return until
}

// expire forgets questions whose answer will not come.
func (d *Desk) expire(now time.Duration) {
	for host, list := range d.asked {
		d.asked[host] = slices.DeleteFunc(list, func(a asked) bool { return now > a.until+lost })
	}
}
