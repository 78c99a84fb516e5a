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
	// rackRing is the number of messages that wait.
	rackRing = 16384
	// tellLimit is the most messages that are handled before digests are told.
	tellLimit = 64
	// pauseLimit is the time without a turn of the duty after which the process
	// counts as paused. It leaves time of the two seconds after which a worker
	// that leaves receives nothing new.
	pauseLimit = time.Second
)

// rackDuty drives the owner of the racks of this host.
type rackDuty struct {
	host  *Host
	in    *ring.Ring[func(now time.Time)]
	owner *rackowner.Owner
	// links and turned belong to the goroutine of run.
	links workerLinks
	// turned is when run last had a turn.
	turned time.Time
	// questions are functions that the duty runs, to tell its state.
	questions *ring.Ring[func()]

	mu sync.Mutex
	// hosts is the platform's list of workers as last read.
	hosts []tablestore.Host
	// drained holds the workers that operators drain.
	drained map[string]bool
	// owned holds the epochs under which this host owns racks.
	owned map[string]uint64
}

func newRackDuty(h *Host) *rackDuty {
	d := &rackDuty{host: h, in: ring.New[func(time.Time)](rackRing), questions: ring.New[func()](questionRing), owned: map[string]uint64{}}
	d.links.duty = d
	d.owner = rackowner.New(d, &h.claims)
	return d
}

// put hands a message to the duty, waiting for room.
func (d *rackDuty) put(message func(now time.Time)) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := d.in.Put(ctx, message); err != nil {
		d.host.log.Errorf("Rack: a message was dropped: %v.", err)
	}
}

// take accepts a command of another member.
func (d *rackDuty) take(from string, c peer.Command) {
	d.put(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// tryTake accepts a command of this host, unless the ring is full.
func (d *rackDuty) tryTake(from string, c peer.Command) error {
	return d.in.TryPut(func(now time.Time) { d.owner.HandleCommand(now, from, c) })
}

// saw takes the digest of another member, which may own a rack by now that this
// host believes to own.
func (d *rackDuty) saw(digest rack.Digest) {
	d.put(func(now time.Time) {
		if d.owner.HandleDigest(now, digest) {
			d.yielded(digest.Rack, digest.Epoch)
		}
	})
}

// surpassed gives up a rack that another member owns under a higher epoch.
func (d *rackDuty) surpassed(name string, epoch uint64) {
	d.put(func(time.Time) {
		if d.owner.ReleaseIfSuperseded(name, epoch) {
			d.yielded(name, epoch)
		}
	})
}

// yielded notes that a rack was given up to another owner.
func (d *rackDuty) yielded(name string, epoch uint64) {
	d.disown(name)
	d.host.digests.drop(name)
	d.host.log.Warnf("Rack: %s has another owner under epoch %d.", name, epoch)
}

func (d *rackDuty) setHosts(hosts []tablestore.Host) {
	d.mu.Lock()
	d.hosts = hosts
	d.mu.Unlock()
	d.relist()
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
	d.relist()
}

// relist hands the list and the drained workers to the owner, once there is a
// list.
func (d *rackDuty) relist() {
	d.mu.Lock()
	hosts, drained := d.hosts, d.drained
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
	d.host.witnesses.registry.RecordEpochs(map[string]uint64{name: claim.Epoch})
	d.put(func(now time.Time) { d.owner.ClaimAfter(now, name, claim.Epoch, claim.LastDecidingEpoch()) })
}

// release stops deciding for a rack and returns when nothing more is sent.
func (d *rackDuty) release(name string) {
	d.disown(name)
	done := make(chan struct{})
	d.put(func(time.Time) {
		d.owner.Release(name)
		d.host.digests.drop(name)
		close(done)
	})
	select {
	case <-done:
	case <-time.After(stopTimeout):
		d.host.log.Errorf("Rack: %s was not released in time.", name)
	}
}

func (d *rackDuty) owns(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.owned[name]
	return ok
}

func (d *rackDuty) disown(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.owned, name)
}

// epochs returns the racks that this host owns with their epochs.
func (d *rackDuty) epochs() map[string]uint64 {
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
		case message := <-d.in.Values():
			d.turn(time.Now())
			message(time.Now())
		case ask := <-d.questions.Values():
			ask()
		case <-ticker.C:
			d.turn(time.Now())
			d.owner.Tick(time.Now())
		}
		untold++
		if d.in.Depth() == 0 || untold >= tellLimit {
			d.owner.PublishDigests()
			untold = 0
		}
	}
}

// turn notes that the duty has a turn. If there was none for long, the process was
// paused: what the owner knows of workers that leave is read anew before it starts
// anything.
func (d *rackDuty) turn(now time.Time) {
	idle := now.Sub(d.turned)
	paused := !d.turned.IsZero() && idle > pauseLimit
	d.turned = now
	if !paused {
		return
	}
	d.host.log.Warnf("Rack: the process was paused for %v.", idle)
	d.owner.HandlePause(now)
	d.host.owning.tell()
	d.host.configure.tell()
}

// tried tells the owner that a read has ended that began at the given time.
func (d *rackDuty) tried(r rackowner.ReadKind, began time.Time) {
	d.put(func(time.Time) { d.owner.RecordRead(r, began) })
}
