package scheduler

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// maxAmplificationPercent bounds the stored size of a table, as a percentage of the
	// size of its entries. With 200, a transaction of a cell with 1,500 jobs writes a
	// fifth less, but recovery reads a sixth more (BenchmarkBusyTransaction,
	// BenchmarkBusyRecovery).
	maxAmplificationPercent = 150
	// slackBytes is allowed in addition, so that small tables are rarely compacted: 64
	// pages of a few jobs each.
	slackBytes = 64 * rowOverheadBytes
	// rowOverheadBytes is the cost of a page in addition to the size of its value. It
	// keeps the number of pages low when pages are small.
	rowOverheadBytes = 4 << 10
	// maxAtomicPages and maxAtomicBytes bound the new pages that are written together, in one
	// transaction, with the removal of old ones. Few transactions have more.
	maxAtomicPages = 64
	maxAtomicBytes = 400 << 10
	// maxCompactedPages bounds the pages that one transaction removes from a table. Both
	// tables together use at most 16 of the store's 100 rows per transaction.
	maxCompactedPages = 8
)

// pagedTable is a log-structured table that holds one value per job. Each transaction
// appends the changed entries in new pages, and the oldest pages are removed after their
// live entries have been copied to new pages. The cost of a transaction therefore depends
// on the number of changes, not on the number of jobs.
type pagedTable[T any] struct {
	table   string
	entries map[string]entry[T]
	// dirty holds the jobs that were set or removed since the last drainChanges.
	dirty map[string]bool
	// pages holds the stored pages, oldest first. The tombstone of a removed entry takes
	// effect until its page is removed, which is after any older page with the entry.
	pages []page
	// lastPage is the number of the newest page.
	lastPage uint64
	// isolated holds the jobs of a page that the store has rejected: each is written to a page
	// of its own, so that it is known which one is the cause. rejected holds those whose own
	// page was rejected, which are not written again.
	isolated, rejected map[string]bool
	// storedBytes is the sum of the costs of all pages, liveBytes the size of all
	// entries.
	storedBytes, liveBytes int
}

// entry holds the value of a job.
type entry[T any] struct {
	value T
	// data is the encoded value as last written, and page the key of the page that
	// contains it. Both are zero until the first write.
	data []byte
	page string
}

func (b *pagedTable[T]) set(id string, value T) {
	if b.entries == nil {
		b.entries = map[string]entry[T]{}
	}
	e := b.entries[id]
	e.value = value
	b.entries[id] = e
	b.markDirty(id)
}

func (b *pagedTable[T]) get(id string) (T, bool) {
	e, ok := b.entries[id]
	return e.value, ok
}

func (b *pagedTable[T]) remove(id string) {
	e, ok := b.entries[id]
	if !ok {
		return
	}
	b.liveBytes -= itemSize(id, e.data)
	delete(b.entries, id)
	b.markDirty(id)
}

// markDirty notes that the entry of a job has changed.
func (b *pagedTable[T]) markDirty(id string) {
	if b.dirty == nil {
		b.dirty = map[string]bool{}
	}
	b.dirty[id] = true
}

func (b *pagedTable[T]) len() int { return len(b.entries) }

// forEach calls visit for every entry.
func (b *pagedTable[T]) forEach(visit func(id string, value T)) {
	for id, e := range b.entries {
		visit(id, e.value)
	}
}

// isClean reports whether no entry has changed since the last drainChanges.
func (b *pagedTable[T]) isClean() bool { return len(b.dirty) == 0 }

// drainChanges returns the rows to write and to remove, and marks all entries as written.
// The changes must be applied in this order and may be split between transactions at any
// point.
func (b *pagedTable[T]) drainChanges(part string) ([]ledger.Change, error) {
	if b.isClean() {
		return nil, nil
	}
	olderPages := len(b.pages)
	d := pageWriter{lastPage: b.lastPage}
	atomic := true
	// Of the parts of a job the first is written last: it may have been the only one before.
	for _, id := range slices.Backward(slices.Sorted(maps.Keys(b.dirty))) {
		if b.isolated[id] {
			atomic = false
			d.close()
		}
		if err := b.appendEntry(&d, id); err != nil {
			return nil, errors.Annotatef(err, "table %s", b.table)
		}
		if b.isolated[id] {
			d.close()
		}
	}
	b.dirty = nil
	removed := b.compact(&d, olderPages)
	d.close()
	var changes []ledger.Change
	for i, p := range d.pages {
		b.pages = append(b.pages, p)
		b.storedBytes += p.cost
		row := ledger.Row{Table: b.table, Part: part, Key: p.key, Value: d.values[i]}
		changes = append(changes, ledger.Change{Writes: []ledger.Row{row}})
	}
	for _, p := range removed {
		row := ledger.Row{Table: b.table, Part: part, Key: p.key}
		changes = append(changes, ledger.Change{Removes: []ledger.Row{row}})
	}
	b.lastPage = d.lastPage
	if atomic && len(d.pages) <= maxAtomicPages && d.totalSize <= maxAtomicBytes {
		return mergeChanges(changes), nil
	}
	return changes, nil
}

