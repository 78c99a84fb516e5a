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

// successor is an owner in a new process that takes over the rack of a fixture.
type successor struct {
	*rackowner.Owner
	f *fixture
}

// successor returns an owner that knows only the worker list and the given digests, and
// claims the rack under the given epoch.
func (f *fixture) successor(epoch uint64, digests ...rack.Digest) successor {
	h := successor{Owner: rackowner.New(f.recordingPort, f.claims), f: f}
	h.UpdateWorkers(f.now, []tablestore.Host{host("w1")}, nil)
	h.handleDigests(digests...)
	h.Claim(f.now, "r1", epoch)
	return h
}

func (h successor) handleDigests(digests ...rack.Digest) {
	for _, d := range digests {
		h.HandleDigest(h.f.now, d)
	}
}

// adopt delivers the worker's inventory. The agent has been up for less than
// RestartDoubtAge.
func (h successor) adopt(instance string) {
	h.HandleInventory(h.f.now, "r1", "w1", worker.Inventory{Worker: "w1", Instance: instance, Capacity: capacity})
}

// settle returns the owner's report on attempt x, which was sent under the given epoch.
func (h successor) settle(sentEpoch uint64) decision.Report {
	h.f.reports = nil
	c := command(1, decision.Settle, "x")
	c.Command.Epoch = sentEpoch
	h.HandleCommand(h.f.now, "e1", c)
	return h.f.lastReport()
}

// lastDigest returns the digest that the owner published last.
func (h successor) lastDigest() rack.Digest {
	h.PublishDigests()
	return h.f.digests[len(h.f.digests)-1]
}

// newHandedOver returns a fixture that was the rack's first owner, with its last digest.
func newHandedOver(t *testing.T) (*qt.C, *fixture, rack.Digest) {
	c, f := newAdopted(t)
	f.PublishDigests()
	return c, f, f.digests[len(f.digests)-1]
}

// TestAttemptInFlightOverTwoHandOversIsRefused guards against an unknown outcome when the
// owner in between hands the rack over before it has contacted a worker.
func TestAttemptInFlightOverTwoHandOversIsRefused(t *testing.T) {
	for instance, want := range map[string]decision.Status{"a": decision.Refused, "b": decision.Ended} {
		c, f, digest := newHandedOver(t)
		between := f.successor(2, digest)
		last := f.successor(3, between.lastDigest())
		last.adopt(instance)
		c.Assert(last.settle(1).Status, qt.Equals, want)
	}
}

// TestDigestAfterAdoptionRulesOutRestart guards against an unknown outcome when a worker
// is adopted before the predecessor's last digest arrives.
func TestDigestAfterAdoptionRulesOutRestart(t *testing.T) {
	for instance, want := range map[string]decision.Status{"a": decision.Refused, "b": decision.Ended} {
		c, f, digest := newHandedOver(t)
		next := f.successor(2)
		next.adopt(instance)
		c.Assert(next.settle(1).Status, qt.Equals, decision.Status(""))
		next.handleDigests(digest)
		c.Assert(next.settle(1).Status, qt.Equals, want)
	}
}

// TestLaterPredecessorDigestClearsDoubt guards against a doubt that persists after the
// predecessor has received the digest that it lacked.
func TestLaterPredecessorDigestClearsDoubt(t *testing.T) {
	c, f, digest := newHandedOver(t)
	between := f.successor(2)
	between.adopt("a")
	early := between.lastDigest()
	c.Assert(early.DoubtBelow, qt.Equals, uint64(2))
	between.handleDigests(digest)
	late := between.lastDigest()
	c.Assert(late.DoubtBelow, qt.Equals, uint64(0))

	last := f.successor(3, early)
	last.adopt("a")
	last.handleDigests(late)
	c.Assert(last.settle(1).Status, qt.Equals, decision.Refused)
}

// TestDoubtOutlivesRemovedWorker guards against a false "not run" when a worker that may
// have forgotten an attempt is removed from the rack.
func TestDoubtOutlivesRemovedWorker(t *testing.T) {
	c, f, digest := newHandedOver(t)
	next := f.successor(2, digest)
	next.adopt("b")
	next.UpdateWorkers(f.now, nil, nil)
	f.now = f.now.Add(2 * worker.LeaseLapseTimeout)
	next.Tick(f.now)
	c.Assert(f.opened, qt.HasLen, 0)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)
}

