package scheduler

import (
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

const (
	// pageBytes ends a page; the store takes rows of 64 KiB.
	pageBytes = 40 << 10
	// buckets is the number of groups of jobs that pages of earlier versions are of.
	buckets = 32
	// headBytes is the most that CBOR needs beside the texts of a map and of its keys.
	headBytes = 5
)

// page is a row of a book: a map of jobs to values, null for a job that was removed.
type page struct {
	// key rises from page to page.
	key string
	// cost is what the page adds to the spread of its book.
	cost int
	// jobs are those that the page has a value of.
	jobs []string
}

// pageCost returns what a page with a value of some bytes adds to the spread of a book.
func pageCost(bytes int) int { return bytes + rowBytes }

// itemBytes bounds the bytes that a job with a value takes in a page; none without.
func itemBytes(id string, data []byte) int {
	if len(data) == 0 {
		return 0
	}
	return headBytes + len(id) + len(data)
}

// isRemoval reports whether an encoded value stands for a job that was removed.
func isRemoval(data []byte) bool { return len(data) == 1 && data[0] == codec.Null }

// draft gathers new pages.
type draft struct {
	// last is the number of the newest page.
	last   uint64
	pages  []page
	values [][]byte
	// bytes bounds the size of all items.
	bytes int
	// jobs and items are those of the page that is not full yet, size is their size.
	jobs  []string
	items [][]byte
	size  int
}

// add adds an item and returns the key of its page.
func (d *draft) add(id string, data []byte) string {
	size := itemBytes(id, data)
	if d.size > 0 && d.size+size > pageBytes {
		d.close()
	}
	d.jobs, d.items = append(d.jobs, id), append(d.items, data)
	d.size += size
	d.bytes += size
	return pageKey(d.last + 1)
}

// cost bounds what the pages add to the spread of a book.
func (d *draft) cost() int { return d.bytes + (len(d.pages)+1)*rowBytes }

// close ends the page that is not full yet, if there is one.
func (d *draft) close() {
	if len(d.items) == 0 {
		return
	}
	value := codec.AppendMap(make([]byte, 0, headBytes+d.size), len(d.items))
	for i, data := range d.items {
		value = append(codec.AppendText(value, d.jobs[i]), data...)
	}
	d.last++
	d.pages = append(d.pages, page{key: pageKey(d.last), cost: pageCost(len(value)), jobs: d.jobs})
	d.values = append(d.values, value)
	d.jobs, d.items, d.size = nil, nil, 0
}

// readPage returns the encoded values of a page by their jobs.
func readPage(value []byte) (map[string]codec.Raw, error) {
	var items map[string]codec.Raw
	if err := codec.Unmarshal(value, &items); err != nil {
		return nil, errors.Trace(err)
	}
	if items == nil {
		return nil, errors.NotValidf("page without a map")
	}
	return items, nil
}

// pageKey returns the key of a page. Keys of later pages are higher, and all of them are
// higher than those of earlier versions.
func pageKey(number uint64) string { return fmt.Sprintf("p%016x", number) }

// pageNumber returns the number of the page with a key. It is 0 for a page of an earlier
// version, which wrote whole buckets: their keys have the bucket and 100, a dot and the
// number of the page in the bucket.
func pageNumber(key string) (uint64, error) {
	if len(key) > 4 && key[3] == '.' {
		return 0, checkBucketKey(key)
	}
	if len(key) < 2 {
		return 0, errors.NotValidf("key %q", key)
	}
	number, err := strconv.ParseUint(key[1:], 16, 63)
	if err != nil || key != pageKey(number) {
		return 0, errors.NotValidf("key %q", key)
	}
	return number, nil
}

func checkBucketKey(key string) error {
	bucket, err := strconv.Atoi(key[:3])
	if err != nil || bucket < 100 || bucket >= 100+buckets {
		return errors.NotValidf("key %q", key)
	}
	if _, err := strconv.Atoi(key[4:]); err != nil {
		return errors.NotValidf("key %q", key)
	}
	return nil
}
