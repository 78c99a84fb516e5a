package member_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/member"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// host is a member that renews its lease and reads the other rows, as an entry host does.
type host struct {
	table  tablestore.Table
	lease  *member.Lease
	roster member.Roster
	// paused makes the host do nothing.
	paused bool
}

func newHost(table tablestore.Table, id, region string) *host {
	return &host{table: table, lease: member.NewLease(table, member.Member{ID: id, Instance: id + "-1", Region: region})}
}

// runOnce renews the lease, refreshes the roster and fences, once each.
func (h *host) runOnce() error {
	if h.paused {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := h.lease.Renew(ctx, member.LeaseDuration); err != nil {
		return err
	}
	if err := h.roster.Refresh(ctx, h.table); err != nil {
		return err
	}
	_, err := h.roster.Fence(ctx, h.table, h.lease.Member())
	return err
}

// runAll calls runOnce on every host in each heartbeat interval for the given time.
func runAll(hosts []*host, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(member.HeartbeatInterval) {
		for _, h := range hosts {
			_ = h.runOnce()
		}
	}
}

func newCell(t *testing.T, n int) (*platformstandin.Server, []*host) {
	server := platformstandin.New()
	var hosts []*host
	for i := range n {
		hosts = append(hosts, newHost(server.Direct(), fmt.Sprintf("e%d", i+1), "centro"))
	}
	runAll(hosts, 5*time.Second)
	for _, h := range hosts {
		qt.Assert(t, h.roster.Refresh(context.Background(), h.table), qt.IsNil)
		qt.Assert(t, h.roster.Active(), qt.HasLen, n)
	}
	return server, hosts
}

// withCell runs a test in a bubble of package synctest, with n members that have joined
// and read each other's rows.
func withCell(t *testing.T, n int, test func(c *qt.C, server *platformstandin.Server, hosts []*host)) {
	synctest.Test(t, func(t *testing.T) {
		server, hosts := newCell(t, n)
		test(qt.New(t), server, hosts)
	})
}

// TestOutageFencesNobody checks that no member is fenced because the table was down or
// hung, or its writes hung, for less or more than a lease.
func TestOutageFencesNobody(t *testing.T) {
	for name, f := range map[string]platformstandin.Faults{
		"Down": {TableDown: true}, "Hangs": {TableHangs: true}, "WritesHang": {WritesHang: true},
	} {
		for _, length := range []time.Duration{4 * time.Second, 10 * time.Minute} {
			t.Run(fmt.Sprintf("%s/%v", name, length), func(t *testing.T) {
				withCell(t, 3, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
					server.SetFaults(f)
					runAll(hosts, length)
					for _, h := range hosts {
						c.Assert(h.roster.Active(), qt.HasLen, 3)
						if length > member.LeaseDuration {
							c.Assert(h.lease.ValidFor(0), qt.IsFalse)
						}
					}
					server.SetFaults(platformstandin.Faults{})
					runAll(hosts, time.Minute)
					for _, h := range hosts {
						c.Assert(h.roster.Active(), qt.HasLen, 3)
						c.Assert(h.lease.Member().Instance, qt.Equals, h.lease.Member().ID+"-1")
						c.Assert(h.lease.ValidFor(0), qt.IsTrue)
					}
				})
			})
		}
	}
}

// TestPausedMemberIsFencedAndRejoins checks that a paused member is fenced only after its
// own lease has expired, fences nobody when it resumes, and rejoins as another instance.
func TestPausedMemberIsFencedAndRejoins(t *testing.T) {
	withCell(t, 3, func(c *qt.C, _ *platformstandin.Server, hosts []*host) {
		pausedHost := hosts[0]
		pausedHost.paused = true
		start := time.Now()
		for hosts[1].roster.MayOwn("e1", "e1-1") {
			runAll(hosts, member.HeartbeatInterval)
		}
		t.Logf("fenced after %v", time.Since(start))
		c.Assert(pausedHost.lease.ValidFor(0), qt.IsFalse)
		c.Assert(time.Since(start) < 10*time.Second, qt.IsTrue)
		runAll(hosts, time.Hour)
		pausedHost.paused = false
		err := pausedHost.runOnce()
		c.Assert(errors.Is(err, member.ErrFenced), qt.IsTrue, qt.Commentf("%v", err))
		pausedHost.lease.Rejoin("e1-2")
		runAll(hosts, 5*time.Second)
		for _, h := range hosts {
			c.Assert(h.roster.Active(), qt.HasLen, 3)
			c.Assert(h.roster.MayOwn("e1", "e1-1"), qt.IsFalse)
			c.Assert(h.roster.MayOwn("e1", "e1-2"), qt.IsTrue)
		}
	})
}

