package scheduler

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/ledger"
)

const (
	// buckets is the number of groups that the jobs of a book are in. A transaction
	// takes 100 rows, so that a change of every bucket of both books fits one.
	buckets = 32
	// pageBytes ends a page of a bucket; the store takes rows of 64 KiB.
	pageBytes = 40 << 10
)

// book keeps a value for each job in a table. Jobs share rows, so that the number of
// rows of a transaction is bounded however many jobs change while the store is slow.
type book[T any] struct {
	table   string
	entries [buckets]map[string]T
	// pages counts the rows of each bucket.
	pages [buckets]int
	dirty [buckets]bool
}

func bucketOf(id string) int {
	hash := fnv.New32a()
	// A hash never fails to take bytes.
	_, _ = hash.Write([]byte(id))
	return int(hash.Sum32() % buckets)
}

func (b *book[T]) set(id string, value T) {
	n := bucketOf(id)
	if b.entries[n] == nil {
		b.entries[n] = map[string]T{}
	}
	b.entries[n][id] = value
	b.dirty[n] = true
}

func (b *book[T]) get(id string) (T, bool) {
	value, ok := b.entries[bucketOf(id)][id]
	return value, ok
}

func (b *book[T]) remove(id string) {
	n := bucketOf(id)
	if _, ok := b.entries[n][id]; ok {
		delete(b.entries[n], id)
		b.dirty[n] = true
	}
}

func (b *book[T]) len() int {
	n := 0
	for _, e := range b.entries {
		n += len(e)
	}
	return n
}

// each calls take for every entry.
func (b *book[T]) each(take func(id string, value T)) {
	for _, entries := range b.entries {
		for id, value := range entries {
			take(id, value)
		}
	}
}

func (b *book[T]) empty() bool { return !slices.Contains(b.dirty[:], true) }

// take returns the rows of the buckets that have changed. The pages of a bucket
// belong together.
func (b *book[T]) take(part string) ([]ledger.Change, error) {
	var changes []ledger.Change
	for n := range b.dirty {
		if !b.dirty[n] {
			continue
		}
		pages, err := b.encode(n)
		if err != nil {
			return nil, errors.Annotatef(err, "table %s", b.table)
		}
		var c ledger.Change
		for i, page := range pages {
			c.Writes = append(c.Writes, ledger.Row{Table: b.table, Part: part, Key: pageKey(n, i), Value: page})
		}
		for i := len(pages); i < b.pages[n]; i++ {
			c.Removes = append(c.Removes, ledger.Row{Table: b.table, Part: part, Key: pageKey(n, i)})
		}
		b.pages[n] = len(pages)
		b.dirty[n] = false
		changes = append(changes, c)
	}
	return changes, nil
}

// encode returns the pages of a bucket: maps of jobs to values.
func (b *book[T]) encode(n int) ([][]byte, error) {
	var pages [][]byte
	page, size := map[string]codec.Raw{}, 0
	for _, id := range slices.Sorted(maps.Keys(b.entries[n])) {
		value, err := codec.Marshal(b.entries[n][id])
		if err != nil {
			return nil, errors.Annotatef(err, "job %s", id)
		}
		if size > 0 && size+len(value) > pageBytes {
			data, err := codec.Marshal(page)
			if err != nil {
				return nil, errors.Trace(err)
			}
			pages = append(pages, data)
			page, size = map[string]codec.Raw{}, 0
		}
		page[id] = value
		size += len(value) + len(id)
	}
	data, err := codec.Marshal(page)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(pages, data), nil
}

// read takes a row that an earlier owner wrote.
func (b *book[T]) read(r ledger.Row) error {
	page := map[string]T{}
	if err := codec.Unmarshal(r.Value, &page); err != nil {
		return errors.Annotatef(err, "row %s of table %s", r.Key, b.table)
	}
	n, i, err := parsePageKey(r.Key)
	if err != nil {
		return errors.Annotatef(err, "table %s", b.table)
	}
	b.pages[n] = max(b.pages[n], i+1)
	for id, value := range page {
		b.set(id, value)
	}
	b.dirty[n] = false
	return nil
}

func pageKey(bucket, page int) string { return strconv.Itoa(100+bucket) + "." + strconv.Itoa(page) }

func parsePageKey(key string) (bucket, page int, err error) {
	if len(key) < 5 || key[3] != '.' {
		return 0, 0, errors.NotValidf("key %q", key)
	}
	bucket, err = strconv.Atoi(key[:3])
	if err != nil || bucket < 100 || bucket >= 100+buckets {
		return 0, 0, errors.NotValidf("key %q", key)
	}
	page, err = strconv.Atoi(key[4:])
	return bucket - 100, page, err
}
