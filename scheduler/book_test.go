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
	// rowMost and entriesMost are bounds of the store: bytes of a value, and rows of a
	// transaction, of which the ledger takes three.
	rowMost     = 64 << 10
	entriesMost = 97
)

// What a later owner reads is what the last transaction recorded, also if earlier owners
// were lost between two rows.
func TestLaterOwnerReadsWhatWasRecorded(t *testing.T) {
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

// rowsOfBuckets returns the rows that earlier versions wrote: the jobs of each of 32 buckets,
// half of them on a second page.
func rowsOfBuckets(c *qt.C, jobs map[string]cell.Progress) table {
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
	t := table{}
	for key, page := range pages {
		value, err := codec.Marshal(page)
		c.Assert(err, qt.IsNil)
		t[ledger.ProgressTable+"/"+key] = ledger.Row{Table: ledger.ProgressTable, Part: "p", Key: key, Value: value}
	}
	return t
}

// Rows that earlier versions wrote are read, are overridden by later ones, and go.
func TestRowsOfEarlierVersions(t *testing.T) {
	c := qt.New(t)
	h := newHistory(c, 1)
	for i := range 40 {
		p := h.progress()
		p.State = workload.Running
		h.now.progress[fmt.Sprintf("%016x", i)] = p
	}
	h.store, h.recorded = rowsOfBuckets(c, h.now.progress), h.now.clone()
	h.check()
	h.records = h.store.read(c)
	for range 200 {
		h.change()
		h.record()
		h.check()
	}
	for key := range h.store {
		c.Assert(strings.HasPrefix(key, ledger.ProgressTable+"/1"), qt.IsFalse, qt.Commentf("row %s", key))
	}
}

// Transactions and rows stay within the store's bounds, and the tables don't grow with the
// number of transactions.
func TestBooksStayWithinTheBoundsOfTheStore(t *testing.T) {
	c := qt.New(t)
	busy, store := newBusyCell(300), table{}
	// The first transaction has a row for each of all jobs; the ledger splits it.
	store.write(busy.record(t, nil))
	least := 0
	for i := range 1000 {
		changes := busy.record(t, busy.changes())
		rows, _ := sizeOf(changes)
		c.Assert(rows <= entriesMost, qt.IsTrue, qt.Commentf("%d rows", rows))
		store.write(changes)
		if i == 300 {
			least = store.bytes()
		}
	}
	for key, row := range store {
		c.Assert(len(row.Value) <= rowMost, qt.IsTrue, qt.Commentf("row %s has %d bytes", key, len(row.Value)))
	}
	c.Assert(store.bytes() < 2*least, qt.IsTrue, qt.Commentf("%d bytes after %d", store.bytes(), least))
	checkBusy(c, busy, store)
}

// checkBusy checks that a later owner of a busy cell reads its jobs.
func checkBusy(c *qt.C, busy *busyCell, store table) {
	next := store.read(c)
	for _, j := range busy.jobs {
		p, ok := next.Progress(j.Job.ID)
		c.Assert(ok, qt.IsTrue)
		c.Assert(p, qt.DeepEquals, j.Progress)
	}
	for _, id := range busy.finished {
		c.Assert(next.Finished(id), qt.IsTrue)
	}
}

// The cost of a transaction is that of the jobs that changed: whole buckets of jobs were
// encoded and written anew, and an owner short of processor time fell behind.
func TestUnchangedJobsCostATransactionLittle(t *testing.T) {
	c := qt.New(t)
	few, many := costOf(t, 150), costOf(t, 1500)
	c.Logf("150 jobs: %+v; 1500 jobs: %+v", few, many)
	c.Assert(many.written < 3*few.written, qt.IsTrue, qt.Commentf("%+v, %+v", few, many))
	c.Assert(many.allocations < 1.5*few.allocations, qt.IsTrue, qt.Commentf("%+v, %+v", few, many))
}

// cost is what a transaction costs on average.
type cost struct{ written, allocations float64 }

func costOf(t *testing.T, jobs int) cost {
	const transactions = 200
	busy := newBusyCell(jobs)
	busy.settle(t)
	written := 0
	// The changes of a transaction are made beforehand, so that they don't count.
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

// A row that is not as an owner writes it is an error that tells which one, whatever it has.
func TestGarbledRowIsNamed(t *testing.T) {
	c := qt.New(t)
	h := newHistory(c, 2)
	for range 30 {
		h.change()
	}
	h.record()
	failed := 0
	for range 5000 {
		for _, row := range h.store {
			row.Value = h.garble(row.Value)
			if err := scheduler.NewRecords("p").Read(row); err != nil {
				failed++
				c.Assert(err, qt.ErrorMatches, "(?s)row "+row.Key+" of table "+row.Table+": .*")
			}
		}
	}
	c.Assert(failed > 1000, qt.IsTrue, qt.Commentf("%d failed", failed))
}

// garble cuts a value or changes a byte.
func (h *history) garble(value []byte) []byte {
	value = slices.Clone(value)
	if i := h.random.IntN(len(value)); h.random.IntN(2) == 0 {
		value[i] ^= byte(1 + h.random.IntN(255))
	} else {
		value = value[:i]
	}
	return value
}
