package scheduler_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

// keyedCatalogue returns a version with the queue q and the public queue p, in which the key k2
// belongs to the organisation b.
func keyedCatalogue(version int64) workload.Catalogue {
	c := workload.Catalogue{Version: version, Queues: []workload.Queue{{Name: "q"}, {Name: "p", Public: true}}}
	return c.WithOrganisations([]workload.Organisation{{Name: "b", Keys: []string{"k2"}}})
}

// keyedCall returns a call that a host with a version of the catalogue has admitted for the
// organisation a.
func keyedCall(verb intake.Verb, queue, key string, version int64) intake.Call {
	c := submission("a")
	c.Verb, c.Queue, c.Job.Queue, c.Job.Organisation = verb, queue, queue, "a"
	c.Credential = intake.Credential{Key: key, CatalogueVersion: version}
	return c
}

// A host that is cut off from the store must not get a job accepted with a withdrawn key, and an
// owner must not refuse a key of which it has not read yet, nor all calls of a host that checks
// no keys.
func TestOwnerChecksKeysOfHostsWithEarlierVersion(t *testing.T) {
	none := workload.Catalogue{Version: 5}
	public := func(c intake.Call) intake.Call { c.KeyNotNeeded = true; return c }
	for _, test := range []struct {
		name      string
		catalogue workload.Catalogue
		call      intake.Call
		// organisation is that of the job, or "refused".
		organisation string
	}{
		{"withdrawn", keyedCatalogue(5), keyedCall(intake.Submit, "q", "k1", 4), "refused"},
		{"missing", keyedCatalogue(5), keyedCall(intake.Submit, "q", "", 4), "refused"},
		{"queue removed", keyedCatalogue(5), keyedCall(intake.Submit, "r", "", 4), "refused"},
		{"public queue removed", keyedCatalogue(5), public(keyedCall(intake.Submit, "r", "", 4)), ""},
		{"no longer public", keyedCatalogue(5), public(keyedCall(intake.Submit, "q", "", 4)), "refused"},
		{"known, of another organisation", keyedCatalogue(5), keyedCall(intake.Submit, "q", "k2", 4), "b"},
		{"host with the same version", keyedCatalogue(5), keyedCall(intake.Submit, "q", "k1", 5), "a"},
		{"host with a newer version", keyedCatalogue(5), keyedCall(intake.Submit, "q", "k3", 6), "a"},
		{"host that checks no keys", keyedCatalogue(5), keyedCall(intake.Submit, "q", "", 0), "a"},
		{"withdrawn, public queue", keyedCatalogue(5), keyedCall(intake.Submit, "p", "k1", 4), ""},
		{"keys are no longer checked", none, keyedCall(intake.Submit, "q", "k1", 4), "a"},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			d := &fakeMembers{}
			o := newOwner(d)
			o.SetCatalogue(test.catalogue)
			o.ExecuteCall(time.Second, 0, test.call)
			jobs := o.ChangedJobs()
			if test.organisation == "refused" {
				c.Assert(d.replies, qt.HasLen, 1)
				c.Assert(d.replies[0].Outcome, qt.Equals, intake.Unauthorised)
				c.Assert(jobs, qt.HasLen, 0)
				return
			}
			c.Assert(d.replies, qt.HasLen, 0, qt.Commentf("the reply waits for the record"))
			c.Assert(jobs, qt.HasLen, 1)
			c.Assert(jobs[0].Organisation, qt.Equals, test.organisation)
		})
	}
}

// A withdrawn key must not have an effect by any verb, and jobs that were accepted before stay.
func TestWithdrawnKeyHasNoEffect(t *testing.T) {
	c := qt.New(t)
	d := &fakeMembers{}
	counters := &scheduler.Counters{}
	o := scheduler.New(scheduler.Options{}, &ledger.Ledger{}, nil, nil, nil, d, counters, discardLog())
	o.SetCatalogue(keyedCatalogue(4))
	o.ExecuteCall(time.Second, 0, keyedCall(intake.Submit, "q", "k1", 4))
	o.SetCatalogue(keyedCatalogue(5))
	for _, verb := range []intake.Verb{intake.Submit, intake.State, intake.Cancel, intake.Waiting} {
		d.replies = nil
		o.ExecuteCall(2*time.Second, 0, keyedCall(verb, "q", "k1", 4))
		c.Assert(d.replies, qt.HasLen, 1)
		c.Assert(d.replies[0].Outcome, qt.Equals, intake.Unauthorised)
	}
	c.Assert(counters.WithdrawnKeys.Load(), qt.Equals, int64(4))
	o.ExecuteCall(2*time.Second, 0, keyedCall(intake.State, "q", "k2", 4))
	c.Assert(d.replies[1].State, qt.Equals, workload.Queued)
}
