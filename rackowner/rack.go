package rackowner

import (
	"time"

	"github.com/vanillaquay/vanillaquay/chart"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/worker"
)

var rackChart = chart.MustLoad("Rack")

// ownedRack is a rack with what this host knows of its attempts.
type ownedRack struct {
	name string
	// state is a state of the chart Rack.
	state   chart.State
	rack    *rack.Rack
	workers map[string]*ownedWorker
	// attempts holds every attempt from its reservation until its end is
	// acknowledged.
	attempts map[task.AttemptID]*placement
	// refused holds attempts that must not start any more, until a time.
	refused map[task.AttemptID]time.Time
	// complete tells that workers holds all that an earlier owner had: there
	// was none, or its last digests were seen here, or the list was seen for as
	// long as a lease lasts.
	complete bool
	// decided is the highest epoch under which an owner before may have decided; 0 is
	// none.
	decided uint64
	// alone is since when no owner before renews leases of the workers; zero if
	// that is not known.
	alone time.Time
	// before holds the instances of the workers' agents that owners before have
	// heard, as their digests tell.
	before map[string]uint64
	// doubtBelow is the epoch under which attempts may have run that nothing
	// here knows of; it never falls. 0 is no doubt.
	doubtBelow uint64
	// inherited is the last digest of the owner before. What it doubts counts
	// until a later digest of that owner replaces it.
	inherited rack.Digest
	// lost counts the placements that are onlyHere.
	lost int
	// told is the sequence of the last digest that was told.
	told uint64
	// ended and endedBytes are the number and size of the ends that nobody has
	// acknowledged.
	ended, endedBytes int
}

// ownedWorker is one worker of an owned rack.
type ownedWorker struct {
	address string
	leaving bool
	// synced tells that what the worker holds is known under this epoch.
	synced bool
	// instance is the agent that was heard last, and first the one that was heard
	// first under this epoch; 0 is none.
	instance, first uint64
	// old tells that the first agent had been up for more than RestartDoubt.
	old bool
	// gone tells that the leases of the worker have lapsed since it was last
	// heard.
	gone bool
	// expected is when a worker without an address was found in the digest of
	// the owner before; zero for the others.
	expected time.Time
	// unlisted is when the worker was first found off the list; zero if it is
	// listed.
	unlisted time.Time
	capacity task.Size
}

// placement is one attempt in a rack.
type placement struct {
	// status is what was or will be reported; empty while the worker has not
	// answered the start.
	status  decision.Status
	worker  string
	size    task.Size
	outcome task.Outcome
	body    []byte
	used    task.Size
	// onlyHere tells that no worker remembers the end.
	onlyHere bool
	// early is an end that the worker told before it answered the start.
	early *end
	// expires is when held room is given back.
	expires time.Time
	// repeat is when the end is reported again, after the pause wait.
	repeat time.Time
	wait   time.Duration
}

// end is how an attempt ended.
type end struct {
	outcome task.Outcome
	body    []byte
	used    task.Size
}

func newOwnedRack(name, region, zone string, epoch uint64) *ownedRack {
	r := &ownedRack{
		name: name, state: rackChart.Initial(), rack: rack.New(name, region, zone, epoch),
		workers: map[string]*ownedWorker{}, attempts: map[task.AttemptID]*placement{},
		refused: map[task.AttemptID]time.Time{}, before: map[string]uint64{},
	}
	r.step("Claimed")
	return r
}

// step moves the rack along the chart; an event that its state does not take
// changes nothing.
func (r *ownedRack) step(e chart.Event) {
	if next, err := rackChart.Next(r.state, e); err == nil {
		r.state = next
	}
}

// settled reports whether an attempt that is not known here can't be running
// on any worker of the rack.
func (o *Owner) settled(now time.Time, r *ownedRack) bool {
	event := chart.Event("Changed")
	if o.allHeard(now, r) {
		event = "Synced"
	}
	r.step(event)
	return r.state == "Owned" && len(r.refused) < MaxRetainedRefusals
}

// allHeard reports whether what runs is known of every worker that the rack has
// or may have had under the owner before.
func (o *Owner) allHeard(now time.Time, r *ownedRack) bool {
	if !r.complete && o.list.known(now) {
		r.complete = true
		r.tellPartial()
	}
	if !r.complete {
		return false
	}
	for _, m := range r.workers {
		if !m.synced && !m.gone {
			return false
		}
	}
	return true
}

// lapsed reports whether the leases have lapsed that owners before renewed. On a
// worker that was heard under this epoch they could renew none since.
func (r *ownedRack) lapsed(now time.Time) bool {
	return r.decided == 0 || !r.alone.IsZero() && now.Sub(r.alone) > worker.LapseLength
}

// tellPartial tells the next owner whether the rack may have workers that this one
// does not know of.
func (r *ownedRack) tellPartial() { r.rack.SetPartial(!r.complete) }

func (r *ownedRack) forgetRefused(now time.Time) {
	for id, until := range r.refused {
		if now.After(until) {
			delete(r.refused, id)
		}
	}
}

func (r *ownedRack) reportOf(id task.AttemptID, p *placement) decision.Report {
	return decision.Report{
		Status: p.status, Attempt: id, Rack: r.name, Worker: p.worker,
		Epoch: r.rack.Epoch(), Sequence: r.rack.Sequence(),
		Outcome: p.outcome, Body: p.body, Used: p.used,
	}
}

// full reports whether too many ends wait to be acknowledged.
func (r *ownedRack) full() bool {
	return r.ended >= MaxPendingEnds || r.endedBytes >= MaxPendingEndBytes
}

// forget drops an attempt whose end is acknowledged.
func (r *ownedRack) forget(id task.AttemptID, p *placement) {
	delete(r.attempts, id)
	r.ended--
	r.endedBytes -= len(p.body)
	if p.onlyHere {
		r.lost--
		r.tellDoubt()
	}
}
