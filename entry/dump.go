package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/ring"
)

// Bounds on queries to a duty.
const (
	// queryQueueSize is the number of queries that may wait for one duty.
	queryQueueSize = 16
	// queryTimeout bounds the time until a duty has run a query.
	queryTimeout = 2 * time.Second
)

// runQuery makes a duty run a function between two of its steps, so that the function
// may read the duty's state. It reports whether the function has run.
func runQuery(ctx context.Context, queries *ring.Ring[func()], query func()) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	done := make(chan struct{})
	if err := queries.Put(ctx, func() { query(); close(done) }); err != nil {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Dump implements operator.EntryHost.
func (o operators) Dump(ctx context.Context, limit int) operator.Dump {
	self := o.lease.Member()
	d := operator.Dump{
		Host: o.name, At: time.Now().UTC(),
		Lease:                operator.Lease{State: self.State, Valid: o.lease.ValidFor(0), Beat: self.Beat},
		ConfigurationVersion: o.configuration().Version,
		Drained:              o.drained(),
		Queues:               o.queues(),
	}
	members := o.roster.Active()
	d.Members, d.MembersTotal = firstOf(members, limit), len(members)
	partitions := o.journals.describe()
	d.Partitions, d.PartitionsTotal = firstOf(partitions, limit), len(partitions)
	d.Calls, d.Forwarded = o.calls.counts()
	o.dumpWork(ctx, limit, &d)
	o.dumpRacks(ctx, limit, &d)
	return d
}

func (o operators) dumpWork(ctx context.Context, limit int, d *operator.Dump) {
	answer := make(chan decision.Description, 1)
	if !runQuery(ctx, o.decide.queries, func() { answer <- o.decide.core.Describe(limit) }) {
		d.Missing = append(d.Missing, "Decision")
		return
	}
	d.Work = <-answer
}

func (o operators) dumpRacks(ctx context.Context, limit int, d *operator.Dump) {
	answer := make(chan []operator.Rack, 1)
	if !runQuery(ctx, o.racks.queries, func() { answer <- o.racks.describe() }) {
		d.Missing = append(d.Missing, "Rack")
		return
	}
	racks := <-answer
	d.Racks, d.RacksTotal = firstOf(racks, limit), len(racks)
}

// describe returns the owned racks in order of name. Only the rack duty may call it.
func (d *rackDuty) describe() []operator.Rack {
	var racks []operator.Rack
	for _, r := range d.owner.Describe() {
		racks = append(racks, operator.Rack{
			State: r.State, Name: r.Digest.Rack, Epoch: r.Digest.Epoch, Attempts: r.Attempts, Workers: r.Digest.Workers,
		})
	}
	return racks
}

// describe returns the owned partitions in order of name.
func (j *journals) describe() []operator.Partition {
	j.mu.Lock()
	defer j.mu.Unlock()
	var partitions []operator.Partition
	for name, k := range j.partitions {
		partitions = append(partitions, operator.Partition{Name: name, Epoch: k.epoch, Ready: k.writer.IsOpen(), Waiting: k.writer.QueuedEntries()})
	}
	slices.SortFunc(partitions, func(a, b operator.Partition) int { return cmp.Compare(a.Name, b.Name) })
	return partitions
}

// counts returns the number of open calls of this host's callers and of other members.
func (c *calls) counts() (local, forwarded int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open), len(c.remote)
}

func firstOf[T any](values []T, limit int) []T { return values[:min(len(values), limit)] }
