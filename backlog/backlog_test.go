package backlog_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/backlog"
)

const (
	mib      = 1 << 20
	jobBytes = 16 << 10
)

// flood is a cell whose workers end a number of jobs in each second, while callers submit far more.
type flood struct {
	backlog.Backlog
	now  time.Duration
	jobs int
}

// second submits jobs and then ends some.
func (f *flood) second(submitted, ended int) (accepted int, last time.Duration) {
	f.now += time.Second
	for range submitted {
		after, ok := f.Admit(f.now, jobBytes, false)
		if ok {
			accepted++
		} else {
			last = after
		}
	}
	f.jobs = max(0, f.jobs+accepted-ended)
	f.Update(f.now, int64(f.jobs*jobBytes))
	return accepted, last
}

// Guards against jobs beyond what the smallest host holds, and against a room that stays unused
// while jobs are refused.
func TestFloodStaysWithinTheLimit(t *testing.T) {
	c := qt.New(t)
	const ended = 20
	f := &flood{}
	limit := backlog.LimitOf(96 * mib)
	f.SetLimit(limit)
	f.Update(0, 0)
	for range 300 {
		f.second(1000, ended)
		c.Assert(int64(f.jobs*jobBytes) <= limit, qt.IsTrue)
	}
	c.Check(int64((f.jobs+ended+1)*jobBytes) > limit, qt.IsTrue)
	accepted, _ := f.second(1000, ended)
	c.Check(accepted, qt.Equals, ended)
}

// Guards against a Retry-After after which there is no room, or with which all come back at once.
func TestRetryAfterFollowsTheRate(t *testing.T) {
	c := qt.New(t)
	f := &flood{}
	f.SetLimit(64 * jobBytes)
	f.Update(0, 0)
	for range 120 {
		f.second(100, 4)
	}
	// Nothing is promised any more once all have had time to come back.
	for range 30 {
		f.second(4, 4)
	}
	f.jobs += 4
	f.Update(f.now, int64(f.jobs*jobBytes))
	var first, last time.Duration
	for i := range 40 {
		after, ok := f.Admit(f.now, jobBytes, false)
		c.Assert(ok, qt.IsFalse)
		if i == 0 {
			first = after
		}
		last = after
	}
	c.Check(first <= 2*time.Second, qt.IsTrue, qt.Commentf("%s", first))
	c.Check(last >= 8*time.Second && last <= 15*time.Second, qt.IsTrue, qt.Commentf("%s", last))
}

// Guards against an organisation beyond its share that leaves no room for the others.
func TestJobsBeyondTheShareLeaveRoom(t *testing.T) {
	c := qt.New(t)
	var b backlog.Backlog
	b.SetLimit(10 * jobBytes)
	for range 5 {
		_, ok := b.Admit(0, jobBytes, true)
		c.Assert(ok, qt.IsTrue)
	}
	_, ok := b.Admit(0, jobBytes, true)
	c.Check(ok, qt.IsFalse)
	_, ok = b.Admit(0, jobBytes, false)
	c.Check(ok, qt.IsTrue)
}

// Guards against a single job that no host would ever accept, and a limit that is not known.
func TestSingleJobIsAccepted(t *testing.T) {
	c := qt.New(t)
	var b backlog.Backlog
	_, ok := b.Admit(0, 1<<40, false)
	c.Check(ok, qt.IsTrue)
	b = backlog.Backlog{}
	b.SetLimit(1)
	_, ok = b.Admit(0, jobBytes, false)
	c.Check(ok, qt.IsTrue)
	after, ok := b.Admit(0, jobBytes, false)
	c.Check(ok, qt.IsFalse)
	c.Check(after, qt.Equals, time.Minute)
}
