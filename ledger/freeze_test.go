package ledger_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/tenure"
	"github.com/vanillaquay/vanillaquay/workload"
)

const ms = time.Millisecond

// freezingStore suspends the owner, on a virtual clock, while a transaction is on its way or
// while its answer is.
type freezingStore struct {
	*fakeStore
	now *time.Duration
	// onTheWay and onTheAnswer are the lengths of the suspensions; loseAnswer loses the answer
	// as well, so that the owner learns of the outcome from a copy.
	onTheWay, onTheAnswer time.Duration
	loseAnswer            bool
	// appliedAt is when the last transaction took effect.
	appliedAt time.Duration
}

func (s *freezingStore) Commit(ctx context.Context, t ledger.Transaction) (ledger.Version, error) {
	*s.now += s.onTheWay + 2*ms
	version, err := s.fakeStore.Commit(ctx, t)
	if err == nil {
		s.appliedAt = *s.now
	}
	*s.now += s.onTheAnswer + 2*ms
	if s.loseAnswer {
		s.loseAnswer = false
		return 0, errors.New("no answer")
	}
	return version, err
}

// cellOptions are the limits of the installations with the longest leases.
func cellOptions() cell.Options {
	return cell.Options{Lease: 4 * time.Second, StartLease: 2500 * ms, ClockSkew: 0.03, StopTime: 900 * ms}
}

// restartDelay returns how long after it took the cell a new owner starts the task of a worker
// that is neither listed nor heard on another worker.
func restartDelay(c *qt.C) time.Duration {
	const begun = time.Minute
	k := cell.New(cellOptions())
	k.SetCatalogue(workload.Catalogue{
		Version: 1, Queues: []workload.Queue{{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2}}, Services: map[string]workload.Service{"s": {Name: "s"}},
	})
	other := workload.Worker{ID: "other", Service: "s", Address: "other", Capacity: task.Size{Processors: 8 * task.Processor, Memory: 8 * task.Gibibyte}, Life: 1}
	k.HandleAnnouncement(begun, other)
	j := workload.Job{ID: fmt.Sprintf("%016x", 1), Queue: "q", Steps: []workload.Step{{TaskCount: 1, Size: task.Size{Processors: task.Processor, Memory: task.Gibibyte}, Estimate: 40 * time.Second}}}
	run := cell.RunProgress{Run: 1, Worker: "cut off", Life: 1}
	k.Restore(begun, begun+tenure.OwnerTimeout, j, cell.Progress{State: workload.Running, Steps: []cell.StepProgress{{Tasks: []cell.TaskProgress{{Run: 1, Runs: []cell.RunProgress{run}}}}}})
	for now := begun; now < 2*begun; now += 10 * ms {
		k.HandleReport(now, now, other.ID, cell.Report{Life: 1, Complete: true})
		k.Tick(now, now.Milliseconds())
		if actions, _, _ := k.TakeOutput(); len(actions.Starts) > 0 {
			return now - begun
		}
	}
	c.Fatal("the task was not started again")
	return 0
}

// The owner is suspended for any time, at any moment of a transaction, and may hear only one
// worker when it wakes. Another host takes the cell right after the transaction, and starts the
// tasks of that worker elsewhere. The last lease that the first owner may extend must have
// ended by then, or the tasks run twice at the same time (TWICE, review/3).
func TestNoLeaseOutlastsTheWaitOfTheNextOwner(t *testing.T) {
	// workerSkew is by how much a worker's clock may be slow, according to the protocol.
	const workerSkew = 0.02
	wait := restartDelay(qt.New(t))
	lease := time.Duration(float64(cellOptions().Lease) * (1 + workerSkew))
	for name, freeze := range map[string]func(s *freezingStore, length time.Duration){
		"TransactionOnItsWay": func(s *freezingStore, length time.Duration) { s.onTheWay = length },
		"AnswerOnItsWay":      func(s *freezingStore, length time.Duration) { s.onTheAnswer = length },
		"AnswerLost":          func(s *freezingStore, length time.Duration) { s.onTheAnswer, s.loseAnswer = length, true },
	} {
		t.Run(name, func(t *testing.T) {
			for length := time.Duration(0); length <= 12*time.Second; length += 200 * ms {
				c := qt.New(t)
				now := time.Hour
				store := &freezingStore{fakeStore: newFakeStore(), now: &now}
				l, err := ledger.AcquireAt(context.Background(), func() time.Duration { return now }, store, "cell", "a", "1", ledger.Lease{})
				c.Assert(err, qt.IsNil)
				freeze(store, length)
				c.Assert(l.Append(context.Background(), nil), qt.IsNil)
				lastLeaseEnd := l.OwnedAt() + tenure.OwnerTimeout + lease
				c.Check(lastLeaseEnd <= store.appliedAt+wait, qt.IsTrue, qt.Commentf("frozen for %s: a lease ends %s after the next owner starts the task", length, lastLeaseEnd-store.appliedAt-wait))
			}
		})
	}
}
