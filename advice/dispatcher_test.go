package advice_test

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/advice"
	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/workload"
)

const ms = time.Millisecond

var hosts = []string{"a", "b", "c", "d"}

func question(n int, expected time.Duration) cell.Question {
	return cell.Question{Step: workload.StepID{Job: strconv.Itoa(n)}, Expected: expected, Due: time.Duration(n) * ms}
}

// A host far from the service answers later than expected. It must not get questions at the
// rate of the service, or its queue overflows.
func TestSlowHostIsNotFloodedWithQuestions(t *testing.T) {
	var d advice.Dispatcher
	assigned := 0
	for i := range 100 {
		d.Add(question(i, 20*ms))
		assigned += len(d.Assign(time.Duration(i)*20*ms, hosts[3:]))
	}
	qt.Assert(t, assigned <= 4, qt.IsTrue, qt.Commentf("%d questions were assigned to a host that answers none", assigned))
}

// Long questions must not occupy all hosts: a short one still finds a free host.
func TestLongQuestionsLeaveHostsForShortOnes(t *testing.T) {
	var d advice.Dispatcher
	for i := range 10 {
		d.Add(question(i, time.Second))
	}
	qt.Assert(t, d.Assign(0, hosts), qt.HasLen, 3)
	d.Add(question(11, 20*ms))
	assigned := d.Assign(0, hosts)
	qt.Assert(t, assigned, qt.HasLen, 1)
	qt.Assert(t, assigned[0].Question.Expected, qt.Equals, 20*ms)
}

// The most urgent question is assigned first, and not to a host that has answered late.
func TestOrderOfQuestionsAndHosts(t *testing.T) {
	var d advice.Dispatcher
	d.Add(question(1, 20*ms))
	first := d.Assign(0, hosts)[0]
	d.RecordAnswer(500*ms, first.Host, first.Question)
	d.Add(question(3, 20*ms))
	d.Add(question(2, 20*ms))
	assigned := d.Assign(500*ms, hosts)
	qt.Assert(t, assigned, qt.HasLen, 2)
	qt.Assert(t, assigned[0].Question.Step.Job, qt.Equals, "2")
	qt.Assert(t, assigned[0].Host, qt.Not(qt.Equals), first.Host)
}

// An answer to a question of an earlier owner may arrive before this owner has asked
// anything.
func TestAnswerToEarlierOwnerIsIgnored(t *testing.T) {
	var d advice.Dispatcher
	d.RecordAnswer(0, "a", question(1, ms))
	qt.Assert(t, d.QueueLength(), qt.Equals, 0)
}

// A backlog of questions for jobs whose completion is worth nothing any more must not delay
// the questions of other jobs.
func TestHopelessQuestionsGoLast(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	hopeless := cell.Question{Step: workload.StepID{Job: "hopeless"}, Expected: 20 * ms, Due: ms, Hopeless: 5 * ms}
	late := cell.Question{Step: workload.StepID{Job: "late"}, Expected: 20 * ms, Due: 2 * ms, Hopeless: time.Second}
	fresh := cell.Question{Step: workload.StepID{Job: "fresh"}, Expected: 20 * ms, Due: time.Second, Hopeless: 2 * time.Second}
	d.Add(hopeless)
	d.Add(late)
	d.Add(fresh)
	var order []string
	for _, a := range d.Assign(100*ms, hosts[3:]) {
		order = append(order, a.Question.Step.Job)
		d.RecordAnswer(100*ms, a.Host, a.Question)
	}
	for _, a := range d.Assign(100*ms, hosts[3:]) {
		order = append(order, a.Question.Step.Job)
	}
	c.Assert(order, qt.DeepEquals, []string{"fresh", "late", "hopeless"})
}

// Capacity is booked, and idle, for a gang until its tickets arrive: its question goes
// before those of jobs without capacity, even if the gang is too late to be worth anything.
func TestQuestionsForBookedCapacityGoFirst(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	fresh := cell.Question{Step: workload.StepID{Job: "fresh"}, Expected: time.Second, Due: time.Second, Hopeless: 2 * time.Second}
	booked := cell.Question{Step: workload.StepID{Job: "booked"}, Expected: time.Second, Due: ms, Hopeless: 5 * ms, Booked: true}
	d.Add(fresh)
	d.Add(booked)
	assigned := d.Assign(100*ms, hosts[:1])
	c.Assert(assigned, qt.HasLen, 1)
	c.Assert(assigned[0].Question.Step.Job, qt.Equals, "booked")
}

// manyHosts returns 40 hosts, of which 25 always accept long questions.
func manyHosts() []string {
	var names []string
	for i := range 40 {
		names = append(names, strconv.Itoa(100+i))
	}
	return names
}

// At the end of a burst of large jobs only long questions are queued. The idle hosts for
// short questions get some of them, but enough hosts stay free for short questions that
// come later.
func TestIdleHostsGetLongQuestions(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	for i := range 60 {
		d.Add(question(i, time.Second))
	}
	assigned := len(d.Assign(0, manyHosts()))
	c.Assert(assigned > 25, qt.IsTrue, qt.Commentf("%d hosts have a long question", assigned))
	c.Assert(assigned <= 35, qt.IsTrue, qt.Commentf("%d hosts have a long question", assigned))
	for i := range 5 {
		d.Add(question(100+i, 20*ms))
	}
	c.Assert(d.Assign(0, manyHosts()), qt.HasLen, 5)
}

// While short questions keep the other hosts busy, long ones go only to the hosts for long
// questions.
func TestBusyHostsGetNoLongQuestions(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	for i := range 40 {
		d.Add(question(100+i, 20*ms))
	}
	d.Assign(0, manyHosts()[25:])
	for i := range 60 {
		d.Add(question(i, time.Second))
	}
	c.Assert(d.Assign(0, manyHosts()), qt.HasLen, 25)
}

// An organisation sends many times its usual: questions about its jobs beyond its share must not
// delay those of other organisations, even if these can't meet their deadlines any more.
func TestQuestionsBeyondTheShareComeLast(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	question := func(job string, due time.Duration, beyond bool) cell.Question {
		return cell.Question{Step: workload.StepID{Job: job}, Workers: []string{"w"}, Expected: time.Second, Due: due, Hopeless: time.Hour, BeyondShare: beyond}
	}
	d.Add(question("beyond", time.Minute, true))
	d.Add(question("late", time.Second, false))
	assigned := d.Assign(2*time.Second, []string{"h"})
	c.Assert(assigned, qt.HasLen, 1)
	c.Assert(assigned[0].Question.Step.Job, qt.Equals, "late")
}
