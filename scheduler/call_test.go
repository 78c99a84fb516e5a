package scheduler_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// desk keeps the replies of an owner.
type desk struct{ replies []intake.Reply }

func (d *desk) AdviceHosts() []string                        { return nil }
func (d *desk) SendQuestion(string, scheduler.Question) bool { return false }
func (d *desk) Reply(_ string, a intake.Answer)              { d.replies = append(d.replies, a.Reply) }

func newOwner(d *desk) *scheduler.Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return scheduler.New(scheduler.Options{}, nil, nil, nil, nil, d, &scheduler.Counters{}, logrus.NewEntry(log))
}

func submission(id string) intake.Call {
	return intake.Call{Verb: intake.Submit, ID: id, Queue: "q", Job: workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{TaskCount: 1}}}}
}

// An owner without processor time: calls wait longer for it than callers want to. New jobs
// hear at once that they were not taken; one that was taken before is not told so.
func TestOwnerThatIsBehindRefusesNewJobsOnly(t *testing.T) {
	c := qt.New(t)
	d := &desk{}
	o := newOwner(d)
	o.Take(time.Second, 0, submission("a"))
	c.Assert(d.replies, qt.HasLen, 0, qt.Commentf("its record is to come"))
	o.Take(2*time.Second, 600*time.Millisecond, submission("b"))
	c.Assert(d.replies, qt.HasLen, 1)
	c.Assert(d.replies[0].Outcome, qt.Equals, intake.Overloaded)
	c.Assert(d.replies[0].RetryAfter >= time.Second, qt.IsTrue)
	o.Take(2*time.Second, 600*time.Millisecond, submission("a"))
	c.Assert(d.replies, qt.HasLen, 1, qt.Commentf("a repeat of a job that was taken is not refused"))
	c.Assert(o.PeakCallDelay(), qt.Equals, 600*time.Millisecond)
	c.Assert(o.PeakCallDelay(), qt.Equals, time.Duration(0))
}

// More calls come than an owner can keep. One without room gets no reply, since it may
// repeat a call that has had an effect.
func TestCallWithoutRoomIsNotRefused(t *testing.T) {
	d := &desk{}
	o := newOwner(d)
	for range 5000 {
		o.HandleCall("h", submission("a"))
	}
	qt.Assert(t, d.replies, qt.HasLen, 0)
}
