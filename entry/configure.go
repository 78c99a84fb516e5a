package entry

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillaquay/vanillaquay/configuration"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/peer"
	"github.com/vanillaquay/vanillaquay/rackowner"
	"github.com/vanillaquay/vanillaquay/ring"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
)

// Timing of configuration updates. A change is in force within one poll interval and
// one table timeout, even if no push arrives.
const (
	// minConfigInterval and maxConfigInterval bound the interval between two polls of
	// the row. With the longest interval and the timeout, a change is in force within
	// 4 s at a host that no push reaches.
	minConfigInterval = time.Second
	maxConfigInterval = 2 * time.Second
	// configTimeout bounds one poll, so that a hung read does not delay the next.
	configTimeout = time.Second
	// minPushInterval is the least interval between two pushes of a version over one
	// connection. Over one connection a push is lost only if the receiver's queue is
	// full.
	minPushInterval = 5 * time.Second
)

// configureDuty puts configurations into force one after another, so that the effects
// of a lower version never follow those of a higher one. The configuration in force is
// read by many goroutines and kept in Host.config.
type configureDuty struct {
	host *Host
	// readRequested holds a value if the row is to be read at once.
	readRequested *ring.Ring[struct{}]

	// loaded reports whether the row has been read since the process started.
	loaded atomic.Bool
	// applying serialises the effects of configurations.
	applying sync.Mutex

	mu sync.Mutex
	// appliedVersions holds the highest version that each other member has
	// acknowledged.
	appliedVersions map[string]uint64
	// pushed holds the last version sent to each member over its current connection.
	pushed map[string]push
	// appliedChanged is closed and replaced when appliedVersions changes.
	appliedChanged chan struct{}
}

// push records when a version was sent to a member.
type push struct {
	version uint64
	at      time.Time
}

func newConfigureDuty(h *Host) *configureDuty {
	return &configureDuty{
		host: h, readRequested: ring.New[struct{}](1), appliedVersions: map[string]uint64{}, pushed: map[string]push{}, appliedChanged: make(chan struct{}),
	}
}

// run polls the row at every interval. Pushes from other members are applied
// concurrently, so that a slow table does not delay them.
func (d *configureDuty) run(ctx context.Context) error {
	for {
		start := time.Now()
		d.poll(ctx)
		// The time that the poll took counts towards the interval.
		if !d.waitNext(ctx, jitter(d.interval())-time.Since(start)) {
			return nil
		}
	}
}

// triggerRead makes the duty read the row at once. Requests that are already pending
// are merged.
func (d *configureDuty) triggerRead() { _ = d.readRequested.TryPut(struct{}{}) }

// waitNext waits until the next poll is due. It reports false if the context has ended.
func (d *configureDuty) waitNext(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	case <-d.readRequested.Values():
		return true
	}
}

// interval returns the interval between two polls. It grows with the number of members,
// up to maxConfigInterval, to keep their reads within the table's read budget.
func (d *configureDuty) interval() time.Duration {
	stretched := time.Duration(d.host.roster.Count()) * readsPerScan * time.Second / tablestore.ReadBudget
	return min(max(stretched, minConfigInterval), maxConfigInterval)
}

func (d *configureDuty) poll(ctx context.Context) {
	start := time.Now()
	defer func() { d.host.racks.recordRead(rackowner.ReadDrained, start) }()
	pollCtx, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	c, err := d.host.configRegister().Read(pollCtx)
	if err != nil {
		if ctx.Err() == nil {
			d.host.log.Warnf("Configuration: reading the row failed, the version in force stays: %v.", err)
		}
		return
	}
	d.apply(c)
	d.loaded.Store(true)
}

// apply puts a configuration into force, unless its version is 0 or not higher than the
// one in force.
func (d *configureDuty) apply(c configuration.Configuration) {
	h := d.host
	d.applying.Lock()
	defer d.applying.Unlock()
	if old := h.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	if c.Version == 0 {
		return
	}
	h.config.Store(&c)
	teams := decision.TeamsChanged{}
	for name, t := range c.Teams {
		teams.Teams = append(teams.Teams, decision.Team{
			Name: name, Quota: t.Quota.TaskSize(), Weight: t.Weight, Partitions: h.layout.TeamPartitions(name, t.Home, t.Shards),
		})
	}
	h.decide.put(teams)
	h.racks.setDrained(c.Drained)
	h.log.WithField("Version", c.Version).Info("Configuration: new version in force.")
}

