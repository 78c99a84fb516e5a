package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/partition"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/task"
)

// maxTakeoverTime bounds how long the work of a lost host may wait for a new owner.
const maxTakeoverTime = 10 * time.Second

// TestHostCutFromStoreIsReplaced cuts one host off from the table. Its neighbours must
// take over in time. Once the table is reachable again, the host must rejoin as a new
// instance and own its share again.
func TestHostCutFromStoreIsReplaced(t *testing.T) {
	t.Parallel()
	c := newCell(t, 3, 4, "centro")
	await(t, "first owners", func() bool { return c.settled(t, "e1", "e2", "e3") })
	before := c.member(t, "e1").Instance
	c.hosts["e1"].path.cut.Store(true)
	took := await(t, "neighbours took over", func() bool { return c.settled(t, "e2", "e3") })
	t.Logf("taken over after %v", took)
	qt.Assert(t, took < maxTakeoverTime, qt.IsTrue)
	c.hosts["e1"].path.cut.Store(false)
	t.Logf("back after %v", await(t, "return", func() bool { return c.settled(t, "e1", "e2", "e3") }))
	qt.Assert(t, c.member(t, "e1").Instance, qt.Not(qt.Equals), before)
}

// TestHigherEpochRestartsOwnership guards against a host that continues under an
// outdated epoch, whose commands would be rejected, after every resource moved to
// another owner and back between two of its scans.
func TestHigherEpochRestartsOwnership(t *testing.T) {
	t.Parallel()
	c := newCell(t, 1, 1, "centro")
	c.addWorker(t, "w0", "centro", "centro-r0", nil)
	await(t, "e1 owns everything", func() bool { return c.settled(t, "e1") })
	table := c.server.Direct()
	rows, err := table.List(t.Context(), "owner/", "", 1000)
	qt.Assert(t, err, qt.IsNil)
	for _, row := range rows {
		claim, err := partition.DecodeClaim(row.Value)
		qt.Assert(t, err, qt.IsNil)
		claim.Epoch += 2
		value, err := json.Marshal(claim)
		qt.Assert(t, err, qt.IsNil)
		_, err = table.Put(t.Context(), row.Key, value, row.Version)
		qt.Assert(t, err, qt.IsNil)
	}
	await(t, "decisions under the new epochs", func() bool {
		d := c.dump(t, "e1")
		old := func(epoch uint64, ready bool) bool { return epoch < 3 || !ready }
		return !slices.ContainsFunc(d.Partitions, func(p operator.Partition) bool { return old(p.Epoch, p.Ready) }) &&
			!slices.ContainsFunc(d.Racks, func(r operator.Rack) bool { return old(r.Epoch, true) })
	})
	for team := range 8 {
		await(t, "request ran", func() bool { return c.request("e1", team, fmt.Sprint("r", team), false).state == task.Ran })
	}
}

// TestOutageKeepsOwners guards against needless takeovers when the table is down, or
// hangs, for longer than a lease: every owner must stay, with its epoch. If the table
// refuses most writes instead, owners may change but must settle afterwards.
func TestOutageKeepsOwners(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]platformstandin.Faults{
		"Hangs": {TableHangs: true}, "Down": {TableDown: true}, "WritesRefused": {WritesPerSecond: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCell(t, 3, 4, "centro")
			await(t, "first owners", func() bool { return c.settled(t, "e1", "e2", "e3") })
			before := c.claims(t)
			beats := c.member(t, "e1").Beat
			c.server.SetFaults(f)
			outage := time.Now()
			await(t, "outage", func() bool { return time.Since(outage) > 9*time.Second })
			c.server.SetFaults(platformstandin.Faults{})
			await(t, "renewals", func() bool { return c.member(t, "e1").Beat > beats+3 })
			if name != "WritesRefused" {
				qt.Assert(t, c.claims(t), qt.DeepEquals, before)
			}
			await(t, "owners", func() bool { return c.settled(t, "e1", "e2", "e3") })
		})
	}
}

// TestHandOver stops and restarts eight hosts one after another. A host that stops must
// hand everything over to its successors at once, without waiting for its lease to
// lapse.
func TestHandOver(t *testing.T) {
	t.Parallel()
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	c := newCell(t, len(names), 4, "centro", "austral")
	await(t, "first owners", func() bool { return c.settled(t, names...) })
	for i, name := range names {
		start := time.Now()
		c.stop(t, name)
		var remaining []string
		remaining = append(append(remaining, names[:i]...), names[i+1:]...)
		t.Logf("%s stopped in %v", name, time.Since(start))
		qt.Assert(t, c.settled(t, remaining...), qt.IsTrue, qt.Commentf("%v", c.claims(t)))
		c.start(t, name)
		t.Logf("%s is back after %v", name, await(t, "return", func() bool { return c.settled(t, names...) }))
	}
}

// TestEightHostsLostAtOnce kills all hosts at once and starts new ones without state
// under the same names.
func TestEightHostsLostAtOnce(t *testing.T) {
	t.Parallel()
	names := []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"}
	c := newCell(t, len(names), 4, "centro", "austral")
	await(t, "first owners", func() bool { return c.settled(t, names...) })
	before := c.claims(t)
	var all sync.WaitGroup
	for _, name := range names {
		all.Go(func() { c.kill(t, name) })
	}
	all.Wait()
	qt.Assert(t, c.claims(t), qt.DeepEquals, before)
	instances := map[string]string{}
	for _, name := range names {
		instances[name] = c.member(t, name).Instance
		c.start(t, name)
	}
	took := await(t, "return", func() bool {
		for name, instance := range instances {
			if c.member(t, name).Instance == instance {
				return false
			}
		}
		return c.settled(t, names...)
	})
	t.Logf("settled after %v", took)
	qt.Assert(t, took < maxTakeoverTime, qt.IsTrue)
	for key, claim := range c.claims(t) {
		qt.Assert(t, claim.Epoch > before[key].Epoch, qt.IsTrue, qt.Commentf("%s", key))
	}
}

// TestDamagedPartitionBlocksNoOther damages the journal of one partition: that
// partition must stay closed, and all others must open.
func TestDamagedPartitionBlocksNoOther(t *testing.T) {
	t.Parallel()
	c := prepareCell(t, 1, 0, "centro")
	table := c.server.Direct()
	_, err := table.Put(context.Background(), "journal/centro-000/0000000000000001", []byte("damaged"), 0)
	qt.Assert(t, err, qt.IsNil)
	c.run(t)
	countRows := func() int {
		rows, err := table.List(context.Background(), "journal/", "", 100)
		qt.Assert(t, err, qt.IsNil)
		return len(rows)
	}
	// Each partition that opens writes a row that fences earlier owners.
	t.Logf("open after %v", await(t, "other partitions", func() bool { return countRows() == 4 }))
}
