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

// Hosts that are far from the service answer later than expected. They must not
// get new questions at the rate of the service, or their rings fill up.
func TestSlowHostsGetNoMoreThanTheyAnswer(t *testing.T) {
	var d advice.Dispatcher
	given := 0
	for i := range 100 {
		d.Add(question(i, 20*ms))
		given += len(d.Assign(time.Duration(i)*20*ms, hosts[3:]))
	}
	qt.Assert(t, given <= 4, qt.IsTrue, qt.Commentf("%d questions at a host that answers none", given))
}

// Long questions wait for the hosts that take them; short ones find a host.
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

// The most pressing question goes first, and a host that answers late goes last.
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

// An answer to a question of an earlier owner comes before this one has asked any.
func TestAnswerToAnEarlierOwner(t *testing.T) {
	var d advice.Dispatcher
	d.RecordAnswer(0, "a", question(1, ms))
	qt.Assert(t, d.QueueLength(), qt.Equals, 0)
}

// A backlog of steps that can earn nothing any more waits behind those that can: it would
// keep the service from everybody that comes later.
func TestHopelessQuestionsWaitForTheOthers(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	old := cell.Question{Step: workload.StepID{Job: "hopeless"}, Expected: 20 * ms, Due: ms, Hopeless: 5 * ms}
	late := cell.Question{Step: workload.StepID{Job: "late"}, Expected: 20 * ms, Due: 2 * ms, Hopeless: time.Second}
	fresh := cell.Question{Step: workload.StepID{Job: "fresh"}, Expected: 20 * ms, Due: time.Second, Hopeless: 2 * time.Second}
	d.Add(old)
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

// Room stands idle for a gang until its tickets come: its question goes before those of jobs
// that have no room yet, though it may be too late to earn anything.
func TestQuestionsForBookedRoomComeFirst(t *testing.T) {
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

// manyHosts lists 40 hosts, of which 25 take long questions at any time.
func manyHosts() []string {
	var names []string
	for i := range 40 {
		names = append(names, strconv.Itoa(100+i))
	}
	return names
}

// The end of a burst of large jobs: only long questions wait, and the hosts for short ones
// stand idle. They take long ones, but for some that a short question finds free at once.
func TestIdleHostsTakeLongQuestions(t *testing.T) {
	c := qt.New(t)
	var d advice.Dispatcher
	for i := range 60 {
		d.Add(question(i, time.Second))
	}
	taken := len(d.Assign(0, manyHosts()))
	c.Assert(taken > 25, qt.IsTrue, qt.Commentf("%d hosts have one", taken))
	c.Assert(taken <= 35, qt.IsTrue, qt.Commentf("%d hosts have one", taken))
	for i := range 5 {
		d.Add(question(100+i, 20*ms))
	}
	c.Assert(d.Assign(0, manyHosts()), qt.HasLen, 5)
}

// Short questions come all the time: long ones wait for the hosts that are for them.
func TestBusyHostsTakeNoLongQuestions(t *testing.T) {
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
