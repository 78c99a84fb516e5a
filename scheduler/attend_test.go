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
	"github.com/vanillaquay/vanillaquay/platform"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// fleet keeps the workers that an owner attends to, and answers no call.
type fleet struct{ workers []string }

func (f *fleet) SetFleet(workers []workload.Worker) {
	f.workers = nil
	for _, w := range workers {
		f.workers = append(f.workers, w.ID)
	}
	slices.Sort(f.workers)
}

func (f *fleet) Start(context.Context, platform.Start) cell.Answer { return cell.Unreached }

func (f *fleet) Stop(context.Context, string, string, workload.TaskID, int, int64) cell.Answer {
	return cell.Unreached
}

func (f *fleet) Pace(context.Context, string, string, workload.TaskID, int, int64, int) cell.Answer {
	return cell.Unreached
}

func (f *fleet) Hold(context.Context, string, string, int64, int64, int64, time.Duration) (platform.Lists, error) {
	return platform.Lists{}, errors.New("out of reach")
}

// owner returns an owner of a cell with the fleet.
func (f *fleet) owner() *scheduler.Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return scheduler.New(scheduler.Options{}, nil, nil, f, nil, &desk{}, &scheduler.Counters{}, logrus.NewEntry(log))
}

// attendPause is longer than the pause of an owner between two looks for new workers.
const attendPause = 60 * time.Millisecond

// A worker goes and another comes before the owner looks for new ones again, so that their
// number is the same: the new one must be attended to, or it never gets work.
func TestReplacedWorkerIsAttendedTo(t *testing.T) {
	c := qt.New(t)
	f := &fleet{}
	o := f.owner()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	worker := func(id string) workload.Worker { return workload.Worker{ID: id, Address: id, Life: 1} }
	o.WorkerSeen(time.Second, worker("a"))
	o.WorkerSeen(time.Second, worker("b"))
	o.Attend(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"a", "b"})
	o.WorkerGone(2*time.Second, "a")
	o.WorkerSeen(2*time.Second, worker("c"))
	time.Sleep(attendPause)
	o.Attend(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"b", "c"})
}

// The store forgets its history again and again, so that the list of workers is read anew
// each second. A worker that left must not count as missing from the last list only, or it
// stays among those that questions name.
func TestMissingWorkerIsTakenOffHoweverOftenTheListIsRead(t *testing.T) {
	c := qt.New(t)
	f := &fleet{}
	o := f.owner()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	o.WorkerSeen(time.Second, workload.Worker{ID: "a", Address: "a", Life: 1})
	o.Attend(ctx)
	c.Assert(f.workers, qt.DeepEquals, []string{"a"})
	for now := 2 * time.Second; now < 5*time.Second; now += time.Second {
		o.ListWorkers(now, nil)
		o.DropMissing(now)
	}
	c.Assert(f.workers, qt.DeepEquals, []string{"a"})
	o.DropMissing(5 * time.Second)
	time.Sleep(attendPause)
	o.Attend(ctx)
	c.Assert(f.workers, qt.HasLen, 0)
}