// receive applies a configuration pushed by another member and acknowledges it with the
// version in force here.
func (d *configureDuty) receive(from string, m peer.Configuration) {
	c, err := configuration.Decode(m.Row)
	if err != nil {
		d.host.log.Warnf("Configuration: ignored an invalid configuration pushed by %s: %v.", from, err)
		return
	}
	d.apply(c)
	d.acknowledge(from)
}

// onConnected acknowledges the version in force here to a member over a new connection.
func (d *configureDuty) onConnected(member string) {
	d.mu.Lock()
	delete(d.pushed, member)
	d.mu.Unlock()
	d.acknowledge(member)
}

// acknowledge sends a member the version in force here. If the connection is lost, it
// is sent again over the next one.
func (d *configureDuty) acknowledge(to string) {
	_ = d.host.hub.SendLatest(to, peer.KindApplied, func() (any, bool) {
		version := d.host.configuration().Version
		return peer.Applied{Version: version}, version > 0
	})
}

// receiveApplied records the version that another member has applied. If it is higher
// than the one in force here, the row is read at once.
func (d *configureDuty) receiveApplied(from string, m peer.Applied) {
	if m.Version > d.host.configuration().Version {
		d.triggerRead()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.appliedVersions[from] >= m.Version {
		return
	}
	d.appliedVersions[from] = m.Version
	close(d.appliedChanged)
	d.appliedChanged = make(chan struct{})
}

// listBehind returns the active members that have not acknowledged a version, and a
// channel that is closed at the next acknowledgement.
func (d *configureDuty) listBehind(version uint64) ([]string, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for _, m := range d.host.roster.Active() {
		if m.ID != d.host.name && d.appliedVersions[m.ID] < version {
			names = append(names, m.ID)
		}
	}
	if d.host.configuration().Version < version {
		names = append(names, d.host.name)
	}
	return names, d.appliedChanged
}

// push offers the configuration in force to the given members.
func (d *configureDuty) push(members []string) {
	for _, name := range members {
		if name == d.host.name {
			continue
		}
		if err := d.host.hub.SendLatest(name, peer.KindConfiguration, func() (any, bool) { return d.configurationFor(name) }); err != nil {
			d.host.log.Debugf("Configuration: push to %s failed: %v.", name, err)
		}
	}
}

// configurationFor returns the configuration in force as a message to a member and
// records the push. It returns false if the member has acknowledged the version, or if
// it was pushed over the current connection less than minPushInterval ago.
func (d *configureDuty) configurationFor(member string) (peer.Configuration, bool) {
	c := d.host.configuration()
	row, err := json.Marshal(c)
	if err != nil {
		d.host.log.Errorf("Configuration: encoding the configuration failed: %v.", err)
		return peer.Configuration{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if last := d.pushed[member]; d.appliedVersions[member] >= c.Version || last.version >= c.Version && time.Since(last.at) < minPushInterval {
		return peer.Configuration{}, false
	}
	d.pushed[member] = push{version: c.Version, at: time.Now()}
	return peer.Configuration{Row: row}, true
}

// awaitApplied pushes the configuration until every active member has applied a
// version. If the context ends first, it returns the members that have not.
func (d *configureDuty) awaitApplied(ctx context.Context, version uint64) []string {
	// Recently joined members count too. If the table does not answer, the members
	// already known are used.
	if err := d.host.roster.Refresh(ctx, d.host.platform); err != nil {
		d.host.log.Warnf("Configuration: reading the members failed, using the known ones: %v.", err)
	}
	for {
		behind, changed := d.listBehind(version)
		if len(behind) == 0 {
			return nil
		}
		d.push(behind)
		select {
		case <-ctx.Done():
			return behind
		case <-changed:
		case <-time.After(minConfigInterval):
		}
	}
}

// configRegister returns the register that reads and changes the configuration row.
func (h *Host) configRegister() configuration.Register {
	return configuration.Register{Table: h.platform}
}

// Apply puts a configuration into force, unless a higher version is.
func (h *Host) Apply(c configuration.Configuration) { h.configure.apply(c) }

// InForce returns the configuration that the host applies.
func (h *Host) InForce() configuration.Configuration { return h.configuration() }

// configuration returns the configuration in force.
func (h *Host) configuration() configuration.Configuration {
	if c := h.config.Load(); c != nil {
		return *c
	}
	return configuration.Configuration{}
}

// drained reports whether operators want this host to hand over what it owns.
func (h *Host) drained() bool { return slices.Contains(h.configuration().DrainedHosts, h.name) }

// partitionOf returns the partition that holds a piece of work.
func (h *Host) partitionOf(k task.Key) string {
	t := h.configuration().Teams[k.Team]
	return h.layout.PartitionOf(k, t.Home, t.Shards)
}
