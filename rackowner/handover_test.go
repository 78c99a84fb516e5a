package rackowner_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

// heir is an owner in a new process that takes the rack of a fixture over.
type heir struct {
	*rackowner.Owner
	f *fixture
}

// heir returns an owner that knows only the platform's list and some digests, and
// claims the rack under an epoch.
func (f *fixture) heir(epoch uint64, saw ...rack.Digest) heir {
	h := heir{Owner: rackowner.New(f.port, f.claims), f: f}
	h.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	h.saw(saw...)
	h.Claim(f.now, "r1", epoch)
	return h
}

func (h heir) saw(digests ...rack.Digest) {
	for _, d := range digests {
		h.HandleDigest(h.f.now, d)
	}
}

// adopt hears the worker, whose agent has been up for less than RestartDoubt.
func (h heir) adopt(instance string) {
	h.HandleInventory(h.f.now, "r1", "w1", worker.Inventory{Worker: "w1", Instance: instance, Capacity: capacity})
}

// settle returns what the owner tells of the attempt of x, which was sent under an
// epoch.
func (h heir) settle(sentUnder uint64) decision.Report {
	h.f.reports = nil
	c := command(1, decision.Settle, "x")
	c.Command.Epoch = sentUnder
	h.HandleCommand(h.f.now, "e1", c)
	return h.f.last()
}

// lastDigest returns what an owner told last.
func (h heir) lastDigest() rack.Digest {
	h.PublishDigests()
	return h.f.digests[len(h.f.digests)-1]
}

// handed returns a fixture that was the rack's first owner, with its last digest.
func handed(t *testing.T) (*qt.C, *fixture, rack.Digest) {
	c, f := adopted(t)
	f.PublishDigests()
	return c, f, f.digests[len(f.digests)-1]
}

// TestAttemptOnItsWayAtTwoHandOversIsKnownNotToHaveStarted guards against an unknown
// answer where the owner in between handed the rack over before it heard a worker.
func TestAttemptOnItsWayAtTwoHandOversIsKnownNotToHaveStarted(t *testing.T) {
	for instance, want := range map[string]decision.Status{"a": decision.Refused, "b": decision.Ended} {
		c, f, digest := handed(t)
		between := f.heir(2, digest)
		last := f.heir(3, between.lastDigest())
		last.adopt(instance)
		c.Assert(last.settle(1).Status, qt.Equals, want)
	}
}

// TestDigestAfterTheAdoptionTellsThatNoAgentRestarted guards against an unknown answer
// where a worker is heard before the last digest of the owner before.
func TestDigestAfterTheAdoptionTellsThatNoAgentRestarted(t *testing.T) {
	for instance, want := range map[string]decision.Status{"a": decision.Refused, "b": decision.Ended} {
		c, f, digest := handed(t)
		next := f.heir(2)
		next.adopt(instance)
		c.Assert(next.settle(1).Status, qt.Equals, decision.Status(""))
		next.saw(digest)
		c.Assert(next.settle(1).Status, qt.Equals, want)
	}
}

// TestDoubtOfTheOwnerBeforeEndsWithItsCause guards against a doubt that outlives the
// moment in which the owner before had not seen the digest before its own.
func TestDoubtOfTheOwnerBeforeEndsWithItsCause(t *testing.T) {
	c, f, digest := handed(t)
	between := f.heir(2)
	between.adopt("a")
	early := between.lastDigest()
	c.Assert(early.DoubtBelow, qt.Equals, uint64(2))
	between.saw(digest)
	late := between.lastDigest()
	c.Assert(late.DoubtBelow, qt.Equals, uint64(0))

	last := f.heir(3, early)
	last.adopt("a")
	last.saw(late)
	c.Assert(last.settle(1).Status, qt.Equals, decision.Refused)
}

// TestDoubtOutlivesTheWorkerItIsAbout guards against a false "not run" where a worker
// that may have forgotten an attempt leaves the rack.
func TestDoubtOutlivesTheWorkerItIsAbout(t *testing.T) {
	c, f, digest := handed(t)
	next := f.heir(2, digest)
	next.adopt("b")
	next.UpdateWorkers(f.now, nil, nil)
	f.now = f.now.Add(2 * worker.LapseLength)
	next.Tick(f.now)
	c.Assert(f.opened, qt.HasLen, 0)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)
}

