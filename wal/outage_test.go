package wal_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/record"
)

// outages are the faults of a table that is down: it rejects calls or does not respond.
var outages = map[string]fault{"Refuses": unavailable, "Drops": dropsCalls}

// TestRejectionMakesNoStoreCall checks that new entries are rejected immediately and
// without a call to the store while the table is down or a row is in doubt.
func TestRejectionMakesNoStoreCall(t *testing.T) {
	withOwnerForEach(t, outages, func(c *qt.C, s *store, o *owner, f fault) {
		s.setFault(f)
		c.Assert(o.put(record.Accept), qt.IsTrue)
		for state := o.writer.State(); state != "Down" && state != "InDoubt"; state = o.writer.State() {
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

// TestStoreCallsInOutageDoNotGrowWithLoad counts the calls to a table that is down for
// a minute: one write, which detects the outage, and at most one read per half of the
// probe interval, regardless of the number of entries put.
func TestStoreCallsInOutageDoNotGrowWithLoad(t *testing.T) {
	const (
		outage = time.Minute
		// minProbePause is the shortest pause between two probes: half of the
		// writer's probe interval, due to jitter.
		minProbePause = 125 * time.Millisecond
		maxReads      = int(outage / minProbePause)
	)
	withOwnerForEach(t, map[string]int{"One": 1, "Hundred": 100}, func(c *qt.C, s *store, o *owner, load int) {
		s.setFault(unavailable)
		reads, writes := s.calls()
		for began := time.Now(); time.Since(began) < outage; time.Sleep(10 * time.Millisecond) {
			for range load {
				o.put(record.Accept)
			}
		}
		nowReads, nowWrites := s.calls()
		c.Logf("%d reads and %d writes in %v", nowReads-reads, nowWrites-writes, outage)
		c.Check(nowWrites-writes, qt.Equals, 1)
		c.Check(nowReads-reads <= maxReads, qt.IsTrue, qt.Commentf("%d reads", nowReads-reads))
		s.setFault(healthy)
		time.Sleep(4 * time.Second)
		c.Check(o.put(record.Accept), qt.IsTrue)
	})
}
