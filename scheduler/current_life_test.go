package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/workload"
)

// The answer of an earlier life arrives after the next one was found. Its clock must not be used
// for the leases of the next one (TWICE).
func TestClockOfAnEarlierLifeIsNotUsed(t *testing.T) {
	c := qt.New(t)
	var life scheduler.CurrentLife
	life.Replace(0, 1)
	life.SetHeard(1, time.Second)
	life.Replace(1, 2)
	current, _ := life.SetHeard(1, 20*time.Second)
	c.Assert(current, qt.IsFalse)
	_, _, heard := life.Get()
	c.Assert(heard, qt.IsFalse)
	current, before := life.SetHeard(2, 3*time.Second)
	c.Assert(current, qt.IsTrue)
	c.Assert(before, qt.IsFalse)
	// A hold of the earlier life that ends without an answer tells nothing about this one.
	c.Assert(life.SetSilent(1), qt.IsFalse)
	life.Replace(1, 9)
	number, offset, heard := life.Get()
	c.Assert(number, qt.Equals, int64(2))
	c.Assert(offset, qt.Equals, 3*time.Second)
	c.Assert(heard, qt.IsTrue)
}

// newOwnerOf returns an owner of a cell with one worker, and the session of that.
func newOwnerOf(c *qt.C, now time.Duration, w workload.Worker) (*scheduler.Owner, *scheduler.Session) {
	l, err := ledger.Acquire(c.Context(), emptyStore{}, "C", "a", "i", ledger.Lease{})
	c.Assert(err, qt.IsNil)
	o := scheduler.New(scheduler.Options{}, l, emptyStore{}, &fakeWorkers{}, nil, &fakeMembers{}, &scheduler.Counters{}, discardLog())
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Service: "S", MaxAttempts: 3}}})
	o.AnnounceWorker(now, w)
	return o, o.OpenSession(w)
}

// lifeOf returns the announcement of a life of the worker w.
func lifeOf(life int64) workload.Worker {
	return workload.Worker{ID: "w", Address: "w", Service: "S", Life: life, Capacity: task.Size{Processors: 64 * task.Processor, Memory: 64 * task.Gibibyte}}
}

// The report of an earlier life arrives after that of the next one. What it says must not be
// taken for the state of the next one, whose ends would then be counted again or discarded.
func TestReportOfAnEarlierLifeIsIgnored(t *testing.T) {
	c := qt.New(t)
	now := time.Minute
	o, s := newOwnerOf(c, now, lifeOf(2))
	s.HandleReport(now, now, "w", cell.Report{Life: 2, Complete: true})
	s.HandleReport(now, now, "w", cell.Report{Life: 1, Complete: true, Ended: []cell.EndedRun{{Number: 57}}})
	// A worker whose last report is of another life than its announcement gets no work.
	o.ExecuteCall(now, 0, submission("a"))
	o.Schedule(now)
	c.Assert(o.Cell().Runs("w"), qt.Equals, 1)
}

// The store announces another life of the worker. Calls must be meant for that one from then on,
// and the worker is polled, as the hold in flight may never be answered.
func TestAnnouncedLifeIsCalled(t *testing.T) {
	c := qt.New(t)
	o, s := newOwnerOf(c, time.Minute, lifeOf(1))
	o.ApplyAnnouncement(time.Minute, lifeOf(1))
	c.Assert(s.Life(), qt.Equals, int64(1))
	c.Assert(s.PollRequested(), qt.IsFalse)
	o.ApplyAnnouncement(time.Minute, lifeOf(2))
	c.Assert(s.Life(), qt.Equals, int64(2))
	c.Assert(s.PollRequested(), qt.IsTrue)
}