// TestRestartInTimeIsNoDoubtAboutEarlierOwners guards against an unknown answer where an
// agent restarts after this owner has heard what it held.
func TestRestartInTimeIsNoDoubtAboutEarlierOwners(t *testing.T) {
	c, f, digest := handed(t)
	next := f.heir(2, digest)
	next.adopt("a")
	next.adopt("b")
	next.saw(digest)
	c.Assert(next.settle(1).Status, qt.Equals, decision.Refused)
}

// TestAgentKnownToHaveRestartedIsInDoubtWhateverItsAge guards against a false "not run"
// where an agent that has been up for long is another one than the owner before heard.
func TestAgentKnownToHaveRestartedIsInDoubtWhateverItsAge(t *testing.T) {
	c, f, digest := handed(t)
	next := f.heir(2)
	next.HandleInventory(f.now, "r1", "w1", worker.Inventory{Worker: "w1", Instance: "b", Capacity: capacity, Clock: 2 * rackowner.RestartDoubtAge})
	next.saw(digest)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)
}

// TestDoubtOfAnOwnerBeforeTheLastStays guards against a false "not run" where the owner
// before had not seen the doubt of its own predecessor.
func TestDoubtOfAnOwnerBeforeTheLastStays(t *testing.T) {
	c, f, digest := handed(t)
	digest.DoubtBelow = 2
	between := digest
	between.Epoch, between.DoubtBelow = 2, 0
	last := f.heir(3, digest)
	last.adopt("a")
	last.saw(between)
	c.Assert(last.settle(1).Outcome, qt.Equals, task.Lost)
	c.Assert(last.settle(2).Status, qt.Equals, decision.Refused)
}

// TestDigestWithoutAnInstanceTakesNoneAway guards against a doubt about a worker that the
// owner before the last one has heard, and that was not heard by the last one.
func TestDigestWithoutAnInstanceTakesNoneAway(t *testing.T) {
	c, f, digest := handed(t)
	last := f.heir(3, digest)
	last.adopt("a")
	last.saw(rack.Digest{Rack: "r1", Epoch: 2, Sequence: 1, Workers: []rack.WorkerSummary{{ID: "w1"}}})
	c.Assert(last.settle(1).Status, qt.Equals, decision.Refused)
}

// TestInstanceHeardIsToldInPlaceOfAnEarlierOne guards against a digest that names an
// agent of long ago.
func TestInstanceHeardIsToldInPlaceOfAnEarlierOne(t *testing.T) {
	c, f, digest := handed(t)
	next := f.heir(2, digest)
	c.Assert(next.lastDigest().Workers[0].Instance, qt.Equals, digest.Workers[0].Instance)
	next.adopt("b")
	heard := next.lastDigest().Workers[0].Instance
	c.Assert(heard, qt.Not(qt.Equals), digest.Workers[0].Instance)
	digest.Sequence++
	next.saw(digest)
	c.Assert(next.lastDigest().Workers[0].Instance, qt.Equals, heard)
}

// TestWorkerGoneUnheardIsInDoubt guards against a false "not run" where a worker that
// ran an attempt was never heard under this epoch, and against another answer once it is.
func TestWorkerGoneUnheardIsInDoubt(t *testing.T) {
	c, f, digest := handed(t)
	next := f.heir(2, digest)
	next.MarkPredecessorsStopped(f.now, "r1", 2)
	f.now = f.now.Add(worker.LapseLength + time.Millisecond)
	next.HandleSilence(f.now, "r1", "w1", time.Hour)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)

	again := f.heir(3, digest)
	again.MarkPredecessorsStopped(f.now, "r1", 3)
	f.now = f.now.Add(worker.LapseLength + time.Millisecond)
	again.HandleSilence(f.now, "r1", "w1", time.Hour)
	again.adopt("a")
	c.Assert(again.settle(1).Outcome, qt.Equals, task.Lost)
}
