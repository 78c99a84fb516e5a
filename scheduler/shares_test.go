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
	fakeMembers
	log  bytes.Buffer
	sent int
}

func newSharedOwner() *sharedOwner {
	o := &sharedOwner{}
	log := logrus.New()
	log.SetOutput(&o.log)
	o.Owner = scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, &o.fakeMembers, &scheduler.Counters{}, logrus.NewEntry(log))
	o.ApplyCatalogue(workload.Catalogue{Version: 1, Queues: []workload.Queue{{Name: "q", Allowance: 2 * time.Second}}}.WithOrganisations([]workload.Organisation{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}, {Name: "c", Weight: 18}}))
	return o
}

// submit submits new jobs of an organisation after a tick. It returns how many of them are beyond
// its share, and how many are refused.
func (o *sharedOwner) submit(now time.Duration, organisation string, jobs int) (beyond, refused int) {
	o.Cell().Tick(now, 0)
	o.replies = nil
	for range jobs {
		o.sent++
		c := submission(fmt.Sprintf("%016d", o.sent))
		c.Job.Organisation = organisation
		o.ExecuteCall(now, 0, c)
		if j, _ := o.Cell().Job(c.ID); j.BeyondShare {
			beyond++
		}
	}
	return beyond, len(o.replies)
}

// An organisation sends 30 times its weight, and its jobs beyond the share then wait for three
// times their objective. Further ones must be refused at once with the time until one is within the
// share again, but no repeats, and no jobs of others, within the share or without organisation. A
// job that can't start must not count for ever.
func TestJobsBeyondShareAreRefusedOnceTheyWaitInVain(t *testing.T) {
	c := qt.New(t)
	o := newSharedOwner()
	for _, step := range []struct {
		at                  time.Duration
		organisation        string
		refuses, classifies bool
	}{{1, "a", false, true}, {6, "a", false, true}, {8, "a", true, false}, {8, "", false, false}, {30, "a", false, true}} {
		beyond, refused := o.submit(step.at*time.Second, step.organisation, 30)
		c.Check(beyond > 15 && beyond < 30, qt.Equals, step.classifies, qt.Commentf("%v: %d beyond", step, beyond))
		c.Check(refused > 15 && refused < 30, qt.Equals, step.refuses, qt.Commentf("%v: %d refused", step, refused))
		for _, r := range o.replies {
			c.Check(r.Outcome == intake.Overloaded && r.RetryAfter >= time.Second, qt.IsTrue)
		}
	}
	_, refused := o.submit(31*time.Second, "b", 2)
	c.Check(refused, qt.Equals, 0)
	o.ExecuteCall(31*time.Second, 0, submission(fmt.Sprintf("%016d", 30)))
	c.Check(o.replies, qt.HasLen, 0)
	o.UpdateOrganisations(30 * time.Second)
	c.Check(strings.Count(o.log.String(), "organisation=a"), qt.Equals, 1)
	status := o.Organisations()[0]
	c.Check(status.Within+status.Beyond+status.Refused, qt.Equals, int64(120))
}

// The store is away, so that new jobs are not recorded and are sent again. Their organisation stays
// within its share.
func TestAbandonedJobsAreNotCharged(t *testing.T) {
	o := newSharedOwner()
	for range 10 {
		o.SetCommitInFlight(0, 0)
		beyond, _ := o.submit(time.Second, "a", 1)
		qt.Assert(t, beyond, qt.Equals, 0)
		o.SetCommitInFlight(1, 0)
		o.AbandonNewJobs(5 * time.Second)
	}
}