// mergeChanges returns a single change with all the given ones.
func mergeChanges(changes []ledger.Change) []ledger.Change {
	if len(changes) < 2 {
		return changes
	}
	var merged ledger.Change
	for _, c := range changes {
		merged.Writes = append(merged.Writes, c.Writes...)
		merged.Removes = append(merged.Removes, c.Removes...)
	}
	return []ledger.Change{merged}
}

// reject notes that the store does not accept a page, and returns the jobs whose changes are
// not recorded. They are written again, each by itself; one that was written by itself is not.
func (b *pagedTable[T]) reject(key string) []string {
	n := slices.IndexFunc(b.pages, func(p page) bool { return p.key == key })
	if n < 0 {
		return nil
	}
	rejected := b.pages[n]
	b.pages = slices.Delete(b.pages, n, n+1)
	b.storedBytes -= rejected.cost
	if b.isolated == nil {
		b.isolated, b.rejected = map[string]bool{}, map[string]bool{}
	}
	for _, id := range rejected.jobs {
		if e, ok := b.entries[id]; ok && e.page == key {
			b.liveBytes -= itemSize(id, e.data)
			e.data, e.page = nil, ""
			b.entries[id] = e
		}
		if len(rejected.jobs) == 1 {
			b.rejected[id] = true
			continue
		}
		b.isolated[id] = true
		b.markDirty(id)
	}
	return rejected.jobs
}

// appendEntry adds the current value of a job, or a tombstone, to the new pages, unless it is
// recorded as it is.
func (b *pagedTable[T]) appendEntry(d *pageWriter, id string) error {
	e, ok := b.entries[id]
	if !ok {
		d.add(id, []byte{codec.Null})
		return nil
	}
	if b.rejected[id] {
		return nil
	}
	data, err := codec.Marshal(e.value)
	if err != nil {
		return errors.Annotatef(err, "encoding job %s", id)
	}
	if e.page != "" && bytes.Equal(data, e.data) {
		return nil
	}
	b.liveBytes += itemSize(id, data) - itemSize(id, e.data)
	e.data, e.page = data, d.add(id, data)
	b.entries[id] = e
	return nil
}

// compact removes the oldest pages while the table exceeds its space bound, and copies
// their live entries to the new pages. It copies about as much as has changed plus one
// page. Only the first olderPages pages were written before this transaction.
func (b *pagedTable[T]) compact(d *pageWriter, olderPages int) []page {
	maxSize := 2*d.totalSize + pageBytes
	n := 0
	for n < min(olderPages, maxCompactedPages) && d.totalSize < maxSize && b.storedBytes+d.maxCost() > maxAmplificationPercent*b.liveBytes/100+slackBytes {
		b.copyLive(d, b.pages[n])
		b.storedBytes -= b.pages[n].cost
		n++
	}
	removed := b.pages[:n]
	b.pages = b.pages[n:]
	return removed
}

// copyLive adds the entries whose current value is in p to the new pages.
func (b *pagedTable[T]) copyLive(d *pageWriter, p page) {
	for _, id := range p.jobs {
		if e := b.entries[id]; e.page == p.key {
			e.page = d.add(id, e.data)
			b.entries[id] = e
		}
	}
}

// load reads all rows that earlier owners wrote.
func (b *pagedTable[T]) load(rows []ledger.Row) error {
	rows = slices.SortedFunc(slices.Values(rows), func(r, s ledger.Row) int { return strings.Compare(r.Key, s.Key) })
	b.entries = map[string]entry[T]{}
	for _, r := range rows {
		if err := b.replayPage(r); err != nil {
			return errors.Annotatef(err, "row %s of table %s", r.Key, b.table)
		}
	}
	for id, e := range b.entries {
		if err := codec.Unmarshal(e.data, &e.value); err != nil {
			return errors.Annotatef(err, "row %s of table %s: decoding job %s", e.page, b.table, id)
		}
		b.liveBytes += itemSize(id, e.data)
		b.entries[id] = e
	}
	return nil
}

// replayPage applies the next page. Pages must be replayed oldest first.
func (b *pagedTable[T]) replayPage(r ledger.Row) error {
	number, err := pageNumber(r.Key)
	if err != nil {
		return err
	}
	items, err := readPage(r.Value)
	if err != nil {
		return err
	}
	p := page{key: r.Key, cost: pageCost(len(r.Value))}
	for id, data := range items {
		p.jobs = append(p.jobs, id)
		if isRemoval(data) {
			delete(b.entries, id)
			continue
		}
		b.entries[id] = entry[T]{data: data, page: r.Key}
	}
	b.pages = append(b.pages, p)
	b.storedBytes += p.cost
	b.lastPage = max(b.lastPage, number)
	return nil
}
