package scheduler_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// fakeMembers records the replies of an owner.
type fakeMembers struct{ replies []intake.Reply }

func (d *fakeMembers) AdviceHosts() []string                        { return nil }
func (d *fakeMembers) SendQuestion(string, scheduler.Question) bool { return false }
func (d *fakeMembers) Reply(_ string, a intake.Answer)              { d.replies = append(d.replies, a.Reply) }

func newOwner(d *fakeMembers) *scheduler.Owner {
	return scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, d, &scheduler.Counters{}, discardLog())
}

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

func submission(id string) intake.Call {
	return intake.Call{Verb: intake.Submit, ID: id, Queue: "q", Job: workload.Job{ID: id, Queue: "q", Steps: []workload.Step{{TaskCount: 1}}}}
}

// An owner short of processor time handles calls later than their callers accept. New
// jobs must be refused at once; a repeated submission of an accepted job must not be.
func TestOverloadedOwnerRefusesOnlyNewJobs(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	o := newOwner(d)
	o.ExecuteCall(time.Second, 0, submission("a"))
	c.Assert(d.replies, qt.HasLen, 0, qt.Commentf("the reply waits for the record"))
	o.ExecuteCall(2*time.Second, 600*time.Millisecond, submission("b"))
	c.Assert(d.replies, qt.HasLen, 1)
	c.Assert(d.replies[0].Outcome, qt.Equals, intake.Overloaded)
	c.Assert(d.replies[0].RetryAfter >= time.Second, qt.IsTrue)
	o.ExecuteCall(2*time.Second, 600*time.Millisecond, submission("a"))
	c.Assert(d.replies, qt.HasLen, 1, qt.Commentf("a repeated submission of an accepted job is not refused"))
	c.Assert(o.PeakCallDelay(), qt.Equals, 600*time.Millisecond)
	c.Assert(o.PeakCallDelay(), qt.Equals, time.Duration(0))
}

// More calls arrive than an owner can queue. A dropped call must get no reply, since it
// may repeat a call that took effect.
func TestCallDroppedByFullQueueGetsNoReply(t *testing.T) {
	d := &fakeMembers{}
	o := newOwner(d)
	for range 5000 {
		o.HandleCall("h", submission("a"))
	}
	qt.Assert(t, d.replies, qt.HasLen, 0)
}

// Load: many hosts forward the largest jobs while the event loop is behind. The queue has room for
// 4,096 calls, which would then take more memory than a small host has.
func TestQueuedJobsAreBoundedInBytes(t *testing.T) {
	const limit = 1 << 20
	c := qt.New(t)
	counters := &scheduler.Counters{}
	o := scheduler.New(scheduler.Options{MaxQueuedJobBytes: limit}, &ledger.Ledger{}, nil, nil, nil, &fakeMembers{}, counters, discardLog())
	large := submission("a")
	large.Job.Spec = string(make([]byte, workload.MaxSpecBytes))
	for range 1000 {
		o.HandleCall("h", large)
	}
	dropped := counters.EventsDropped.Load()
	c.Assert(dropped > 700 && dropped < 800, qt.IsTrue, qt.Commentf("%d of 1000 calls dropped", dropped))
}
