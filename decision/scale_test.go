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
	// running holds the running attempts, the oldest first.
	running    []decision.Command
	lastCaller int
	// applyTimes holds the duration of each call of Apply if recordTimes is
	// set.
	recordTimes   bool
	applyTimes    []time.Duration
	pendingEvents []decision.Event
	// started is when each running attempt started.
	started map[task.AttemptID]time.Time
	// ignoresCheckpoint makes attempts continue after a checkpoint.
	ignoresCheckpoint bool
	// verbs lists the verbs of all commands.
	verbs []decision.Verb
	// replies holds the last answer to each caller.
	replies map[uint64]task.Answer
}

// newCell returns a cell with eight workers per rack.
func newCell(workers int) *cell {
	return newCellWith(workers, decision.Options{Region: "centro", DiscoveryPeriod: -1})
}

func newCellWith(workers int, o decision.Options) *cell {
	c := &cell{core: decision.New(o), now: startTime,
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

// apply applies an event and carries out the resulting actions.
func (c *cell) apply(e decision.Event) {
	c.pendingEvents = append(c.pendingEvents[:0], e)
	for i := 0; i < len(c.pendingEvents); i++ {
		begin := time.Now()
		actions := c.core.Apply(c.now, c.pendingEvents[i])
		if c.recordTimes {
			c.applyTimes = append(c.applyTimes, time.Since(begin))
		}
		for _, a := range actions {
			c.perform(a)
		}
	}
}

func (c *cell) perform(a decision.Action) {
	switch a := a.(type) {
	case decision.Record:
		c.pendingEvents = append(c.pendingEvents, decision.Recorded{Token: a.Token})
	case decision.Command:
		c.execute(a)
	case decision.Reply:
		c.replies[a.Caller] = a.Answer
	}
}

func (c *cell) execute(a decision.Command) {
	c.verbs = append(c.verbs, a.Verb)
	if a.Verb == decision.Checkpoint && c.ignoresCheckpoint {
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
			c.addRunning(a)
		}
	case decision.Confirm:
		report.Worker, report.Status = a.Worker, decision.Placed
		c.addRunning(a)
	case decision.Withdraw, decision.Checkpoint:
		r.Release(a.Attempt)
		report.Status, report.Outcome, report.Worker = decision.Ended, task.Stopped, a.Worker
		c.running = slices.DeleteFunc(c.running, func(o decision.Command) bool { return o.Attempt == a.Attempt })
		c.pendingEvents = append(c.pendingEvents, decision.DigestChanged{Digest: r.Digest()})
	default:
		return
	}
	report.Sequence = r.Sequence()
	c.pendingEvents = append(c.pendingEvents, report)
}

func (c *cell) addRunning(a decision.Command) {
	c.running = append(c.running, a)
	c.started[a.Attempt] = c.now
}

// submit submits work and returns the number of the caller.
func (c *cell) submit(w task.Work) uint64 {
	c.lastCaller++
	w.ID = fmt.Sprintf("w%d", c.lastCaller)
	c.apply(decision.Submitted{Caller: uint64(c.lastCaller), Wait: true, Partition: "p", Work: w})
	return uint64(c.lastCaller)
}

// usage returns the usage of each team's running attempts.
func (c *cell) usage() map[string]task.Size {
	used := map[string]task.Size{}
	for _, a := range c.running {
		team := a.Attempt.Work.Team
		used[team] = used[team].Plus(a.Size)
	}
	return used
}

// endOldest ends the attempt that has run longest.
func (c *cell) endOldest() { c.endAttempt(0, task.Succeeded, task.Size{}) }

// endAttempt ends a running attempt.
func (c *cell) endAttempt(i int, outcome task.Outcome, used task.Size) {
	a := c.running[i]
	c.running = slices.Delete(c.running, i, i+1)
	delete(c.started, a.Attempt)
	r := c.racks[a.Rack]
	r.Release(a.Attempt)
	c.apply(decision.Report{Status: decision.Ended, Attempt: a.Attempt, Rack: a.Rack, Worker: a.Worker,
		Epoch: 1, Sequence: r.Sequence(), Outcome: outcome, Used: used})
	c.apply(decision.DigestChanged{Digest: r.Digest()})
}

// run advances time in steps of 100 ms; attempts end after their declared run
// time.
func (c *cell) run(d time.Duration, each func()) {
	for until := c.now.Add(d); c.now.Before(until); {
		c.advance(100 * time.Millisecond)
		for i := 0; i < len(c.running); i++ {
			a := c.running[i]
			if a.RunTime > 0 && c.now.Sub(c.started[a.Attempt]) >= a.RunTime {
				c.endAttempt(i, task.Succeeded, task.Size{})
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

// fill submits a number of batch tasks of 540 teams.
func (c *cell) fill(tasks int) {
	for i := range tasks {
		c.submit(smallWork(task.Batch, i%540))
	}
	c.advance(time.Second)
}

func (c *cell) advance(d time.Duration) {
	c.now = c.now.Add(d)
	c.apply(decision.Tick{})
}

// replaceOldest ends the oldest attempt and submits another task.
func (c *cell) replaceOldest(i int) {
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
	c.recordTimes = true
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		c.replaceOldest(i)
	}
	b.ReportMetric(float64(percentile99(c.applyTimes).Microseconds()), "p99-us")
}

// maxAllocations bounds the allocations for the whole life of a batch task.
const maxAllocations = 36

// TestAllocationsOfADecisionAreBounded covers the whole life of a batch task:
// six events, of which one makes a decision.
func TestAllocationsOfADecisionAreBounded(t *testing.T) {
	for _, workers := range []int{50, 800, 6800} {
		c := newCell(workers)
		c.fill(min(workers*4, 3200))
		i := 0
		allocations := testing.AllocsPerRun(500, func() {
			i++
			c.replaceOldest(i)
		})
		t.Logf("%d workers: %.0f allocations", workers, allocations)
		qt.Check(t, allocations <= maxAllocations, qt.IsTrue, qt.Commentf("%v", allocations))
	}
}

// queueFactor is the ratio of the queue lengths in the next two tests. The time
// may grow by a tenth of that.
const queueFactor = 100

// compareCosts alternates between a short and a long queue and compares the
// shortest times.
func compareCosts(t *testing.T, cost func(waiting int) time.Duration) {
	const waiting = 100
	short, long := time.Hour, time.Hour
	for range 5 {
		short = min(short, cost(waiting))
		long = min(long, cost(waiting*queueFactor))
	}
	t.Logf("beside %d waiting jobs: %v; beside %d: %v", waiting, short, waiting*queueFactor, long)
	qt.Assert(t, long < queueFactor/10*short, qt.IsTrue, qt.Commentf("%v against %v", long, short))
}

// blockedCell returns a full cell with a number of blocked jobs in the queue.
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

// TestLongQueueDoesNotSlowRequests runs requests beside a queue of blocked
// jobs. Events must not scan the whole queue.
func TestLongQueueDoesNotSlowRequests(t *testing.T) {
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

// TestLongQueueDoesNotSlowCancellation cancels 100 jobs of a blocked queue. A
// cancellation must not scan the whole queue.
func TestLongQueueDoesNotSlowCancellation(t *testing.T) {
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
