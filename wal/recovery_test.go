package wal_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/platformstandin"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/task"
	"github.com/vanillaquay/vanillaquay/wal"
)

const (
	liveTasks = 10_000
	// rowsAfterSnapshot is the maximum number of rows between two snapshots.
	rowsAfterSnapshot = 512
	// maxReads bounds the reads of a recovery: the pointer, the snapshot, and the
	// rows in lists of 128, the last of which is not full.
	maxReads = 2 + rowsAfterSnapshot/128 + 1
)

// TestRecoveryOfLiveTasks recovers a partition with 10,000 live tasks, half of which
// are in the snapshot and half in as many rows as can follow it. It bounds the number
// of reads and logs the time.
func TestRecoveryOfLiveTasks(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	server := httptest.NewServer(platformstandin.New().Handler())
	defer server.Close()
	client := tablestore.NewClient(server.URL, 0)
	defer client.Close()
	store := wal.Store{Table: client, Objects: client}
	journal, _, err := wal.Open(ctx, store, "centro-000", "e1", 1)
	c.Assert(err, qt.IsNil)
	entries := startedTasks(liveTasks)
	half := len(entries) / 2
	c.Assert(journal.Append(ctx, entries[:half]), qt.IsNil)
	var limitedWrites int64
	size, err := journal.Compact(ctx, 2, entries[:half], func(context.Context) error { limitedWrites++; return nil })
	c.Assert(err, qt.IsNil)
	// One row was removed; the fence is retained.
	c.Assert(limitedWrites <= int64(size)/wal.PageBytes+2, qt.IsTrue, qt.Commentf("%d writes for %d bytes", limitedWrites, size))
	for i := range rowsAfterSnapshot {
		from, to := half+i*half/rowsAfterSnapshot, half+(i+1)*half/rowsAfterSnapshot
		c.Assert(journal.Append(ctx, entries[from:to]), qt.IsNil)
	}

	before, start := client.Reads(), time.Now()
	_, found, err := wal.Open(ctx, store, "centro-000", "e2", 2)
	c.Assert(err, qt.IsNil)
	read := time.Since(start)
	core := decision.New(decision.Options{})
	actions := core.Apply(time.Now(), decision.PartitionRecovered{Partition: "centro-000", Entries: found})
	t.Logf("%d live tasks recovered in %v, of which %v reading; %d reads; snapshot of %d bytes in %d writes",
		liveTasks, time.Since(start), read, client.Reads()-before, size, limitedWrites)
	c.Assert(len(actions) >= liveTasks, qt.IsTrue)
	c.Assert(client.Reads()-before <= maxReads, qt.IsTrue)
}

// startedTasks returns the entries of n batch runs that have started and not ended.
func startedTasks(n int) []record.Entry {
	var entries []record.Entry
	for i := range n {
		work := task.Work{Team: "domes", ID: fmt.Sprintf("nightly-%05d", i), Kind: task.Batch, Tasks: 1,
			Size: task.Size{Processors: 1000, Memory: 1 << 30}, Payload: make([]byte, 100)}
		begun := record.Begun{Attempt: task.AttemptID{Work: work.Key(), Number: 1}, Rack: "centro-r1"}
		entries = append(entries,
			record.Entry{Verb: record.Accept, At: time.Now(), Work: &work},
			record.Entry{Verb: record.Begin, At: time.Now(), Begun: []record.Begun{begun}})
	}
	return entries
}
