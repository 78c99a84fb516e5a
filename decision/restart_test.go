package decision_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// singleRack drives a core with one rack whose owner and worker may be
// replaced.
type singleRack struct {
	core   *decision.Core
	now    time.Time
	digest rack.Digest
	// settleCount counts the Settle commands.
	settleCount int
	// forgetCount counts the Forget commands.
	forgetCount int
	placed      []decision.Command
	answer      task.Answer
}

func newSingleRack() *singleRack {
	capacity := task.Size{Processors: 64_000, Memory: 256 << 30, Slots: 64, Connections: 64}
	r := &singleRack{core: decision.New(decision.Options{Region: "centro"}), now: startTime}
	r.digest = rack.Digest{Rack: "r1", Region: "centro", Epoch: 1, Sequence: 1,
		Workers: []rack.WorkerSummary{{ID: "w1", State: rack.Up, Capacity: capacity, Free: capacity, Instance: 7}}}
	r.sendDigest()
	r.apply(decision.PartitionRecovered{Partition: "p"})
	return r
}

func (r *singleRack) apply(e decision.Event) {
	actions := append([]decision.Action(nil), r.core.Apply(r.now, e)...)
	for _, a := range actions {
		switch a := a.(type) {
		case decision.Record:
			r.apply(decision.Recorded{Token: a.Token})
		case decision.Command:
			switch a.Verb {
			case decision.Place:
				r.placed = append(r.placed, a)
			case decision.Settle:
				r.settleCount++
			case decision.Forget:
				r.forgetCount++
			}
		case decision.Reply:
			r.answer = a.Answer
		}
	}
}

// sendDigest applies the current digest.
func (r *singleRack) sendDigest() {
	d := r.digest
	d.Workers = append([]rack.WorkerSummary(nil), r.digest.Workers...)
	r.apply(decision.DigestChanged{Digest: d})
	r.digest.Sequence++
}

// takeOver replaces the rack's owner by one that has not heard from the worker.
func (r *singleRack) takeOver() {
	r.digest.Epoch++
	heard := r.digest.Workers[0]
	r.digest.Workers[0] = rack.WorkerSummary{ID: "w1", State: rack.Syncing}
	r.sendDigest()
	r.digest.Workers[0] = heard
}

// TestAttemptsOnRestartedWorkerAreSettled guards against attempts that are
// never reported as lost: the owner of a rack is replaced, and the worker
// restarts before the new owner hears from it.
func TestAttemptsOnRestartedWorkerAreSettled(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		r := newSingleRack()
		r.apply(decision.Submitted{Caller: 1, Partition: "p", Work: smallWork(task.Batch, 0)})
		qt.Assert(t, r.placed, qt.HasLen, 1)
		report := decision.Report{Status: decision.Placed, Attempt: r.placed[0].Attempt, Rack: "r1", Worker: "w1", Epoch: 1, Sequence: 2}
		r.apply(report)
		r.takeOver()
		qt.Assert(t, r.settleCount, qt.Equals, 0)
		if restarts {
			r.digest.Workers[0].Instance = 8
		}
		r.sendDigest()
		if !restarts {
			qt.Assert(t, r.settleCount, qt.Equals, 0)
			continue
		}
		qt.Assert(t, r.settleCount, qt.Equals, 1)
		// The owner may not know yet what runs on the other workers, so the
		// query is repeated.
		r.now = r.now.Add(time.Second)
		r.apply(decision.Tick{})
		qt.Assert(t, r.settleCount, qt.Equals, 2)
		report.Status, report.Outcome, report.Epoch = decision.Ended, task.Lost, 2
		r.apply(report)
		qt.Assert(t, r.placed, qt.HasLen, 2)
	}
}
