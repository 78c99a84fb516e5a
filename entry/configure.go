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

// Pace of the configuration. A change is in force within one interval and one
// timeout of the table, also if no push arrives.
const (
	// minConfigInterval is the least pause between two looks at the row, and
	// maxConfigureInterval the longest: with it and the timeout a change is in
	// force in 4 s at a host that no push reaches.
	minConfigInterval = time.Second
	maxConfigInterval = 2 * time.Second
	// configTimeout bounds one look, so that one that hangs does not hold
	// up the next.
	configTimeout = time.Second
	// minPushInterval is the least pause between two pushes of a version over one
	// connection, on which it is lost only if the receiver had no room.
	minPushInterval = 5 * time.Second
)

// configureDuty puts configurations into force, one after another, so that the
// effects of a lower version never come after those of a higher one. What is
// in force is wanted by many goroutines, so it is kept under locks.
type configureDuty struct {
	host *Host
	// readRequested holds a value if the row is to be read at once.
	readRequested *ring.Ring[struct{}]

	// loaded tells that the row was read since the start of the process.
	loaded atomic.Bool
	// applying orders the effects of configurations.
	applying sync.Mutex

	mu sync.Mutex
	// appliedVersions holds the highest version that each other member has told.
	appliedVersions map[string]uint64
	// pushed holds what was last sent to each member over its present connection.
	pushed map[string]push
	// appliedChanged is closed and replaced when applied changes.
	appliedChanged chan struct{}
}

// push is a version that was sent to a member.
type push struct {
	version uint64
	at      time.Time
}

func newConfigureDuty(h *Host) *configureDuty {
	return &configureDuty{
		host: h, readRequested: ring.New[struct{}](1), appliedVersions: map[string]uint64{}, pushed: map[string]push{}, appliedChanged: make(chan struct{}),
	}
}

// run looks at the row every interval. What other members push is applied
// meanwhile, so that a slow table does not hold it up.
func (d *configureDuty) run(ctx context.Context) error {
	for {
		began := time.Now()
		d.poll(ctx)
		// A look whose connection went silent has taken the pause already.
		if !d.waitNext(ctx, jitter(d.interval())-time.Since(began)) {
			return nil
		}
	}
}

// triggerRead makes the duty read the row at once. If it is about to already, that is
// enough.
func (d *configureDuty) triggerRead() { _ = d.readRequested.TryPut(struct{}{}) }

// waitNext waits for the next look and reports whether the context still lasts.
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

// interval returns the pause between two looks, which grows with the members so
// that their reads stay within the budget.
func (d *configureDuty) interval() time.Duration {
	stretched := time.Duration(d.host.roster.Count()) * readsPerScan * time.Second / tablestore.ReadBudget
	return min(max(stretched, minConfigInterval), maxConfigInterval)
}

func (d *configureDuty) poll(ctx context.Context) {
	began := time.Now()
	defer func() { d.host.racks.recordRead(rackowner.ReadDrained, began) }()
	looking, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	c, err := d.host.configRegister().Read(looking)
	if err != nil {
		if ctx.Err() == nil {
			d.host.log.Warnf("Configuration: the row was not read: %v.", err)
		}
		return
	}
	d.apply(c)
	d.loaded.Store(true)
}

// apply puts a configuration into force, unless a higher version is.
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
	h.log.WithField("Version", c.Version).Info("Configuration: a version is in force.")
}

// receive accepts what another member pushes and tells it what is in force here.
func (d *configureDuty) receive(from string, m peer.Configuration) {
	c, err := configuration.Decode(m.Row)
	if err != nil {
		d.host.log.Warnf("Configuration: what %s sent is not valid: %v.", from, err)
		return
	}
	d.apply(c)
	d.acknowledge(from)
}

// onConnected tells a member over a new connection which version is in force here.
func (d *configureDuty) onConnected(member string) {
	d.mu.Lock()
	delete(d.pushed, member)
	d.mu.Unlock()
	d.acknowledge(member)
}

// acknowledge tells a member which version is in force here. It tells again over
// the next connection if this one is lost.
func (d *configureDuty) acknowledge(to string) {
	_ = d.host.hub.Offer(to, peer.KindApplied, func() (any, bool) {
		version := d.host.configuration().Version
		return peer.Applied{Version: version}, version > 0
	})
}

// receiveApplied notes what another member has applied. The row is read at once if that is
// more than what is in force here.
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

// listBehind lists the active members that have not told that they apply a
// version.
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

// push lets the links to members that are behind take what is in force.
func (d *configureDuty) push(members []string) {
	for _, name := range members {
		if name == d.host.name {
			continue
		}
		if err := d.host.hub.Offer(name, peer.KindConfiguration, func() (any, bool) { return d.configurationFor(name) }); err != nil {
			d.host.log.Debugf("Configuration: %s was not told: %v.", name, err)
		}
	}
}

// configurationFor returns what is in force and notes that it was sent to a member, unless
// that was done already over the present connection.
func (d *configureDuty) configurationFor(member string) (peer.Configuration, bool) {
	c := d.host.configuration()
	row, err := json.Marshal(c)
	if err != nil {
		d.host.log.Errorf("Configuration: %v.", err)
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

// awaitApplied pushes until every active member has applied a version.
func (d *configureDuty) awaitApplied(ctx context.Context, version uint64) []string {
	// Members that joined of late count as well. Without an answer of the table
	// those that are known must do.
	if err := d.host.roster.Refresh(ctx, d.host.platform); err != nil {
		d.host.log.Warnf("Configuration: the members were not read: %v.", err)
	}
	for {
		behind, told := d.listBehind(version)
		if len(behind) == 0 {
			return nil
		}
		d.push(behind)
		select {
		case <-ctx.Done():
			return behind
		case <-told:
		case <-time.After(minConfigInterval):
		}
	}
}

// configRegister returns the row of the table.
func (h *Host) configRegister() configuration.Register {
	return configuration.Register{Table: h.platform}
}

// Apply puts a configuration into force, unless a higher version is.
func (h *Host) Apply(c configuration.Configuration) { h.configure.apply(c) }

// InForce returns the configuration that the host applies.
func (h *Host) InForce() configuration.Configuration { return h.configuration() }

// configuration returns what is in force.
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
