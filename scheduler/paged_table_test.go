package scheduler_test

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/cell"
	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
	"github.com/vanillaquay/vanillaquay/scheduler"
	"github.com/vanillaquay/vanillaquay/workload"
)

const (
	// maxRowBytes and maxRows are limits of the store: the size of a value, and the rows
	// of a transaction less the three that the ledger adds.
	maxRowBytes = 64 << 10
	maxRows     = 97
)

// An owner must load what the last transaction recorded, even if earlier owners failed
// between two of its rows.
func TestNextOwnerLoadsRecordedState(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h := newHistory(qt.New(t), seed)
			for i := range 150 {
				for range h.random.IntN(12) {
					h.change()
				}
				h.record()
				if i%5 == 4 {
					h.check()
				}
			}
		})
	}
}

// rowsOfBuckets returns rows as written by earlier versions: one bucket of jobs out of 32
// per key, half of the jobs on a second page.
func rowsOfBuckets(c *qt.C, jobs map[string]cell.Progress) storedRows {
	pages := map[string]map[string]cell.Progress{}
	for i, id := range slices.Sorted(maps.Keys(jobs)) {
		hash := fnv.New32a()
		_, _ = hash.Write([]byte(id))
		key := fmt.Sprintf("%d.%d", 100+hash.Sum32()%32, i%2)
		if pages[key] == nil {
			pages[key] = map[string]cell.Progress{}
		}
		pages[key][id] = jobs[id]
	}
	t := storedRows{}
	for key, page := range pages {
		value, err := codec.Marshal(page)
		c.Assert(err, qt.IsNil)
		t[ledger.ProgressTable+"/"+key] = ledger.Row{Table: ledger.ProgressTable, Part: "p", Key: key, Value: value}
	}
	return t
}

// Rows of earlier versions are loaded, overridden by later rows, and removed in time.
func TestRowsOfEarlierVersionsAreReplaced(t *testing.T) {
	c := qt.New(t)
	h := newHistory(c, 1)
	for i := range 40 {
		p := h.progress()
		p.State = workload.Running
		h.now.progress[fmt.Sprintf("%016x", i)] = p
	}
	h.store, h.recorded = rowsOfBuckets(c, h.now.progress), h.now.clone()
	h.check()
	h.records = h.store.loadRecords(c)
	for range 200 {
		h.change()
		h.record()
		h.check()
	}
	for key := range h.store {
		c.Assert(strings.HasPrefix(key, ledger.ProgressTable+"/1"), qt.IsFalse, qt.Commentf("row %s", key))
	}
}

// Transactions and rows must stay within the limits of the store, and the tables must not
// grow with the number of transactions.
func TestTablesStayWithinStoreLimits(t *testing.T) {
	c := qt.New(t)
	busy, store := newBusyCell(300), storedRows{}
	// The first transaction has rows for all jobs; the ledger splits it.
	store.write(busy.record(t, nil))
	baseline := 0
	for i := range 1000 {
		changes := busy.record(t, busy.changes())
		rows, _ := sizeOf(changes)
		c.Assert(rows <= maxRows, qt.IsTrue, qt.Commentf("%d rows", rows))
		store.write(changes)
		if i == 300 {
			baseline = store.bytes()
		}
	}
	for key, row := range store {
		c.Assert(len(row.Value) <= maxRowBytes, qt.IsTrue, qt.Commentf("row %s has %d bytes", key, len(row.Value)))
	}
	c.Assert(store.bytes() < 2*baseline, qt.IsTrue, qt.Commentf("%d bytes after %d", store.bytes(), baseline))
	checkBusy(c, busy, store)
}

// checkBusy checks that the next owner of a busy cell loads its jobs.
func checkBusy(c *qt.C, busy *busyCell, store storedRows) {
	next := store.loadRecords(c)
	for _, j := range busy.jobs {
		p, ok := next.Progress(j.Job.ID)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p, qt.DeepEquals, j.Progress)
	}
	for _, id := range busy.finished {
		c.Assert(next.Finished(id), qt.IsTrue)
	}
}

// The cost of a transaction must depend on the jobs that changed. If whole buckets of
// jobs are encoded and written again, an owner short of processor time falls behind.
func TestUnchangedJobsHardlyRaiseTransactionCost(t *testing.T) {
	c := qt.New(t)
	few, many := costOf(t, 150), costOf(t, 1500)
	c.Logf("150 jobs: %+v; 1500 jobs: %+v", few, many)
	c.Assert(many.written < 3*few.written, qt.IsTrue, qt.Commentf("%+v, %+v", few, many))
	c.Assert(many.allocations < 1.5*few.allocations, qt.IsTrue, qt.Commentf("%+v, %+v", few, many))
}

// cost is the average cost of a transaction.
type cost struct{ written, allocations float64 }

func costOf(t *testing.T, jobs int) cost {
	const transactions = 200
	busy := newBusyCell(jobs)
	busy.warmUp(t)
	written := 0
	// The changes are prepared beforehand, so that they are not counted.
	var changes [transactions + 1][]cell.Change
	for i := range changes {
		changes[i] = busy.changes()
	}
	n := 0
	allocations := testing.AllocsPerRun(transactions, func() {
		_, size := sizeOf(busy.record(t, changes[n]))
		written += size
		n++
	})
	return cost{written: float64(written) / float64(n), allocations: allocations}
}

// A corrupt row must cause an error that names the row, whatever its content.
func TestCorruptRowIsNamedInError(t *testing.T) {
	c := qt.New(t)
	h := newHistory(c, 2)
	for range 30 {
		h.change()
	}
	h.record()
	failed := 0
	for range 5000 {
		for _, row := range h.store {
			row.Value = h.corrupt(row.Value)
			if err := scheduler.NewRecords("p").Load(row); err != nil {
				failed++
				c.Assert(err, qt.ErrorMatches, "(?s)row "+row.Key+" of table "+row.Table+": .*")
			}
		}
	}
	c.Assert(failed > 1000, qt.IsTrue, qt.Commentf("%d failed", failed))
}

// corrupt truncates a value or changes one byte of it.
func (h *history) corrupt(value []byte) []byte {
	value = slices.Clone(value)
	if i := h.random.IntN(len(value)); h.random.IntN(2) == 0 {
		value[i] ^= byte(1 + h.random.IntN(255))
	} else {
		value = value[:i]
	}
	return value
}
