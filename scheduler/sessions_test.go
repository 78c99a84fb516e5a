package scheduler_test

import (
	"context"
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// fakeWorkers records the workers of the fleet and answers no call.
type fakeWorkers struct{ workers []string }

func (f *fakeWorkers) SetFleet(workers []workload.Worker) {
	f.workers = nil
	for _, w := range workers {
		f.workers = append(f.workers, w.ID)
	}
	slices.Sort(f.workers)
}

func (f *fakeWorkers) Start(context.Context, platform.StartOrder) cell.Answer { return cell.Unreached }

func (f *fakeWorkers) Stop(context.Context, platform.Instance, workload.TaskID, int, int64) cell.Answer {
	return cell.Unreached
}

func (f *fakeWorkers) Pace(context.Context, platform.Instance, workload.TaskID, int, int64, int) cell.Answer {
	return cell.Unreached
}

func (f *fakeWorkers) Hold(context.Context, platform.Instance, int64, int64, int64, time.Duration) (platform.HoldResponse, error) {
	return platform.HoldResponse{}, errors.New("out of reach")
}

// newOwner returns an owner that sends its calls to f.
func (f *fakeWorkers) newOwner() *scheduler.Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, f, nil, &fakeMembers{}, &scheduler.Counters{}, logrus.NewEntry(log))
}

// rampPause is longer than the interval between an owner's checks for new workers.
const rampPause = 60 * time.Millisecond

// A worker leaves and another joins between two checks for new workers, so that the
// number of workers stays the same. The new worker must get a session, or it never gets
// work.
func TestReplacedWorkerGetsASession(t *testing.T) {
	c := qt.New(t)
	f := &fakeWorkers{}
	o := f.newOwner()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	worker := func(id string) workload.Worker { return workload.Worker{ID: id, Address: id, Life: 1} }
	o.AnnounceWorker(time.Second, worker("a"))
	o.AnnounceWorker(time.Second, worker("b"))
	o.SyncSessions(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"a", "b"})
	o.RemoveWorker(2*time.Second, "a")
	o.AnnounceWorker(2*time.Second, worker("c"))
	time.Sleep(rampPause)
	o.SyncSessions(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"b", "c"})
}

// The store drops its history repeatedly, so that the worker list is read anew every
// second. The time of a missing worker must not start over with each list, or the worker
// is never removed and advice questions still name it.
func TestMissingWorkerIsRemovedDespiteRepeatedListing(t *testing.T) {
	c := qt.New(t)
	f := &fakeWorkers{}
	o := f.newOwner()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.AnnounceWorker(time.Second, workload.Worker{ID: "a", Address: "a", Life: 1})
	o.SyncSessions(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"a"})
	for now := 2 * time.Second; now < 5*time.Second; now += time.Second {
		o.ApplyWorkerList(now, nil)
		o.RemoveMissing(now)
	}
	c.Assert(f.workers, qt.DeepEquals, []string{"a"})
	o.RemoveMissing(5 * time.Second)
	time.Sleep(rampPause)
	o.SyncSessions(ctx)
	c.Assert(f.workers, qt.HasLen, 0)
}
