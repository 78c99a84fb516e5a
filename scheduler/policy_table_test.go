package scheduler_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// Guards against a takeover that reads a policy with each of thousands of jobs, against a job whose policy
// is lost or another one's while routes change and owners succeed one another, and against rows that stay
// when no job needs them.
func TestPoliciesAcrossTakeovers(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		r, store, open := scheduler.NewRecords("p"), storedRows{}, map[string]workload.Job{}
		for next := 0; next < 300 || len(open) > 0; {
			for n := random.IntN(20); next < 300 && n > 0; n-- {
				added := change(fmt.Sprintf("%016x", next), workload.Queued, 0, true)
				added.Job.Queue = fmt.Sprintf("q%d", random.IntN(3))
				added.Job.Policy = workload.Queue{Service: "s", MaxAttempts: 1 + next/100*random.IntN(2)}.Policy(int64(1 + next))
				r.Add(0, added)
				open[added.Job.ID] = added.Job
				next++
			}
			for id := range open {
				if random.IntN(4) == 0 {
					r.Add(0, cell.Change{Job: workload.Job{ID: id}, Progress: cell.Progress{State: workload.Done}})
					delete(open, id)
				}
			}
			store.commit(c, r)
			c.Assert(len(store.rows(ledger.PolicyTable)) <= 3, qt.IsTrue)
			loaded := scheduler.NewRecords("p")
			c.Assert(loaded.Load(store.rows(ledger.PolicyTable)...), qt.IsNil)
			for _, row := range store.rows(ledger.JobTable) {
				jobs, err := loaded.LoadJobs(row)
				c.Assert(err, qt.IsNil)
				for _, j := range jobs {
					if accepted, ok := open[j.ID]; ok {
						c.Assert(j.Policy.IsZero(), qt.IsFalse)
						c.Assert(j.Policy.EqualTerms(accepted.Policy), qt.IsTrue, qt.Commentf("%+v, accepted under %+v", j.Policy, accepted.Policy))
					}
				}
			}
			if random.IntN(5) == 0 {
				r = store.loadRecords(c)
				for id := range store.jobIDs(c) {
					if _, ok := open[id]; !ok {
						r.Add(0, cell.Change{Job: workload.Job{ID: id}, Progress: cell.Progress{State: workload.Done}})
					}
				}
			}
		}
		for range 30 {
			store.commit(c, r)
		}
		c.Assert(len(store.rows(ledger.JobTable)), qt.Equals, 0)
		c.Assert(len(store.rows(ledger.PolicyTable)), qt.Equals, 0)
	}
}

// Jobs of thousands of queues arrive at once. They must fit the next transaction, as without policies.
func TestPolicyRowsOfATransactionAreBounded(t *testing.T) {
	c := qt.New(t)
	r, store := scheduler.NewRecords("p"), storedRows{}
	for i := range 300 {
		added := change(fmt.Sprintf("%016x", i), workload.Queued, 0, true)
		added.Job.Queue = added.Job.ID
		added.Job.Policy = workload.Queue{Service: "s", MaxAttempts: 3}.Policy(1)
		r.Add(0, added)
	}
	c.Assert(store.commit(c, r) < 50, qt.IsTrue)
	c.Assert(len(store.rows(ledger.PolicyTable)) <= 16, qt.IsTrue)
}
