package scheduler

import (
	"maps"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// spreadMost bounds the pages of a book, in hundredths of what its entries need. With
	// 200 a transaction of 1,500 jobs writes a fifth less, and a later owner reads a sixth
	// more (BenchmarkBusyTransaction, BenchmarkBusyRecovery).
	spreadMost = 150
	// spareBytes may be spread over pages besides, so that small books are hardly
	// copied: 64 pages of a few jobs each.
	spareBytes = 64 * rowBytes
	// rowBytes is what a page counts for beside its value, so that a book has few
	// pages however small they are.
	rowBytes = 4 << 10
	// cleanMost bounds the pages that one transaction removes: with both books, 16 of
	// the store's 100 rows.
	cleanMost = 8
)

// book keeps a value for each job in a table, as a log: each transaction writes what has
// changed in new pages, and the oldest pages go, once what still counts of them is copied
// to new ones. So a transaction costs what changes, not what there is.
type book[T any] struct {
	table   string
	entries map[string]entry[T]
	// changed holds the jobs that were set or removed since rows were last taken.
	changed map[string]bool
	// pages are those of the store, the oldest first. A removal of an entry counts as
	// long as its page is there, which is longer than any page with the entry.
	pages []page
	// last is the number of the newest page.
	last uint64
	// spread is the sum of the costs of all pages, needed that of all entries.
	spread, needed int
}

// entry is the value of a job.
type entry[T any] struct {
	value T
	// data is the encoded value as it was last written, and page the key of the page
	// that has it; they are zero until then.
	data []byte
	page string
}

func (b *book[T]) set(id string, value T) {
	if b.entries == nil {
		b.entries = map[string]entry[T]{}
	}
	e := b.entries[id]
	e.value = value
	b.entries[id] = e
	b.change(id)
}

func (b *book[T]) get(id string) (T, bool) {
	e, ok := b.entries[id]
	return e.value, ok
}

func (b *book[T]) remove(id string) {
	e, ok := b.entries[id]
	if !ok {
		return
	}
	b.needed -= itemBytes(id, e.data)
	delete(b.entries, id)
	b.change(id)
}

func (b *book[T]) change(id string) {
	if b.changed == nil {
		b.changed = map[string]bool{}
	}
	b.changed[id] = true
}

func (b *book[T]) len() int { return len(b.entries) }

// each calls take for every entry.
func (b *book[T]) each(take func(id string, value T)) {
	for id, e := range b.entries {
		take(id, e.value)
	}
}

func (b *book[T]) empty() bool { return len(b.changed) == 0 }

// take returns the rows to write and to remove. They must take effect in this order, and
// may be split between transactions at any place.
func (b *book[T]) take(part string) ([]ledger.Change, error) {
	if b.empty() {
		return nil, nil
	}
	older := len(b.pages)
	d := draft{last: b.last}
	for _, id := range slices.Sorted(maps.Keys(b.changed)) {
		if err := b.write(&d, id); err != nil {
			return nil, errors.Annotatef(err, "table %s", b.table)
		}
	}
	b.changed = nil
	removed := b.clean(&d, older)
	d.close()
	var changes []ledger.Change
	for i, p := range d.pages {
		b.pages = append(b.pages, p)
		b.spread += p.cost
		row := ledger.Row{Table: b.table, Part: part, Key: p.key, Value: d.values[i]}
		changes = append(changes, ledger.Change{Writes: []ledger.Row{row}})
	}
	for _, p := range removed {
		row := ledger.Row{Table: b.table, Part: part, Key: p.key}
		changes = append(changes, ledger.Change{Removes: []ledger.Row{row}})
	}
	b.last = d.last
	return changes, nil
}

// write puts what became of a job into a draft.
func (b *book[T]) write(d *draft, id string) error {
	e, ok := b.entries[id]
	if !ok {
		d.add(id, []byte{codec.Null})
		return nil
	}
	data, err := codec.Marshal(e.value)
	if err != nil {
		return errors.Annotatef(err, "job %s", id)
	}
	b.needed += itemBytes(id, data) - itemBytes(id, e.data)
	e.data, e.page = data, d.add(id, data)
	b.entries[id] = e
	return nil
}

// clean takes off the oldest pages while the book is spread too widely, and copies what
// counts of them into a draft: about as much as has changed, and one page. Only the given
// number of pages are older than the draft.
func (b *book[T]) clean(d *draft, older int) []page {
	bytes := 2*d.bytes + pageBytes
	n := 0
	for n < min(older, cleanMost) && d.bytes < bytes && b.spread+d.cost() > spreadMost*b.needed/100+spareBytes {
		b.keep(d, b.pages[n])
		b.spread -= b.pages[n].cost
		n++
	}
	removed := b.pages[:n]
	b.pages = b.pages[n:]
	return removed
}

// keep puts what still counts of a page into a draft.
func (b *book[T]) keep(d *draft, p page) {
	for _, id := range p.jobs {
		if e := b.entries[id]; e.page == p.key {
			e.page = d.add(id, e.data)
			b.entries[id] = e
		}
	}
}

// read takes all rows that earlier owners wrote.
func (b *book[T]) read(rows []ledger.Row) error {
	rows = slices.SortedFunc(slices.Values(rows), func(r, s ledger.Row) int { return strings.Compare(r.Key, s.Key) })
	b.entries = map[string]entry[T]{}
	for _, r := range rows {
		if err := b.replay(r); err != nil {
			return errors.Annotatef(err, "row %s of table %s", r.Key, b.table)
		}
	}
	for id, e := range b.entries {
		if err := codec.Unmarshal(e.data, &e.value); err != nil {
			return errors.Annotatef(err, "row %s of table %s: job %s", e.page, b.table, id)
		}
		b.needed += itemBytes(id, e.data)
		b.entries[id] = e
	}
	return nil
}

// replay takes the next page.
func (b *book[T]) replay(r ledger.Row) error {
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
	b.spread += p.cost
	b.last = max(b.last, number)
	return nil
}
