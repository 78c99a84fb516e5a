package decision_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/task"
)

// cell drives a core with racks and a journal that answer at once.
type cell struct {
	core  *decision.Core
	now   time.Time
	racks map[string]*rack.Rack
	// running holds the attempts that run, the oldest first.
	running []decision.Command
	next    int
	// costs holds the time that each call of the core took, if measured.
	measure bool
	costs   []time.Duration
	events  []decision.Event
	// started is when each running attempt began.
	started map[task.AttemptID]time.Time
	// stubborn lets attempts go on after a checkpoint.
	stubborn bool
	// verbs lists the commands.
	verbs []decision.Verb
	// replies holds the last reply to each caller.
	replies map[uint64]task.Answer
}

// newCell returns a cell with eight workers to a rack.
func newCell(workers int) *cell {
	return newCellWith(workers, decision.Options{Region: "centro", DiscoveryPeriod: -1})
}

func newCellWith(workers int, o decision.Options) *cell {
	c := &cell{core: decision.New(o), now: epoch,
		racks: map[string]*rack.Rack{}, replies: map[uint64]task.Answer{}, started: map[task.AttemptID]time.Time{}}
	for i := 0; i < workers; i += 8 {
		name := fmt.Sprintf("r%04d", i/8)
		r := rack.New(name, "centro", fmt.Sprintf("z%d", i/8%3), 1)
		for k := range min(8, workers-i) {
			r.SetWorker(fmt.Sprintf("%s-%d", name, k), rack.Up,
				task.Size{Processors: 64_000, Memory: 256 * task.Gibibyte, Slots: 64, Connections: 64})
		}
		c.racks[name] = r
		c.apply(decision.DigestChanged{Digest: r.Digest()})
	}
	c.apply(decision.PartitionRecovered{Partition: "p"})
	return c
}

// apply hands an event to the core and carries out what follows.
func (c *cell) apply(e decision.Event) {
	c.events = append(c.events[:0], e)
	for i := 0; i < len(c.events); i++ {
		begin := time.Now()
		actions := c.core.Apply(c.now, c.events[i])
		if c.measure {
			c.costs = append(c.costs, time.Since(begin))
		}
		for _, a := range actions {
			c.act(a)
		}
	}
}

func (c *cell) act(a decision.Action) {
	switch a := a.(type) {
	case decision.Record:
		c.events = append(c.events, decision.Recorded{Token: a.Token})
	case decision.Command:
		c.command(a)
	case decision.Reply:
		c.replies[a.Caller] = a.Answer
	}
}

func (c *cell) command(a decision.Command) {
	c.verbs = append(c.verbs, a.Verb)
	if a.Verb == decision.Checkpoint && c.stubborn {
		return
	}
	r := c.racks[a.Rack]
	report := decision.Report{Attempt: a.Attempt, Rack: a.Rack, Epoch: 1}
	switch a.Verb {
	case decision.Place, decision.Hold:
		v := r.Reserve(a.Attempt, a.Size, a.Worker)
		report.Worker, report.Status = v.Worker, decision.Placed
		if a.Verb == decision.Hold {
			report.Status = decision.Held
		}
		if v.Reason != "" {
			report.Status = decision.Refused
			break
		}
		if a.Verb == decision.Place {
			c.began(a)
		}
	case decision.Confirm:
		report.Worker, report.Status = a.Worker, decision.Placed
		c.began(a)
	case decision.Withdraw, decision.Checkpoint:
		r.Release(a.Attempt)
		report.Status, report.Outcome, report.Worker = decision.Ended, task.Stopped, a.Worker
		c.running = slices.DeleteFunc(c.running, func(o decision.Command) bool { return o.Attempt == a.Attempt })
		c.events = append(c.events, decision.DigestChanged{Digest: r.Digest()})
	default:
		return
	}
	report.Sequence = r.Sequence()
	c.events = append(c.events, report)
}

func (c *cell) began(a decision.Command) {
	c.running = append(c.running, a)
	c.started[a.Attempt] = c.now
}

// submit sends a piece of work and returns the number of the caller.
func (c *cell) submit(w task.Work) uint64 {
	c.next++
	w.ID = fmt.Sprintf("w%d", c.next)
	c.apply(decision.Submitted{Caller: uint64(c.next), Wait: true, Partition: "p", Work: w})
	return uint64(c.next)
}

// usage returns what the running attempts of each team take.
func (c *cell) usage() map[string]task.Size {
	used := map[string]task.Size{}
	for _, a := range c.running {
		team := a.Attempt.Work.Team
		used[team] = used[team].Plus(a.Size)
	}
	return used
}

// endOldest ends the attempt that has run for the longest.
func (c *cell) endOldest() { c.end(0, task.Succeeded, task.Size{}) }

// end ends a running attempt.
func (c *cell) end(i int, outcome task.Outcome, used task.Size) {
	a := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	delete(c.started, a.Attempt)
	r := c.racks[a.Rack]
	r.Release(a.Attempt)
	c.apply(decision.Report{Status: decision.Ended, Attempt: a.Attempt, Rack: a.Rack, Worker: a.Worker,
		Epoch: 1, Sequence: r.Sequence(), Outcome: outcome, Used: used})
	c.apply(decision.DigestChanged{Digest: r.Digest()})
}