// TestRestartAfterAdoptionAddsNoDoubt guards against an unknown outcome when an agent
// restarts after this owner has received its inventory.
func TestRestartAfterAdoptionAddsNoDoubt(t *testing.T) {
	c, f, digest := newHandedOver(t)
	next := f.successor(2, digest)
	next.adopt("a")
	next.adopt("b")
	next.handleDigests(digest)
	c.Assert(next.settle(1).Status, qt.Equals, decision.Refused)
}

// TestReplacedAgentIsDoubtfulDespiteItsAge guards against a false "not run" when an agent
// with a long uptime differs from the one that the predecessor contacted.
func TestReplacedAgentIsDoubtfulDespiteItsAge(t *testing.T) {
	c, f, digest := newHandedOver(t)
	next := f.successor(2)
	next.HandleInventory(f.now, "r1", "w1", worker.Inventory{Worker: "w1", Instance: "b", Capacity: capacity, Clock: 2 * rackowner.RestartDoubtAge})
	next.handleDigests(digest)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)
}

// TestDoubtOfEarlierPredecessorIsRetained guards against a false "not run" when the
// predecessor did not know the doubt of its own predecessor.
func TestDoubtOfEarlierPredecessorIsRetained(t *testing.T) {
	c, f, digest := newHandedOver(t)
	digest.DoubtBelow = 2
	between := digest
	between.Epoch, between.DoubtBelow = 2, 0
	last := f.successor(3, digest)
	last.adopt("a")
	last.handleDigests(between)
	c.Assert(last.settle(1).Outcome, qt.Equals, task.Lost)
	c.Assert(last.settle(2).Status, qt.Equals, decision.Refused)
}

// TestDigestWithoutInstanceKeepsKnownInstance guards against a false doubt when the
// predecessor never contacted a worker that the owner before it had contacted.
func TestDigestWithoutInstanceKeepsKnownInstance(t *testing.T) {
	c, f, digest := newHandedOver(t)
	last := f.successor(3, digest)
	last.adopt("a")
	last.handleDigests(rack.Digest{Rack: "r1", Epoch: 2, Sequence: 1, Workers: []rack.WorkerSummary{{ID: "w1"}}})
	c.Assert(last.settle(1).Status, qt.Equals, decision.Refused)
}

// TestDigestNamesLatestInstance guards against a digest with an outdated agent instance.
func TestDigestNamesLatestInstance(t *testing.T) {
	c, f, digest := newHandedOver(t)
	next := f.successor(2, digest)
	c.Assert(next.lastDigest().Workers[0].Instance, qt.Equals, digest.Workers[0].Instance)
	next.adopt("b")
	latest := next.lastDigest().Workers[0].Instance
	c.Assert(latest, qt.Not(qt.Equals), digest.Workers[0].Instance)
	digest.Sequence++
	next.handleDigests(digest)
	c.Assert(next.lastDigest().Workers[0].Instance, qt.Equals, latest)
}

// TestUncontactedWorkerWithLapsedLeasesIsDoubtful guards against a false "not run" when a
// worker that ran an attempt was not contacted under this epoch before its leases lapsed,
// also if it is contacted later.
func TestUncontactedWorkerWithLapsedLeasesIsDoubtful(t *testing.T) {
	c, f, digest := newHandedOver(t)
	next := f.successor(2, digest)
	next.MarkPredecessorsStopped(f.now, "r1", 2)
	f.now = f.now.Add(worker.LeaseLapseTimeout + time.Millisecond)
	next.HandleSilence(f.now, "r1", "w1", time.Hour)
	c.Assert(next.settle(1).Outcome, qt.Equals, task.Lost)

	again := f.successor(3, digest)
	again.MarkPredecessorsStopped(f.now, "r1", 3)
	f.now = f.now.Add(worker.LeaseLapseTimeout + time.Millisecond)
	again.HandleSilence(f.now, "r1", "w1", time.Hour)
	again.adopt("a")
	c.Assert(again.settle(1).Outcome, qt.Equals, task.Lost)
}
