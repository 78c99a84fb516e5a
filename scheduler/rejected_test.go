package scheduler_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// pickyStore rejects transactions with rows in which a text occurs.
type pickyStore struct {
	emptyStore
	text string
	mu   sync.Mutex
	rows storedRows
}

func (s *pickyStore) Commit(_ context.Context, t ledger.Transaction) (ledger.Version, error) {
	for _, r := range t.Writes {
		if strings.Contains(string(r.Value), s.text) {
			return 0, ledger.ErrRejected
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rows.write([]ledger.Change{{Writes: t.Writes, Removes: t.Removes}})
	return 1, nil
}

// jobs returns the IDs of the recorded jobs.
func (s *pickyStore) jobs(c *qt.C) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows.jobIDs(c)
}

// The store rejects the row of one job for good. The job is refused, the tenure goes on, and
// other jobs are recorded, even if all were submitted at once (LOST, review/1).
func TestRejectedJobIsSetApart(t *testing.T) {
	c := qt.New(t)
	store, replies := &pickyStore{text: "unwanted", rows: storedRows{}}, make(replyChannel, 20)
	o, ended := runOwner(c, store, replies)
	submit := func(number int, spec string) {
		j := workload.Job{ID: fmt.Sprintf("%016x", number), Queue: "q", Spec: spec, Steps: []workload.Step{{TaskCount: 1}}}
		o.HandleCall("h", intake.Call{Number: uint64(number), Verb: intake.Submit, Queue: "q", ID: j.ID, Job: j})
	}
	submit(1, "unwanted")
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Unavailable)
	submit(2, "plain")
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	submit(3, "unwanted")
	submit(4, "plain")
	outcomes := map[intake.Outcome]int{}
	for range 2 {
		outcomes[replies.next(c).Outcome]++
	}
	// The two may share a row, and then both are refused.
	c.Assert(outcomes[intake.Unavailable] >= 1, qt.IsTrue, qt.Commentf("%v", outcomes))
	submit(4, "plain")
	c.Assert(replies.next(c).Outcome, qt.Equals, intake.Accepted)
	c.Assert(store.jobs(c), qt.DeepEquals, map[string]bool{fmt.Sprintf("%016x", 2): true, fmt.Sprintf("%016x", 4): true})
	select {
	case err := <-ended:
		c.Fatalf("the tenure ended: %v", err)
	default:
	}
}

// The store rejects a page because of one of its jobs. The others of the page are recorded by
// the next transaction, and the one is not sent again.
func TestJobsOfARejectedPageAreRecorded(t *testing.T) {
	c := qt.New(t)
	o := newOwner(&fakeMembers{})
	var changes []cell.Change
	for n := range 3 {
		changes = append(changes, change(fmt.Sprintf("%016x", n), workload.Running, 1+n, false))
	}
	o.AddChanges(changes)
	store := storedRows{}
	rejects := func(r ledger.Row) bool { return strings.Contains(string(r.Value), "worker-2") }
	for range 3 {
		batch, err := o.BeginCommit(time.Minute)
		c.Assert(err, qt.IsNil)
		var rejected []ledger.Change
		for _, b := range batch {
			if len(b.Writes) > 0 && rejects(b.Writes[0]) {
				rejected = append(rejected, b)
				continue
			}
			store.write([]ledger.Change{b})
		}
		c.Assert(o.EndCommit(rejected), qt.IsNil)
	}
	next := store.loadRecords(c)
	for n := range 3 {
		_, ok := next.Progress(fmt.Sprintf("%016x", n))
		c.Check(ok, qt.Equals, n < 2, qt.Commentf("job %d", n))
	}
	c.Check(o.HasChanges(), qt.IsFalse)
	// Nothing that needs the record is done later either.
	ran := 0
	o.AddEffect(scheduler.NewEffect(ledger.ProgressTable, fmt.Sprintf("%016x", 2), func() { ran++ }, nil))
	_, err := o.BeginCommit(time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(o.EndCommit(nil), qt.IsNil)
	c.Check(ran, qt.Equals, 0)
	// The state of the job is still recorded once it is final.
	o.AddChanges([]cell.Change{change(fmt.Sprintf("%016x", 2), workload.Cancelled, 3, false)})
	batch, err := o.BeginCommit(time.Minute)
	c.Assert(err, qt.IsNil)
	c.Assert(o.EndCommit(nil), qt.IsNil)
	store.write(batch)
	c.Check(store.loadRecords(c).Finished(fmt.Sprintf("%016x", 2)), qt.IsTrue)
}

// A start needs its record. If the store rejects that, the order is not sent.
func TestStartsOfRejectedRecordsAreNotSent(t *testing.T) {
	c := qt.New(t)
	ran, skipped := 0, 0
	e := scheduler.NewEffect(ledger.ProgressTable, "a", func() { ran++ }, func() { skipped++ })
	e.Apply(ledger.ProgressTable, "b")
	c.Assert(ran, qt.Equals, 1)
	e.Apply(ledger.ProgressTable, "a")
	c.Assert(ran, qt.Equals, 1)
	c.Assert(skipped, qt.Equals, 1)
}
