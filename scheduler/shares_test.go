package scheduler_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// sharedOwner is an owner whose catalogue has the organisations "a" and "b" with weight 1 of 20.
// The objective of jobs is 2 s.
type sharedOwner struct {
	*scheduler.Owner
	replies *fakeMembers
	log     *bytes.Buffer
	sent    int
}

func newSharedOwner() *sharedOwner {
	o := &sharedOwner{replies: &fakeMembers{}, log: &bytes.Buffer{}}
	log := logrus.New()
	log.SetOutput(o.log)
	o.Owner = scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, o.replies, &scheduler.Counters{}, logrus.NewEntry(log))
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Allowance: 2 * time.Second}}}.WithOrganisations([]workload.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 18}}))
	return o
}

// submit submits new jobs of an organisation and returns how many of them are beyond its share.
func (o *sharedOwner) submit(now time.Duration, organisation string, jobs int) (beyond int) {
	for range jobs {
		o.sent++
		c := submission(fmt.Sprintf("%016d", o.sent))
		c.Job.Organisation = organisation
		o.ExecuteCall(now, 0, c)
		if j, _ := o.Cell().Job(c.ID); j.BeyondShare {
			beyond++
		}
	}
	return beyond
}

// An organisation sends 30 times its weight for a second, and its jobs beyond the share then wait
// for three times their objective. Further ones must be refused at once with the time until one is
// within the share again, but not those of others, within the share or without organisation.
func TestJobsBeyondShareAreRefusedOnceTheyWaitInVain(t *testing.T) {
	c := qt.New(t)
	o := newSharedOwner()
	beyond := o.submit(time.Second, "a", 30)
	c.Assert(beyond > 15 && beyond < 28, qt.IsTrue, qt.Commentf("%d", beyond))
	o.Cell().Tick(6*time.Second, 0)
	beyond = o.submit(6*time.Second, "a", 30)
	c.Assert(beyond > 0, qt.IsTrue)
	c.Assert(o.replies.replies, qt.HasLen, 0, qt.Commentf("jobs may still be late"))
	o.Cell().Tick(8*time.Second, 0)
	c.Assert(o.submit(8*time.Second, "a", 20), qt.Equals, 0)
	refused := len(o.replies.replies)
	c.Assert(refused > 10 && refused < 20, qt.IsTrue, qt.Commentf("%d", refused))
	for _, r := range o.replies.replies {
		c.Assert(r.Outcome, qt.Equals, intake.Overloaded)
		c.Assert(r.RetryAfter >= time.Second, qt.IsTrue)
	}
	o.submit(8*time.Second, "b", 2)
	o.submit(8*time.Second, "", 20)
	o.ExecuteCall(8*time.Second, 0, submission(fmt.Sprintf("%016d", 30)))
	c.Assert(o.replies.replies, qt.HasLen, refused, qt.Commentf("a repeat of a job beyond the share is not refused"))
	o.UpdateOrganisations(9 * time.Second)
	status := o.Organisations()[0]
	c.Assert(int(status.Within+status.Beyond+status.Refused), qt.Equals, 80)
	c.Assert(strings.Count(o.log.String(), "organisation=a"), qt.Equals, 1)
	o.Cell().Tick(30*time.Second, 0)
	o.submit(30*time.Second, "a", 20)
	c.Assert(o.replies.replies, qt.HasLen, refused, qt.Commentf("a job that can't start must not count for ever"))
}

// The store is away, so that new jobs are not recorded and are sent again. Their organisation stays
// within its share.
func TestAbandonedJobsAreNotCharged(t *testing.T) {
	o := newSharedOwner()
	for n := range 10 {
		now := time.Second + time.Duration(n)*time.Millisecond
		o.SetCommitInFlight(0, 0)
		qt.Assert(t, o.submit(now, "a", 1), qt.Equals, 0)
		o.SetCommitInFlight(1, 0)
		o.AbandonNewJobs(5 * time.Second)
	}
}
