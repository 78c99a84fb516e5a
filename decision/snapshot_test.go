package decision_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/rack"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/task"
)

// The tests of this file record in one partition and use a rack under one
// epoch.
const (
	snapshotPartition = "centro-000"
	snapshotEpoch     = 7
)

// recorder drives a core and keeps its entries.
type recorder struct {
	core *decision.Core
	now  time.Time
	// rows holds the durable entries, and unacknowledged those in flight.
	rows           []record.Entry
	unacknowledged []decision.Record
	// running holds the attempts that were placed or held, in order.
	running []decision.Command
	// endedLines holds the Settle lines of attempts that no longer run, and
	// sentLines those of attempts that the rack was asked to start or hold.
	endedLines, sentLines map[string]bool
}

func newRecorder() *recorder {
	r := &recorder{core: decision.New(decision.Options{Region: "centro"}), now: time.Unix(1_800_000_000, 0), endedLines: map[string]bool{}, sentLines: map[string]bool{}}
	capacity := task.Size{Processors: 64_000, Memory: 256 << 30, Slots: 64, Connections: 64}
	r.apply(decision.DigestChanged{Digest: rack.Digest{
		Rack: "r1", Region: "centro", Epoch: snapshotEpoch, Sequence: 1,
		Workers: []rack.WorkerSummary{{ID: "w1", State: rack.Up, Capacity: capacity, Free: capacity}},
	}})
	return r
}

func (r *recorder) apply(e decision.Event) {
	r.now = r.now.Add(time.Millisecond)
	for _, a := range r.core.Apply(r.now, e) {
		switch a := a.(type) {
		case decision.Record:
			r.unacknowledged = append(r.unacknowledged, a)
		case decision.Command:
			if a.Verb == decision.Place || a.Verb == decision.Hold {
				r.running = append(r.running, a)
				r.sentLines[settleLine(a)] = true
			}
		}
	}
}

// acknowledge makes the oldest entry in flight durable.
func (r *recorder) acknowledge() {
	if len(r.unacknowledged) == 0 {
		return
	}
	next := r.unacknowledged[0]
	r.unacknowledged = r.unacknowledged[1:]
	r.rows = append(r.rows, next.Entry)
	r.apply(decision.Recorded{Token: next.Token})
}

// report reports the status of a placed attempt.
func (r *recorder) report(i int, status decision.Status, outcome task.Outcome) {
	if len(r.running) == 0 {
		return
	}
	i %= len(r.running)
	c := r.running[i]
	r.apply(decision.Report{Status: status, Attempt: c.Attempt, Rack: c.Rack, Worker: "w1", Outcome: outcome})
	if status != decision.Placed {
		r.endedLines[settleLine(c)] = true
		r.running = slices.Delete(r.running, i, i+1)
	}
}

// advance advances time by milliseconds and applies a Tick.
func (r *recorder) advance(milliseconds int) {
	r.now = r.now.Add(time.Duration(milliseconds) * time.Millisecond)
	r.apply(decision.Tick{})
}

// acknowledgeAll makes all entries in flight durable, including those that
// follow from them.
func (r *recorder) acknowledgeAll() {
	for len(r.unacknowledged) > 0 {
		r.acknowledge()
	}
}

// takeOver replaces the core by one that recovers from its snapshot. Entries in
// flight are lost.
func (r *recorder) takeOver() { r.recoverFrom(r.core.Snapshot(snapshotPartition)) }

// recoverFrom replaces the core by one that recovers from entries.
func (r *recorder) recoverFrom(entries []record.Entry) {
	fresh := newRecorder()
	r.core, r.unacknowledged = fresh.core, nil
	r.apply(decision.PartitionRecovered{Partition: snapshotPartition, Entries: entries})
}

