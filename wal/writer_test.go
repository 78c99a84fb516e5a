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
	do    string
	fault fault
	owner int
	wait  time.Duration
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		do:    rapid.SampledFrom([]string{"Accept", "Accept", "Accept", "Final", "Fault", "Objects", "Wait", "Wait", "Take", "Kill"}).Draw(t, "do"),
		fault: fault(rapid.IntRange(0, int(faults)-1).Draw(t, "fault")),
		owner: rapid.IntRange(0, 3).Draw(t, "owner"),
		wait:  time.Duration(rapid.IntRange(1, 4000).Draw(t, "wait")) * time.Millisecond,
	}
})

// TestOutcomesAreExact runs random schedules of failures, with owners that were
// replaced and go on writing, and compares what each was told about its entries
// with what a last owner recovers.
func TestOutcomesAreExact(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 5, 60).Draw(rt, "schedule")
		late := time.Duration(rapid.IntRange(1, 60).Draw(rt, "late")) * time.Second
		var fault error
		synctest.Test(t, func(*testing.T) { fault = runSchedule(schedule, late) })
		if fault != nil {
			rt.Fatal(fault)
		}
	})
}

func runSchedule(schedule []step, late time.Duration) error {
	s := newStore()
	s.late = late
	owners := []*owner{newOwner(s, 1)}
	for _, step := range schedule {
		o := owners[max(0, len(owners)-1-step.owner)]
		switch step.do {
		case "Accept", "Final":
			o.put(record.Verb(step.do))
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
	time.Sleep(late + time.Minute)
	s.wait.Wait()
	last := newOwner(s, uint64(len(owners)+1))
	time.Sleep(time.Minute)
	for _, o := range append(owners, last) {
		o.stop()
	}
	return compare(owners, last)
}

// compare checks what owners were told against what the last one recovered.
func compare(owners []*owner, last *owner) error {
	if !last.opened {
		return fmt.Errorf("the last owner did not recover")
	}
	times := map[string]int{}
	for _, e := range last.entries {
		times[string(e.Verb)+e.Key().ID]++
	}
	for _, o := range owners {
		if o.fault != nil {
			return o.fault
		}
		for token, e := range o.items {
			was, found := o.outcomes[token], times[string(e.Verb)+e.Key().ID]
			switch {
			case was.recorded+was.failed > 1:
				return fmt.Errorf("%s: token %d had more than one certain outcome: %+v", o.name, token, was)
			case found > 1:
				return fmt.Errorf("%s: token %d was recovered %d times", o.name, token, found)
			case was.recorded == 1 && found == 0:
				return fmt.Errorf("%s: token %d was recorded and is lost", o.name, token)
			case was.failed == 1 && found == 1:
				return fmt.Errorf("%s: token %d certainly failed and was recovered", o.name, token)
			}
		}
	}
	return nil
}

func TestDoubtIsSettledOnce(t *testing.T) {
	withEach(t, map[string]fault{"Loses": loses, "Drops": drops, "Delays": delays}, func(c *qt.C, s *store, o *owner, f fault) {
		s.late = 5 * time.Second
		s.setFault(f)
		c.Assert(o.put(record.Accept), qt.IsTrue)
		time.Sleep(90 * time.Millisecond)
		if f != loses {
			c.Assert(o.outcome(1), qt.Equals, outcome{doubted: true})
			c.Assert(o.put(record.Accept), qt.IsFalse)
			c.Assert(o.put(record.Final), qt.IsTrue)
		}
		time.Sleep(10 * time.Second)
		s.setFault(healthy)
		time.Sleep(10 * time.Second)
		c.Assert(o.outcome(1).recorded, qt.Equals, 1)
		c.Assert(o.outcome(1).failed, qt.Equals, 0)
		if f != loses {
			c.Assert(o.outcome(3), qt.Equals, outcome{recorded: 1})
		}
		c.Assert(o.put(record.Accept), qt.IsTrue)
		time.Sleep(time.Second)
		c.Assert(o.outcome(o.token), qt.Equals, outcome{recorded: 1})
	})
}

// TestOutageRefusesAtOnce checks that what needs a record is refused within
// 100 ms while the table is down, and that ends are kept until it is up.
func TestOutageRefusesAtOnce(t *testing.T) {
	withEach(t, outages, func(c *qt.C, s *store, o *owner, f fault) {
		s.setFault(f)
		c.Assert(o.put(record.Final), qt.IsTrue)
		for range 600 {
			o.put(record.Accept)
			token := o.token
			time.Sleep(100 * time.Millisecond)
			was := o.outcome(token)
			c.Assert(was.failed == 1 || was.doubted, qt.IsTrue, qt.Commentf("token %d: %+v", token, was))
		}
		c.Assert(o.outcome(1).recorded, qt.Equals, 0)
		s.setFault(healthy)
		time.Sleep(4 * time.Second)
		c.Assert(o.outcome(1), qt.Equals, outcome{recorded: 1})
		c.Assert(o.put(record.Accept), qt.IsTrue)
	})
}

// TestSlowStoreIsNoOutage checks that a store that is slow all the time puts
// only the first row in doubt.
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
			was := o.outcome(token)
			c.Assert(was.recorded, qt.Equals, 1)
			if was.doubted {
				doubted++
			}
		}
		c.Assert(doubted, qt.Equals, 1)
	})
}

// TestOpensWhileObjectsAreDown cuts a journal several times, half of them while the
// object store is down, and kills its owner: the next one must open it at once, with
// every entry, and the rows of replaced snapshots must be gone.
func TestOpensWhileObjectsAreDown(t *testing.T) {
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
		// The snapshot, its pointer, the fence, and at most as many rows behind it.
		c.Assert(rows < 60, qt.IsTrue, qt.Commentf("%d rows", rows))
	})
}

// TestObjectsDownDelaysCuttingOfLargeSnapshots checks that the journal goes on and
// is cut once the object store is up again, where the rows can't hold a snapshot.
func TestObjectsDownDelaysCuttingOfLargeSnapshots(t *testing.T) {
	s := newStore()
	s.objectsDown = true
	withOwner(t, s, func(c *qt.C, o *owner) {
		o.large = true
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

func TestCloseWritesWhatWasTaken(t *testing.T) {
	withOwner(t, newStore(), func(c *qt.C, o *owner) {
		for range 50 {
			c.Assert(o.put(record.Accept), qt.IsTrue)
		}
		o.duty.Close()
		<-o.done
		c.Assert(o.put(record.Final), qt.IsFalse)
		for token := range uint64(50) {
			c.Assert(o.outcome(token+1), qt.Equals, outcome{recorded: 1})
		}
	})
}
