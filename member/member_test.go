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

// host is a member that beats and looks at the others, as an entry host does.
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

// turn lets a host beat, look and fence once; errors mean that the table is down.
func (h *host) turn() error {
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

// run gives every host a turn in each interval for the given time.
func run(hosts []*host, length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(member.HeartbeatInterval) {
		for _, h := range hosts {
			_ = h.turn()
		}
	}
}

func cell(t *testing.T, n int) (*platformstandin.Server, []*host) {
	server := platformstandin.New()
	var hosts []*host
	for i := range n {
		hosts = append(hosts, newHost(server.Direct(), fmt.Sprintf("e%d", i+1), "centro"))
	}
	run(hosts, 5*time.Second)
	for _, h := range hosts {
		qt.Assert(t, h.roster.Refresh(context.Background(), h.table), qt.IsNil)
		qt.Assert(t, h.roster.Active(), qt.HasLen, n)
	}
	return server, hosts
}

// withCell runs a test in a bubble of package synctest, with members that know each
// other.
func withCell(t *testing.T, n int, test func(c *qt.C, server *platformstandin.Server, hosts []*host)) {
	synctest.Test(t, func(t *testing.T) {
		server, hosts := cell(t, n)
		test(qt.New(t), server, hosts)
	})
}

// TestOutageFencesNobody checks that no member loses its place because the table
// was down, hung or refused writes, for less or for more than a lease.
func TestOutageFencesNobody(t *testing.T) {
	for name, f := range map[string]platformstandin.Faults{
		"Down": {TableDown: true}, "Hangs": {TableHangs: true}, "WritesHang": {WritesHang: true},
	} {
		for _, length := range []time.Duration{4 * time.Second, 10 * time.Minute} {
			t.Run(fmt.Sprintf("%s/%v", name, length), func(t *testing.T) {
				withCell(t, 3, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
					server.SetFaults(f)
					run(hosts, length)
					for _, h := range hosts {
						c.Assert(h.roster.Active(), qt.HasLen, 3)
						if length > member.LeaseDuration {
							c.Assert(h.lease.ValidFor(0), qt.IsFalse)
						}
					}
					server.SetFaults(platformstandin.Faults{})
					run(hosts, time.Minute)
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

// TestFrozenMember checks that a member that pauses is fenced only after its own
// lease has lapsed, fences nobody when it wakes, and rejoins as another instance.
func TestFrozenMember(t *testing.T) {
	withCell(t, 3, func(c *qt.C, _ *platformstandin.Server, hosts []*host) {
		frozen := hosts[0]
		frozen.paused = true
		start := time.Now()
		for hosts[1].roster.MayOwn("e1", "e1-1") {
			run(hosts, member.HeartbeatInterval)
		}
		t.Logf("fenced after %v", time.Since(start))
		c.Assert(frozen.lease.ValidFor(0), qt.IsFalse)
		c.Assert(time.Since(start) < 10*time.Second, qt.IsTrue)
		run(hosts, time.Hour)
		frozen.paused = false
		err := frozen.turn()
		c.Assert(errors.Is(err, member.ErrFenced), qt.IsTrue, qt.Commentf("%v", err))
		frozen.lease.Rejoin("e1-2")
		run(hosts, 5*time.Second)
		for _, h := range hosts {
			c.Assert(h.roster.Active(), qt.HasLen, 3)
			c.Assert(h.roster.MayOwn("e1", "e1-1"), qt.IsFalse)
			c.Assert(h.roster.MayOwn("e1", "e1-2"), qt.IsTrue)
		}
	})
}

// TestReplacedMember checks that the older of two processes of one name gives way.
func TestReplacedMember(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		heir := member.NewLease(server.Direct(), member.Member{ID: "e1", Instance: "heir", Region: "centro"})
		c.Assert(heir.Renew(context.Background(), member.LeaseDuration), qt.IsNil)
		err := hosts[0].turn()
		c.Assert(errors.Is(err, member.ErrReplaced), qt.IsTrue, qt.Commentf("%v", err))
		c.Assert(hosts[0].lease.ValidFor(0), qt.IsFalse)
		c.Assert(heir.Renew(context.Background(), member.LeaseDuration), qt.IsNil)
	})
}

// TestGoneMemberStaysGone checks that a host which stops can't come back by a
// renewal that was still to come, whether it left or was fenced while leaving.
func TestGoneMemberStaysGone(t *testing.T) {
	withCell(t, 3, func(c *qt.C, _ *platformstandin.Server, hosts []*host) {
		left, fenced, observer := hosts[0], hosts[1], hosts[2]
		c.Assert(left.lease.Release(context.Background()), qt.IsNil)
		fenced.lease.Drain()
		c.Assert(fenced.turn(), qt.IsNil)
		fenced.paused = true
		run([]*host{observer}, 10*time.Second)
		fenced.paused = false
		for _, h := range []*host{left, fenced} {
			for range 3 {
				c.Assert(h.turn(), qt.IsNotNil)
				h.lease.Rejoin("again")
			}
		}
		c.Assert(observer.turn(), qt.IsNil)
		c.Assert(observer.roster.Active(), qt.HasLen, 1)
	})
}

// TestCutRegionKeepsItsMembers checks that members of a region that is cut off
// from the table go on as they were once the cut heals.
func TestCutRegionKeepsItsMembers(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		far := newHost(server.Direct(), "f1", "austral")
		all := append(hosts, far)
		run(all, 5*time.Second)
		far.paused = true
		run(all, time.Hour)
		c.Assert(hosts[0].roster.Active(), qt.HasLen, 2)
		far.paused = false
		run(all, 5*time.Second)
		c.Assert(hosts[0].roster.Active(), qt.HasLen, 3)
		c.Assert(far.lease.Member().Instance, qt.Equals, "f1-1")
	})
}

// TestLostAnswerExtendsNoLease checks that a lease lasts no longer on the
// member's clock than on that of whoever saw its row change, whatever the answer
// of the renewal.
func TestLostAnswerExtendsNoLease(t *testing.T) {
	withCell(t, 2, func(c *qt.C, server *platformstandin.Server, hosts []*host) {
		late, observer := hosts[0], hosts[1]
		server.SetFaults(platformstandin.Faults{WritesHang: true})
		c.Assert(late.turn(), qt.IsNotNil)
		server.SetFaults(platformstandin.Faults{})
		for range 10 {
			c.Assert(observer.turn(), qt.IsNil)
			time.Sleep(500 * time.Millisecond)
		}
		// The row is found as the renewal above has left it.
		_ = late.turn()
		for observer.roster.MayOwn("e1", "e1-1") {
			c.Assert(observer.turn(), qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		c.Assert(late.lease.ValidFor(0), qt.IsFalse)
	})
}

// TestPaceOfHeartbeats checks that the renewals of any number of members stay
// within their budget.
func TestPaceOfHeartbeats(t *testing.T) {
	for _, n := range []int{1, 8, 60, 100, 1000, 6800} {
		perSecond := float64(n) / member.RenewalInterval(n).Seconds()
		qt.Assert(t, perSecond <= tablestore.HeartbeatWrites, qt.IsTrue, qt.Commentf("%d members: %v", n, perSecond))
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
