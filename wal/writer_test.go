package wal_test

import (
	"fmt"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/record"
)

// step is one step of a schedule.
type step struct {
	action string
	fault  fault
	owner  int
	wait   time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		action: rapid.SampledFrom([]string{"Accept", "Accept", "Accept", "Final", "Fault", "Objects", "Wait", "Wait", "Take", "Kill"}).Draw(t, "do"),
		fault:  fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault")),
		owner:  rapid.IntRange(0, 3).Draw(t, "owner"),
		wait:   time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// TestOutcomesMatchRecoveredEntries guards against a writer that reports a wrong
// outcome. It runs random schedules of failures, in which replaced owners go on
// writing, and compares the outcomes reported to each owner with the entries that a
// final owner recovers.
func TestOutcomesMatchRecoveredEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 5, 60).Draw(rt, "schedule")
		delay := time.Duration(rapid.IntRange(1, 60).Draw(rt, "late")) * time.Second
		var fault error
		synctest.Test(t, func(*testing.T) { fault = runSchedule(schedule, delay) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func runSchedule(schedule []step, delay time.Duration) error {
	s := newStore()
	s.delay = delay
	owners := []*owner{newOwner(s, 1)}
	for _, step := range schedule {
		o := owners[max(0, len(owners)-1-step.owner)]
		switch step.action {
		case "Accept", "Final":
			o.put(record.Verb(step.action))
		case "Fault":
			s.setFault(step.fault)
		case "Objects":
			s.setObjectsDown(!s.objectsDown)
		case "Wait":
			time.Sleep(step.wait)
		case "Take":
			owners = append(owners, newOwner(s, uint64(len(owners)+1)))
		case "Kill":
			o.stop()
		}
	}
	s.setFault(healthy)
	s.setObjectsDown(false)
	time.Sleep(delay + time.Minute)
	s.delayedWrites.Wait()
	last := newOwner(s, uint64(len(owners)+1))
	time.Sleep(time.Minute)
	for _, o := range append(owners, last) {
		o.stop()
	}
	return compare(owners, last)
}

// compare checks the outcomes reported to owners against the entries that the last
// one recovered.
func compare(owners []*owner, last *owner) error {
	if !last.opened {
		return fmt.Errorf("the last owner did not recover")
	}
	times := map[string]int{}
	for _, e := range last.entries {
		times[string(e.Verb)+e.Key().ID]++
	}
	for _, o := range owners {
		if o.violation != nil {
			return o.violation
		}
		for token, e := range o.items {
			got, found := o.outcomes[token], times[string(e.Verb)+e.Key().ID]
			switch {
			case got.recorded+got.failed > 1:
				return fmt.Errorf("%s: token %d had more than one certain outcome: %+v", o.name, token, got)
			case found > 1:
				return fmt.Errorf("%s: token %d was recovered %d times", o.name, token, found)
			case got.recorded == 1 && found == 0:
				return fmt.Errorf("%s: token %d was recorded and is lost", o.name, token)
			case got.failed == 1 && found == 1:
				return fmt.Errorf("%s: token %d certainly failed and was recovered", o.name, token)
			}
		}
	}
	return nil
}

func TestDoubtIsResolvedOnce(t *testing.T) {
	withOwnerForEach(t, map[string]fault{"Loses": losesResponses, "Drops": dropsCalls, "Delays": delaysWrites}, func(c *qt.C, s *store, o *owner, f fault) {
		s.delay = 5 * time.Second
		s.setFault(f)
		c.Assert(o.put(record.Accept), qt.IsTrue)
		time.Sleep(90 * time.Millisecond)
		if f != losesResponses {
			c.Assert(o.outcome(1), qt.Equals, outcome{doubted: true})
			c.Assert(o.put(record.Accept), qt.IsFalse)
			c.Assert(o.put(record.Final), qt.IsTrue)
		}
		time.Sleep(10 * time.Second)
		s.setFault(healthy)
		time.Sleep(10 * time.Second)
		c.Assert(o.outcome(1).recorded, qt.Equals, 1)
		c.Assert(o.outcome(1).failed, qt.Equals, 0)
		if f != losesResponses {
			c.Assert(o.outcome(3), qt.Equals, outcome{recorded: 1})
		}
		c.Assert(o.put(record.Accept), qt.IsTrue)
		time.Sleep(time.Second)
		c.Assert(o.outcome(o.token), qt.Equals, outcome{recorded: 1})
	})
}

// TestOutageRejectsNewEntriesAtOnce checks that a new entry is rejected or in doubt
// within 100 ms while the table is down, and that a final entry is retained and
// recorded once the table is up again.
func TestOutageRejectsNewEntriesAtOnce(t *testing.T) {
	withOwnerForEach(t, outages, func(c *qt.C, s *store, o *owner, f fault) {
		s.setFault(f)
		c.Assert(o.put(record.Final), qt.IsTrue)
		for range 600 {
			o.put(record.Accept)
			token := o.token
			time.Sleep(100 * time.Millisecond)
			got := o.outcome(token)
			c.Assert(got.failed == 1 || got.doubted, qt.IsTrue, qt.Commentf("token %d: %+v", token, got))
		}
		c.Assert(o.outcome(1).recorded, qt.Equals, 0)
		s.setFault(healthy)
		time.Sleep(4 * time.Second)
		c.Assert(o.outcome(1), qt.Equals, outcome{recorded: 1})
		c.Assert(o.put(record.Accept), qt.IsTrue)
	})
}

// TestSlowStoreIsNoOutage checks that a store that is constantly slow puts only the
// first row in doubt, since the doubt timeout follows the latency.
func TestSlowStoreIsNoOutage(t *testing.T) {
	s := newStore()
	withOwner(t, s, func(c *qt.C, o *owner) {
		s.setFault(slow)
		for range 20 {
			c.Assert(o.put(record.Accept), qt.IsTrue)
			time.Sleep(2 * time.Second)
		}
		doubted := 0
		for token := range o.items {
			got := o.outcome(token)
			c.Assert(got.recorded, qt.Equals, 1)
			if got.doubted {
				doubted++
			}
		}
		c.Assert(doubted, qt.Equals, 1)
	})
}

// TestOpensWhileObjectStoreIsDown compacts a journal several times, most of them while
// the object store is down, and kills its owner. The next owner must recover every
// entry within 10 s, and the rows of replaced snapshots must have been removed.
func TestOpensWhileObjectStoreIsDown(t *testing.T) {
	s := newStore()
	withOwner(t, s, func(c *qt.C, o *owner) {
		for i := range 60 {
			if i == 20 {
				s.setObjectsDown(true)
			}
			c.Assert(o.put(record.Accept), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		rows, _ := s.size()
		o.stop()
		next := newOwner(s, 2)
		time.Sleep(10 * time.Second)
		next.stop()
		c.Assert(next.opened, qt.IsTrue)
		c.Assert(reflect.DeepEqual(next.entries, o.entries), qt.IsTrue, qt.Commentf("%d entries of %d", len(next.entries), len(o.entries)))
		// The snapshot, its pointer, the fence, and at most as many rows after it.
		c.Assert(rows < 60, qt.IsTrue, qt.Commentf("%d rows", rows))
	})
}

// TestOversizedSnapshotWaitsForObjectStore checks that, with a snapshot too large for
// rows of the table, the journal goes on while the object store is down and is
// compacted once it is up again.
func TestOversizedSnapshotWaitsForObjectStore(t *testing.T) {
	s := newStore()
	s.objectsDown = true
	withOwner(t, s, func(c *qt.C, o *owner) {
		o.oversized = true
		for range 250 {
			c.Assert(o.put(record.Accept), qt.IsTrue)
			time.Sleep(100 * time.Millisecond)
		}
		rows, _ := s.size()
		c.Assert(rows > 250, qt.IsTrue)
		s.setObjectsDown(false)
		time.Sleep(time.Minute)
		c.Assert(o.put(record.Accept), qt.IsTrue)
		time.Sleep(time.Minute)
		rows, objects := s.size()
		c.Assert(rows < 10, qt.IsTrue, qt.Commentf("%d rows", rows))
		c.Assert(objects, qt.Equals, 1)
	})
}

func TestCloseWritesQueuedEntries(t *testing.T) {
	withOwner(t, newStore(), func(c *qt.C, o *owner) {
		for range 50 {
			c.Assert(o.put(record.Accept), qt.IsTrue)
		}
		o.writer.Close()
		<-o.done
		c.Assert(o.put(record.Final), qt.IsFalse)
		for token := range uint64(50) {
			c.Assert(o.outcome(token+1), qt.Equals, outcome{recorded: 1})
		}
	})
}
