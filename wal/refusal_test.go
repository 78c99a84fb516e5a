package wal_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/record"
)

// outages are the faults of a table that is down: it refuses, or does not answer.
var outages = map[string]fault{"Refuses": refuses, "Drops": drops}

// TestRefusalAsksTheStoreNothing checks that what can't be recorded is refused in no
// time, and without a call, once the duty knows that the table is down or that a row
// is in doubt.
func TestRefusalAsksTheStoreNothing(t *testing.T) {
	withEach(t, outages, func(c *qt.C, s *store, o *owner, f fault) {
		s.setFault(f)
		c.Assert(o.put(record.Accept), qt.IsTrue)
		for state := o.duty.State(); state != "Down" && state != "InDoubt"; state = o.duty.State() {
			time.Sleep(time.Millisecond)
		}
		reads, writes := s.calls()
		began := time.Now()
		for range 10_000 {
			c.Assert(o.put(record.Accept), qt.IsFalse)
		}
		c.Assert(time.Since(began), qt.Equals, time.Duration(0))
		nowReads, nowWrites := s.calls()
		c.Assert([]int{nowReads, nowWrites}, qt.DeepEquals, []int{reads, writes})
		s.setFault(healthy)
		time.Sleep(4 * time.Second)
	})
}

// TestCallsOfAnOutageDoNotFollowTheLoad counts what a duty asks of a table that is
// down for a minute: the write that finds the outage and at most one read in half of
// the pause between two looks, however many entries are handed in.
func TestCallsOfAnOutageDoNotFollowTheLoad(t *testing.T) {
	const (
		outage = time.Minute
		// shortestPause is half of the journal's pause between two looks.
		shortestPause = 125 * time.Millisecond
		mostReads     = int(outage / shortestPause)
	)
	withEach(t, map[string]int{"One": 1, "Hundred": 100}, func(c *qt.C, s *store, o *owner, load int) {
		s.setFault(refuses)
		reads, writes := s.calls()
		for began := time.Now(); time.Since(began) < outage; time.Sleep(10 * time.Millisecond) {
			for range load {
				o.put(record.Accept)
			}
		}
		nowReads, nowWrites := s.calls()
		c.Logf("%d reads and %d writes in %v", nowReads-reads, nowWrites-writes, outage)
		c.Check(nowWrites-writes, qt.Equals, 1)
		c.Check(nowReads-reads <= mostReads, qt.IsTrue, qt.Commentf("%d reads", nowReads-reads))
		s.setFault(healthy)
		time.Sleep(4 * time.Second)
		c.Check(o.put(record.Accept), qt.IsTrue)
	})
}
