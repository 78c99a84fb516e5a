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

// Limits of the duty that decides for racks.
const (
	// rackQueueSize is the capacity of the message queue.
	rackQueueSize = 16384
	// maxMessagesPerPublish bounds the messages handled before digests are published.
	maxMessagesPerPublish = 64
	// pauseThreshold is the time between two iterations of the duty above which the
	// process counts as paused. It leaves a margin, since a worker that is leaving must
	// receive no new attempts after two seconds.
	pauseThreshold = time.Second
)

// rackDuty drives the owner of this host's racks.
type rackDuty struct {
	host     *Host
	messages *ring.Ring[func(now time.Time)]
	owner    *rackowner.Owner
	// links and lastIteration belong to the goroutine of run.
	links workerLinks
	// lastIteration is when run last began to handle a message or a tick.
	lastIteration time.Time
	// queries holds functions that the duty runs, to return its state.
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

// put adds a message to the duty's queue and waits while the queue is full.
func (d *rackDuty) put(message func(now time.Time)) {
	ctx, cancel := context.WithTimeout(context.Background(), enqueueTimeout)
	defer cancel()
	if err := d.messages.Put(ctx, message); err != nil {
		d.host.log.Errorf("Rack: message queue full, message dropped: %v.", err)
	}
}

// receive queues a command from another member.
func (d *rackDuty) receive(from string, c peer.Command) {
	d.put(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// tryReceive queues a command of this host, or fails at once if the queue is full.
func (d *rackDuty) tryReceive(from string, c peer.Command) error {
	return d.messages.TryPut(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// observeDigest handles the digest of another member, which may by now own a rack that
// this host still holds.
func (d *rackDuty) observeDigest(digest rack.Digest) {
	d.put(func(now time.Time) {
		if d.owner.HandleDigest(now, digest) {
			d.recordSuperseded(digest.Rack, digest.Epoch)
		}
	})
}

// releaseIfSuperseded releases a rack that another member owns under a higher epoch.
func (d *rackDuty) releaseIfSuperseded(name string, epoch uint64) {
	d.put(func(time.Time) {
		if d.owner.ReleaseIfSuperseded(name, epoch) {
			d.recordSuperseded(name, epoch)
		}
	})
}

// recordSuperseded records that a rack was released because it has another owner.
func (d *rackDuty) recordSuperseded(name string, epoch uint64) {
	d.removeOwned(name)
	d.host.digests.markReleased(name)
	d.host.log.Warnf("Rack: %s released, another member owns it under epoch %d.", name, epoch)
}

func (d *rackDuty) setWorkers(workers []tablestore.Host) {
	d.mu.Lock()
	d.workers = workers
	d.mu.Unlock()
	d.updateWorkers()
}

// setDrained replaces the set of workers that operators drain.
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

// updateWorkers passes the list of workers and the drained workers to the owner, once a
// list has been read.
func (d *rackDuty) updateWorkers() {
	d.mu.Lock()
	workers, drained := d.workers, d.drained
	d.mu.Unlock()
	if workers != nil {
		d.put(func(now time.Time) { d.owner.UpdateWorkers(now, workers, drained) })
	}
}

// acquire starts deciding for a rack.
func (d *rackDuty) acquire(name string, claim partition.Claim) {
	d.mu.Lock()
	d.owned[name] = claim.Epoch
	d.mu.Unlock()
	d.host.witnesses.registry.RecordEpochs(map[string]uint64{name: claim.Epoch})
	d.put(func(now time.Time) { d.owner.ClaimAfter(now, name, claim.Epoch, claim.LastDecidingEpoch()) })
}

// release stops deciding for a rack and returns when no more commands are sent, or
// after enqueueTimeout.
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
		d.host.log.Errorf("Rack: releasing %s did not finish in time.", name)
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

// ownedEpochs returns the epochs of the racks that this host owns.
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
	unpublished := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case message := <-d.messages.Values():
			d.detectPause(time.Now())
			message(time.Now())
		case query := <-d.queries.Values():
			query()
		case <-ticker.C:
			d.detectPause(time.Now())
			d.owner.Tick(time.Now())
		}
		unpublished++
		if d.messages.Depth() == 0 || unpublished >= maxMessagesPerPublish {
			d.owner.PublishDigests()
			unpublished = 0
		}
	}
}

// detectPause records an iteration of the duty. If the last one was too long ago, the
// process was paused: the owner starts nothing until a read of the workers and of the
// drained ones has been tried again.
func (d *rackDuty) detectPause(now time.Time) {
	idle := now.Sub(d.lastIteration)
	paused := !d.lastIteration.IsZero() && idle > pauseThreshold
	d.lastIteration = now
	if !paused {
		return
	}
	d.host.log.Warnf("Rack: process was paused for %v, no starts until workers and drains are read again.", idle)
	d.owner.HandlePause(now)
	d.host.ownership.triggerScan()
	d.host.configure.triggerRead()
}

// recordRead tells the owner that a read begun at the given time has finished.
func (d *rackDuty) recordRead(r rackowner.ReadKind, start time.Time) {
	d.put(func(time.Time) { d.owner.RecordRead(r, start) })
}
