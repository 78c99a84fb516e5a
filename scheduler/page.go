package scheduler

import (
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
)

const (
	// pageBytes is the target size of a page; the store accepts rows of up to 64 KiB.
	pageBytes = 40 << 10
	// legacyBuckets is the number of buckets into which earlier versions grouped jobs.
	legacyBuckets = 32
	// maxHeadBytes bounds the CBOR overhead of a map or of one of its keys.
	maxHeadBytes = 5
)

// page describes a row of a pagedTable: a map from job IDs to values, with null for a
// removed job.
type page struct {
	// key increases from page to page.
	key string
	// cost is the contribution of the page to the stored size of its table.
	cost int
	// jobs holds the jobs for which the page has a value or a tombstone.
	jobs []string
}

// pageCost returns the cost of a page whose value has the given size.
func pageCost(bytes int) int { return bytes + rowOverheadBytes }

// itemSize bounds the encoded size of a job and its value in a page. It is 0 without a
// value.
func itemSize(id string, data []byte) int {
	if len(data) == 0 {
		return 0
	}
	return maxHeadBytes + len(id) + len(data)
}

// isRemoval reports whether an encoded value is the tombstone of a removed job.
func isRemoval(data []byte) bool { return len(data) == 1 && data[0] == codec.Null }

// pageWriter collects items in new pages.
type pageWriter struct {
	// lastPage is the number of the last complete page.
	lastPage uint64
	pages    []page
	values   [][]byte
	// totalSize bounds the size of all items.
	totalSize int
	// jobs and items belong to the current, incomplete page; size is their size.
	jobs  []string
	items [][]byte
	size  int
}

// add adds an item and returns the key of its page.
func (d *pageWriter) add(id string, data []byte) string {
	size := itemSize(id, data)
	if d.size > 0 && d.size+size > pageBytes {
		d.close()
	}
	d.jobs, d.items = append(d.jobs, id), append(d.items, data)
	d.size += size
	d.totalSize += size
	return pageKey(d.lastPage + 1)
}

// maxCost bounds the cost of all pages, including the current one.
func (d *pageWriter) maxCost() int { return d.totalSize + (len(d.pages)+1)*rowOverheadBytes }

// close completes the current page, if it has items.
func (d *pageWriter) close() {
	if len(d.items) == 0 {
		return
	}
	value := codec.AppendMap(make([]byte, 0, maxHeadBytes+d.size), len(d.items))
	for i, data := range d.items {
		value = append(codec.AppendText(value, d.jobs[i]), data...)
	}
	d.lastPage++
	d.pages = append(d.pages, page{key: pageKey(d.lastPage), cost: pageCost(len(value)), jobs: d.jobs})
	d.values = append(d.values, value)
	d.jobs, d.items, d.size = nil, nil, 0
}

// readPage returns the encoded values of a page by job ID.
func readPage(value []byte) (map[string]codec.Raw, error) {
	var items map[string]codec.Raw
	if err := codec.Unmarshal(value, &items); err != nil {
		return nil, errors.Trace(err)
	}
	if items == nil {
		return nil, errors.NotValidf("page with null in place of a map")
	}
	return items, nil
}

// pageKey returns the key of the page with a number. Keys increase with the number, and
// all of them sort after the keys of earlier versions.
func pageKey(number uint64) string { return fmt.Sprintf("p%016x", number) }

// pageNumber returns the number of the page with a key. It is 0 for a page of an earlier
// version. Such versions wrote buckets, with keys of the form: bucket plus 100, a dot,
// and the page number within the bucket.
func pageNumber(key string) (uint64, error) {
	if len(key) > 4 && key[3] == '.' {
		return 0, checkBucketKey(key)
	}
	if len(key) < 2 {
		return 0, errors.NotValidf("page key %q", key)
	}
	number, err := strconv.ParseUint(key[1:], 16, 63)
	if err != nil || key != pageKey(number) {
		return 0, errors.NotValidf("page key %q", key)
	}
	return number, nil
}

func checkBucketKey(key string) error {
	bucket, err := strconv.Atoi(key[:3])
	if err != nil || bucket < 100 || bucket >= 100+legacyBuckets {
		return errors.NotValidf("page key %q", key)
	}
	if _, err := strconv.Atoi(key[4:]); err != nil {
		return errors.NotValidf("page key %q", key)
	}
	return nil
}