// TestOlderProcessIsReplaced checks that the lease of the older of two processes with the
// same host name is replaced.
func TestOlderProcessIsReplaced(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		successor := member.NewLease(server.Direct(), member.Member{ID: "e1", Instance: "heir", Region: "centro"})
		c.Assert(successor.Renew(context.Background(), member.LeaseDuration), qt.IsNil)
		err := hosts[0].runOnce()
		c.Assert(errors.Is(err, member.ErrReplaced), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(hosts[0].lease.ValidFor(0), qt.IsFalse)
		c.Assert(successor.Renew(context.Background(), member.LeaseDuration), qt.IsNil)
	})
}

// TestGoneMemberStaysGone checks that a late renewal can't bring back a host that stops,
// whether it left or was fenced while leaving.
func TestGoneMemberStaysGone(t *testing.T) {
	withCell(t, 3, func(c *qt.C, _ *platformstandin.Server, hosts []*host) {
		left, fenced, observer := hosts[0], hosts[1], hosts[2]
		c.Assert(left.lease.Release(context.Background()), qt.IsNil)
		fenced.lease.Drain()
		c.Assert(fenced.runOnce(), qt.IsNil)
		fenced.paused = true
		runAll([]*host{observer}, 10*time.Second)
		fenced.paused = false
		for _, h := range []*host{left, fenced} {
			for range 3 {
				c.Assert(h.runOnce(), qt.IsNotNil)
				h.lease.Rejoin("again")
			}
		}
		c.Assert(observer.runOnce(), qt.IsNil)
		c.Assert(observer.roster.Active(), qt.HasLen, 1)
	})
}

// TestPartitionedRegionKeepsItsMembers checks that members of a region that was
// partitioned from the table keep their instances once the partition ends.
func TestPartitionedRegionKeepsItsMembers(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		remote := newHost(server.Direct(), "f1", "austral")
		all := append(hosts, remote)
		runAll(all, 5*time.Second)
		remote.paused = true
		runAll(all, time.Hour)
		c.Assert(hosts[0].roster.Active(), qt.HasLen, 2)
		remote.paused = false
		runAll(all, 5*time.Second)
		c.Assert(hosts[0].roster.Active(), qt.HasLen, 3)
		c.Assert(remote.lease.Member().Instance, qt.Equals, "f1-1")
	})
}

// TestLostResponseExtendsNoLease checks that a lease expires on the member's clock no
// later than on that of an observer of its row, even if the response of a renewal was
// lost.
func TestLostResponseExtendsNoLease(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		late, observer := hosts[0], hosts[1]
		server.SetFaults(platformstandin.Faults{WritesHang: true})
		c.Assert(late.runOnce(), qt.IsNotNil)
		server.SetFaults(platformstandin.Faults{})
		for range 10 {
			c.Assert(observer.runOnce(), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		// This renewal finds the row as written by the one whose response was lost.
		_ = late.runOnce()
		for observer.roster.MayOwn("e1", "e1-1") {
			c.Assert(observer.runOnce(), qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(late.lease.ValidFor(0), qt.IsFalse)
	})
}

// TestRenewalsStayWithinWriteBudget checks that the renewals of any number of members
// stay within the budget of writes per second.
func TestRenewalsStayWithinWriteBudget(t *testing.T) {
	for _, n := range []int{1, 8, 60, 100, 1000, 6800} {
		perSecond := float64(n) / member.RenewalInterval(n).Seconds()
		qt.Assert(t, perSecond <= tablestore.HeartbeatWriteBudget, qt.IsTrue, qt.Commentf("%d members: %v", n, perSecond))
	}
	qt.Assert(t, member.RenewalInterval(8), qt.Equals, member.HeartbeatInterval)
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"ID":"e1","Instance":"x","State":"Active","Beat":3,"Lease":6000000000}`))
	f.Add([]byte(`{"ID":"e1","Lease":-1}`))
	f.Add([]byte(`{`))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := member.Decode(data)
		if err == nil && (m.ID == "" || m.Lease < member.LeaseDuration) {
			t.Fatalf("%+v", m)
		}
	})
}