// run lets time pass in steps; attempts end after their declared run time.
func (c *cell) run(d time.Duration, each func()) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.tickOn(100 * time.Millisecond)
		for i := 0; i < len(c.running); i++ {
			a := c.running[i]
			if a.RunTime > 0 && c.now.Sub(c.started[a.Attempt]) >= a.RunTime {
				c.end(i, task.Succeeded, task.Size{})
				i--
			}
		}
		each()
	}
}

func smallWork(kind task.Kind, team int) task.Work {
	return task.Work{Team: fmt.Sprintf("t%d", team), Kind: kind, Tasks: 1, Idempotent: true, FirstTry: true,
		Size: task.Size{Processors: 1000, Memory: task.Gibibyte}}
}

// fill runs services on the cell until so many tasks run.
func (c *cell) fill(tasks int) {
	for i := range tasks {
		c.submit(smallWork(task.Batch, i%540))
	}
	c.tickOn(time.Second)
}

func (c *cell) tickOn(d time.Duration) {
	c.now = c.now.Add(d)
	c.apply(decision.Tick{})
}

// turnover ends a task and starts another.
func (c *cell) turnover(i int) {
	c.endOldest()
	c.submit(smallWork(task.Batch, i%540))
}

// percentile99 returns the 99th percentile.
func percentile99(d []time.Duration) time.Duration {
	slices.Sort(d)
	return d[len(d)*99/100]
}

func BenchmarkTurnover50Workers(b *testing.B) { benchmarkTurnover(b, 50, 400) }

func BenchmarkTurnover6800Workers(b *testing.B) { benchmarkTurnover(b, 6800, 56_000) }

func benchmarkTurnover(b *testing.B, workers, tasks int) {
	c := newCell(workers)
	c.fill(tasks)
	c.measure = true
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.turnover(i)
	}
	b.ReportMetric(float64(percentile99(c.costs).Microseconds()), "p99-us")
}

// mostAllocations bounds the life of a batch task.
const mostAllocations = 36

// TestAllocationsOfADecisionAreBounded covers the whole life of a batch task:
// six events, of which one decides.
func TestAllocationsOfADecisionAreBounded(t *testing.T) {
	for _, workers := range []int{50, 800, 6800} {
		c := newCell(workers)
		c.fill(min(workers*4, 3200))
		i := 0
		allocations := testing.AllocsPerRun(500, func() {
			i++
			c.turnover(i)
		})
		t.Logf("%d workers: %.0f allocations", workers, allocations)
		qt.Check(t, allocations <= mostAllocations, qt.IsTrue, qt.Commentf("%v", allocations))
	}
}

// sizeFactor is how much longer the long queue is than the short one in the two
// tests that follow. The time may differ by a tenth of that.
const sizeFactor = 100

// compareCosts takes turns at the same work beside a short and a long queue and
// compares the best times.
func compareCosts(t *testing.T, cost func(waiting int) time.Duration) {
	const waiting = 100
	short, long := time.Hour, time.Hour
	for range 5 {
		short = min(short, cost(waiting))
		long = min(long, cost(waiting*sizeFactor))
	}
	t.Logf("beside %d waiting jobs: %v; beside %d: %v", waiting, short, waiting*sizeFactor, long)
	qt.Assert(t, long < sizeFactor/10*short, qt.IsTrue, qt.Commentf("%v against %v", long, short))
}

// blockedCell returns a full cell and a queue of so many blocked jobs.
func blockedCell(waiting int) *cell {
	c := newCell(48)
	big := smallWork(task.Batch, 0)
	big.Size.Processors = 40_000
	for i := range 48 + waiting {
		big.Team = fmt.Sprintf("t%d", i%20)
		c.submit(big)
	}
	return c
}

// TestWaitingWorkCostsNothing starts and ends requests beside a blocked queue.
func TestWaitingWorkCostsNothing(t *testing.T) {
	compareCosts(t, func(waiting int) time.Duration {
		c := blockedCell(waiting)
		begin := time.Now()
		for i := range 200 {
			c.submit(smallWork(task.Request, i%20))
			c.running = append(c.running[len(c.running)-1:], c.running[:len(c.running)-1]...)
			c.endOldest()
		}
		qt.Assert(t, c.core.Waiting(), qt.Equals, waiting)
		return time.Since(begin)
	})
}

// TestCancellationCostsWhatItCancels cancels a wave out of a blocked queue.
func TestCancellationCostsWhatItCancels(t *testing.T) {
	compareCosts(t, func(waiting int) time.Duration {
		c := blockedCell(waiting)
		begin := time.Now()
		for i := range 100 {
			number := 48 + waiting - i
			c.apply(decision.Cancelled{Caller: 1 << 40, Key: task.Key{Team: fmt.Sprintf("t%d", (number-1)%20), ID: fmt.Sprintf("w%d", number)}})
		}
		qt.Assert(t, c.core.Waiting(), qt.Equals, waiting-100)
		return time.Since(begin)
	})
}