// TestSnapshotRebuildsTheState checks that a snapshot plus the entries recorded
// after it rebuild the same state as all entries from the beginning.
func TestSnapshotRebuildsTheState(t *testing.T) {
	kinds := []task.Kind{task.Batch, task.Service, task.AllAtOnce, task.Request}
	rapid.Check(t, func(t *rapid.T) {
		r := newRecorder()
		var keys []task.Key
		var snapshot []record.Entry
		after := 0
		cutAt := rapid.IntRange(0, 80).Draw(t, "cutAt")
		for step := range rapid.IntRange(80, 120).Draw(t, "steps") {
			if step == cutAt {
				snapshot, after = r.core.Snapshot(snapshotPartition), len(r.rows)
			}
			switch rapid.SampledFrom([]string{"Submit", "Record", "Record", "Record", "Report", "Report", "Cancel"}).Draw(t, "do") {
			case "Submit":
				work := task.Work{
					Team: "domes", ID: fmt.Sprintf("j%d", step), Kind: rapid.SampledFrom(kinds).Draw(t, "kind"),
					Tasks: 1, Size: task.Size{Processors: 1000}, Idempotent: rapid.Bool().Draw(t, "idempotent"),
				}
				if work.Kind != task.Request {
					work.Tasks = rapid.IntRange(1, 3).Draw(t, "tasks")
				}
				keys = append(keys, work.Key())
				r.apply(decision.Submitted{Caller: uint64(step) + 1, Partition: snapshotPartition, Work: work})
			case "Record":
				r.acknowledge()
			case "Report":
				r.report(rapid.IntRange(0, 1000).Draw(t, "attempt"),
					rapid.SampledFrom([]decision.Status{decision.Placed, decision.Ended, decision.Refused}).Draw(t, "status"),
					rapid.SampledFrom([]task.Outcome{task.Succeeded, task.Broke, task.Lost}).Draw(t, "outcome"))
			case "Cancel":
				if len(keys) > 0 {
					r.apply(decision.Cancelled{Caller: uint64(step) + 1, Key: rapid.SampledFrom(keys).Draw(t, "key")})
				}
			}
		}
		for len(r.unacknowledged) > 0 {
			r.acknowledge()
		}
		whole := recoveredState(r.now, keys, r.rows)
		short := recoveredState(r.now, keys, append(slices.Clone(snapshot), r.rows[after:]...))
		// The journal does not contain that an attempt was refused, or
		// abandoned before it was sent. A snapshot may include that, and then
		// the attempt need not be queried.
		whole = slices.DeleteFunc(whole, func(line string) bool {
			settles := strings.HasPrefix(line, "Settle ")
			return settles && (r.endedLines[line] || !r.sentLines[line]) && !slices.Contains(short, line)
		})
		if !slices.Equal(whole, short) || slices.ContainsFunc(short, lacksEpoch) {
			t.Fatalf("from rows:\n%v\nfrom snapshot and rows:\n%v", whole, short)
		}
	})
}

// recoveredState describes the state of a new owner after a recovery.
func recoveredState(now time.Time, keys []task.Key, entries []record.Entry) []string {
	core := decision.New(decision.Options{Region: "centro"})
	var lines []string
	for _, a := range core.Apply(now, decision.PartitionRecovered{Partition: snapshotPartition, Entries: entries}) {
		if c, ok := a.(decision.Command); ok && c.Verb == decision.Settle {
			lines = append(lines, settleLine(c))
		}
	}
	for _, key := range keys {
		for _, a := range core.Apply(now, decision.Queried{Caller: 1, Key: key}) {
			if reply, ok := a.(decision.Reply); ok {
				lines = append(lines, fmt.Sprintf("%s %s %s", key, reply.Answer.State, reply.Answer.Code))
			}
		}
	}
	slices.Sort(lines)
	return lines
}

// lacksEpoch reports whether a Settle line lacks the epoch of the rack.
func lacksEpoch(line string) bool {
	return strings.HasPrefix(line, "Settle ") && !strings.HasSuffix(line, fmt.Sprint(" under ", snapshotEpoch))
}

func settleLine(c decision.Command) string {
	return fmt.Sprintf("Settle %s %s under %d", c.Attempt, c.Rack, c.Epoch)
}

// TestRecoveryOfManyTasks recovers a partition with 10,000 live tasks.
func TestRecoveryOfManyTasks(t *testing.T) {
	c := qt.New(t)
	const tasks = 10_000
	var entries []record.Entry
	for i := range tasks {
		work := task.Work{Team: "domes", ID: fmt.Sprintf("j%05d", i), Kind: task.Batch, Tasks: 1, Size: task.Size{Processors: 1000}}
		id := task.AttemptID{Work: work.Key(), Number: 1}
		entries = append(entries, record.Entry{Verb: record.Accept, Work: &work},
			record.Entry{Verb: record.Begin, Begun: []record.Begun{{Attempt: id, Rack: "r1"}}})
	}
	core := decision.New(decision.Options{})
	start := time.Now()
	actions := core.Apply(start, decision.PartitionRecovered{Partition: snapshotPartition, Entries: entries})
	t.Logf("%d tasks rebuilt in %v", tasks, time.Since(start))
	c.Assert(actions, qt.HasLen, tasks)
	start = time.Now()
	c.Assert(core.Snapshot(snapshotPartition), qt.HasLen, 2*tasks)
	t.Logf("%d tasks listed in %v", tasks, time.Since(start))
}
