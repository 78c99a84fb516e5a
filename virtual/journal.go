package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
)

// store is the state of the platform's table: its availability and its write
// limit.
type store struct {
	down bool
	// nextWrite is the earliest time of the next row's write under the limit;
	// before the present if there is burst allowance left.
	nextWrite time.Duration
}

// reserveWrite reserves the next write of a row and returns its time. Writes
// are granted in order of request, as by a rate limiter.
func (r *run) reserveWrite() time.Duration {
	interval := time.Second / time.Duration(r.options.WriteLimit)
	t := max(r.store.nextWrite, r.now-writeBurst*interval)
	r.store.nextWrite = t + interval
	return max(t, r.now)
}

// journal writes the entries of a partition in rows.
type journal struct {
	run     *run
	waiting []decision.Record
	// writing reports whether a row is being written or retried, or the journal
	// waits for its next write.
	writing bool
	// down reports whether the last row failed; until the retry, only entries
	// that mustPersist selects are accepted.
	down bool
}

func (r *run) journal(partition string) *journal {
	j, ok := r.journals[partition]
	if !ok {
		j = &journal{run: r}
		r.journals[partition] = j
	}
	return j
}

// mustPersist reports whether an entry records something that has already
// happened, so that it is retried until it is durable.
func mustPersist(a decision.Record) bool {
	return a.Entry.Verb == record.End || a.Entry.Verb == record.Final
}

func (j *journal) append(a decision.Record) {
	if j.down && !mustPersist(a) {
		j.run.after(0, func() { j.run.apply(decision.RecordFailed{Token: a.Token}) })
		return
	}
	j.waiting = append(j.waiting, a)
	if !j.writing {
		j.writing = true
		j.run.after(0, j.next)
	}
}

// next schedules the write of the next row if entries are waiting.
func (j *journal) next() {
	if len(j.waiting) == 0 {
		j.writing = false
		return
	}
	j.run.after(j.run.reserveWrite()-j.run.now, j.write)
}

// write writes a row of up to maxRowEntries waiting entries.
func (j *journal) write() {
	r := j.run
	if r.store.down {
		r.after(appendTimeout, j.failed)
		return
	}
	n := min(len(j.waiting), maxRowEntries)
	batch := append([]decision.Record(nil), j.waiting[:n]...)
	j.waiting = j.waiting[n:]
	r.countRow(batch)
	r.after(r.options.WriteDelay, func() { j.written(batch) })
}

func (j *journal) written(batch []decision.Record) {
	for _, a := range batch {
		j.run.apply(decision.Recorded{Token: a.Token})
	}
	j.next()
}

// failed rejects the waiting entries, except those that mustPersist selects,
// and retries after storeRetryInterval.
func (j *journal) failed() {
	waiting := j.waiting
	j.waiting, j.down = nil, true
	for _, a := range waiting {
		if mustPersist(a) {
			j.waiting = append(j.waiting, a)
			continue
		}
		j.run.apply(decision.RecordFailed{Token: a.Token})
	}
	j.run.after(storeRetryInterval, func() {
		j.down = false
		j.next()
	})
}

func (r *run) countRow(batch []decision.Record) {
	entries := make([]record.Entry, len(batch))
	for i, a := range batch {
		entries[i] = a.Entry
	}
	data, err := codec.Marshal(entries)
	if err != nil {
		panic(err)
	}
	r.result.Rows++
	r.result.RowBytes += int64(len(data))
}
