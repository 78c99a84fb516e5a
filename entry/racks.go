package entry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Pace of the duty that decides for racks.
const (
	// rackQueueSize is the number of messages that wait.
	rackQueueSize = 16384
	// maxMessagesPerPublish is the most messages that are handled before digests are told.
	maxMessagesPerPublish = 64
	// pauseThreshold is the time without a turn of the duty after which the process
	// counts as paused. It leaves time of the two seconds after which a worker
	// that leaves receives nothing new.
	pauseThreshold = time.Second
)

// rackDuty drives the owner of the racks of this host.
type rackDuty struct {
	host     *Host
	messages *ring.Ring[func(now time.Time)]
	owner    *rackowner.Owner
	// links and turned belong to the goroutine of run.
	links workerLinks
	// lastIteration is when run last had a turn.
	lastIteration time.Time
	// queries are functions that the duty runs, to tell its state.
	queries *ring.Ring[func()]

	mu sync.Mutex
	// workers is the platform's list of workers as last read.
	workers []tablestore.Host
	// drained holds the workers that operators drain.
	drained map[string]bool
	// owned holds the epochs under which this host owns racks.
	owned map[string]uint64
}

func newRackDuty(h *Host) *rackDuty {
	d := &rackDuty{host: h, messages: ring.New[func(time.Time)](rackQueueSize), queries: ring.New[func()](queryQueueSize), owned: map[string]uint64{}}
	d.links.duty = d
	d.owner = rackowner.New(d, &h.claims)
	return d
}

// put hands a message to the duty, waiting for room.
func (d *rackDuty) put(message func(now time.Time)) {
	ctx, cancel := context.WithTimeout(context.Background(), enqueueTimeout)
	defer cancel()
	if err := d.messages.Put(ctx, message); err != nil {
		d.host.log.Errorf("Rack: a message was dropped: %v.", err)
	}
}

// receive accepts a command of another member.
func (d *rackDuty) receive(from string, c peer.Command) {
	d.put(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// tryReceive accepts a command of this host, unless the ring is full.
func (d *rackDuty) tryReceive(from string, c peer.Command) error {
	return d.messages.TryPut(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// observeDigest takes the digest of another member, which may own a rack by now that this
// host believes to own.
func (d *rackDuty) observeDigest(digest rack.Digest) {
	d.put(func(now time.Time) {
		if d.owner.HandleDigest(now, digest) {
			d.recordSuperseded(digest.Rack, digest.Epoch)
		}
	})
}

// releaseIfSuperseded gives up a rack that another member owns under a higher epoch.
func (d *rackDuty) releaseIfSuperseded(name string, epoch uint64) {
	d.put(func(time.Time) {
		if d.owner.ReleaseIfSuperseded(name, epoch) {
			d.recordSuperseded(name, epoch)
		}
	})
}

// recordSuperseded notes that a rack was given up to another owner.
func (d *rackDuty) recordSuperseded(name string, epoch uint64) {
	d.removeOwned(name)
	d.host.digests.markReleased(name)
	d.host.log.Warnf("Rack: %s has another owner under epoch %d.", name, epoch)
}

func (d *rackDuty) setWorkers(hosts []tablestore.Host) {
	d.mu.Lock()
	d.workers = hosts
	d.mu.Unlock()
	d.updateWorkers()
}

// setDrained replaces the workers that operators drain.
func (d *rackDuty) setDrained(workers []string) {
	drained := map[string]bool{}
	for _, w := range workers {
		drained[w] = true
	}
	d.mu.Lock()
	d.drained = drained
	d.mu.Unlock()
	d.updateWorkers()
}

// updateWorkers hands the list and the drained workers to the owner, once there is a
// list.
func (d *rackDuty) updateWorkers() {
	d.mu.Lock()
	hosts, drained := d.workers, d.drained
	d.mu.Unlock()
	if hosts != nil {
		d.put(func(now time.Time) { d.owner.UpdateWorkers(now, hosts, drained) })
	}
}

// claim begins to decide for a rack.
func (d *rackDuty) claim(name string, claim partition.Claim) {
	d.mu.Lock()
	d.owned[name] = claim.Epoch
	d.mu.Unlock()
	d.host.witnesses.registry.Note(map[string]uint64{name: claim.Epoch})
	d.put(func(now time.Time) { d.owner.ClaimAfter(now, name, claim.Epoch, claim.LastDecidingEpoch()) })
}

// release stops deciding for a rack and returns when nothing more is sent.
func (d *rackDuty) release(name string) {
	d.removeOwned(name)
	done := make(chan struct{})
	d.put(func(time.Time) {
		d.owner.Release(name)
		d.host.digests.markReleased(name)
		close(done)
	})
	select {
	case <-done:
	case <-time.After(enqueueTimeout):
		d.host.log.Errorf("Rack: %s was not released in time.", name)
	}
}

func (d *rackDuty) owns(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.owned[name]
	return ok
}

func (d *rackDuty) removeOwned(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owned, name)
}

// ownedEpochs returns the racks that this host owns with their epochs.
func (d *rackDuty) ownedEpochs() map[string]uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.owned)
}

func (d *rackDuty) names() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Collect(maps.Keys(d.owned))
}

func (d *rackDuty) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	defer d.links.closeAll()
	untold := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-d.messages.Values():
			d.detectPause(time.Now())
			message(time.Now())
		case ask := <-d.queries.Values():
			ask()
		case <-ticker.C:
			d.detectPause(time.Now())
			d.owner.Tick(time.Now())
		}
		untold++
		if d.messages.Depth() == 0 || untold >= maxMessagesPerPublish {
			d.owner.PublishDigests()
			untold = 0
		}
	}
}

// detectPause notes that the duty has a turn. If there was none for long, the process was
// paused: what the owner knows of workers that leave is read anew before it starts
// anything.
func (d *rackDuty) detectPause(now time.Time) {
	idle := now.Sub(d.lastIteration)
	paused := !d.lastIteration.IsZero() && idle > pauseThreshold
	d.lastIteration = now
	if !paused {
		return
	}
	d.host.log.Warnf("Rack: the process was paused for %v.", idle)
	d.owner.HandlePause(now)
	d.host.ownership.triggerScan()
	d.host.configure.triggerRead()
}

// recordRead tells the owner that a read has ended that began at the given time.
func (d *rackDuty) recordRead(r rackowner.ReadKind, began time.Time) {
	d.put(func(time.Time) { d.owner.RecordRead(r, began) })
}
