package virtual

import (
	"time"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/decision"
	"github.com/vanillaquay/vanillaquay/record"
)

// store is the platform's table: whether it is up and its limit of writes.
type store struct {
	down bool
	// nextWrite is the turn of the next row that asks for one.
	nextWrite time.Duration
}

// reserveWrite returns when a row that is asked for now may be written: rows have their
// turns in the order in which they ask, as those of a rate limiter do.
func (r *run) reserveWrite() time.Duration {
	pause := time.Second / time.Duration(r.options.WriteLimit)
	t := max(r.store.nextWrite, r.now-writeBurst*pause)
	r.store.nextWrite = t + pause
	return max(t, r.now)
}

// journal writes the entries of a partition in rows.
type journal struct {
	run     *run
	waiting []decision.Record
	// writing tells that a row is under way or that the pause after a failed
	// one lasts.
	writing bool
	// down tells that the last row failed, so that only what has happened
	// already is taken.
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

// mustPersist reports whether an entry tells of something that has happened, so that
// it is tried until it is durable.
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

// next waits for the turn of the next row if there is something to write.
func (j *journal) next() {
	if len(j.waiting) == 0 {
		j.writing = false
		return
	}
	j.run.after(j.run.reserveWrite()-j.run.now, j.write)
}

// write begins a row with what waits.
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

// failed refuses what waits, but for what is kept, and tries again after a
// pause.
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
