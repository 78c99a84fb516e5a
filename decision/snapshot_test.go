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

// What these tests record is of one partition, and in a rack under one epoch.
const (
	snapshotPartition = "centro-000"
	snapshotEpoch     = 7
)

// recorder drives a core and keeps what it records.
type recorder struct {
	core *decision.Core
	now  time.Time
	// rows holds what is durable; waiting is on its way.
	rows    []record.Entry
	waiting []decision.Record
	// running holds the attempts that were placed, in order.
	running []decision.Command
	// over holds the lines of attempts that no longer run, and sent those of
	// attempts that the rack was asked to start.
	over, sent map[string]bool
}

func newRecorder() *recorder {
	r := &recorder{core: decision.New(decision.Options{Region: "centro"}), now: time.Unix(1_800_000_000, 0), over: map[string]bool{}, sent: map[string]bool{}}
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
			r.waiting = append(r.waiting, a)
		case decision.Command:
			if a.Verb == decision.Place || a.Verb == decision.Hold {
				r.running = append(r.running, a)
				r.sent[settleLine(a)] = true
			}
		}
	}
}

// acknowledge makes the oldest waiting entry durable.
func (r *recorder) acknowledge() {
	if len(r.waiting) == 0 {
		return
	}
	next := r.waiting[0]
	r.waiting = r.waiting[1:]
	r.rows = append(r.rows, next.Entry)
	r.apply(decision.Recorded{Token: next.Token})
}

// report tells the outcome of one attempt that was placed.
func (r *recorder) report(i int, status decision.Status, outcome task.Outcome) {
	if len(r.running) == 0 {
		return
	}
	i %= len(r.running)
	c := r.running[i]
	r.apply(decision.Report{Status: status, Attempt: c.Attempt, Rack: c.Rack, Worker: "w1", Outcome: outcome})
	if status != decision.Placed {
		r.over[settleLine(c)] = true
		r.running = slices.Delete(r.running, i, i+1)
	}
}

// pass lets time go by in milliseconds and does what is due.
func (r *recorder) pass(milliseconds int) {
	r.now = r.now.Add(time.Duration(milliseconds) * time.Millisecond)
	r.apply(decision.Tick{})
}

// acknowledgeAll makes all waiting entries durable, and those that follow on them.
func (r *recorder) acknowledgeAll() {
	for len(r.waiting) > 0 {
		r.acknowledge()
	}
}

// takeOver goes on with a new core that recovers from a snapshot of the old one.
// What was on its way to the journal is lost.
func (r *recorder) takeOver() { r.recoverFrom(r.core.Snapshot(snapshotPartition)) }

// recoverFrom goes on with a new core that recovers from entries.
func (r *recorder) recoverFrom(entries []record.Entry) {
	fresh := newRecorder()
	r.core, r.waiting = fresh.core, nil
	r.apply(decision.PartitionRecovered{Partition: snapshotPartition, Entries: entries})
}

// TestSnapshotRebuildsTheState checks that a snapshot with the entries recorded
// after it rebuilds what all entries from the beginning rebuild.
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
		for len(r.waiting) > 0 {
			r.acknowledge()
		}
		whole := rebuilt(r.now, keys, r.rows)
		short := rebuilt(r.now, keys, append(slices.Clone(snapshot), r.rows[after:]...))
		// The journal does not tell that an attempt was refused or given up
		// before it was sent, so that the snapshot may know more: it need not
		// ask about such an attempt.
		whole = slices.DeleteFunc(whole, func(line string) bool {
			settles := strings.HasPrefix(line, "Settle ")
			return settles && (r.over[line] || !r.sent[line]) && !slices.Contains(short, line)
		})
		if !slices.Equal(whole, short) || slices.ContainsFunc(short, forgetsEpoch) {
			t.Fatalf("from rows:\n%v\nfrom snapshot and rows:\n%v", whole, short)
		}
	})
}

// rebuilt describes the state that a new owner has after a recovery.
func rebuilt(now time.Time, keys []task.Key, entries []record.Entry) []string {
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

// forgetsEpoch reports whether a question lacks the epoch of the rack.
func forgetsEpoch(line string) bool {
	return strings.HasPrefix(line, "Settle ") && !strings.HasSuffix(line, fmt.Sprint(" under ", snapshotEpoch))
}

func settleLine(c decision.Command) string {
	return fmt.Sprintf("Settle %s %s under %d", c.Attempt, c.Rack, c.Epoch)
}

// TestRecoveryOfManyTasks rebuilds a partition with 10,000 live tasks.
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
