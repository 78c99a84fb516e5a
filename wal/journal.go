package wal

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
	"github.com/vanillaquay/vanillaquay/timer"
)

// Errors of an append.
const (
	// ErrFenced reports that another member owns the partition now. The entries
	// are not durable and never will be.
	ErrFenced = errors.ConstError("partition has another owner")
	// ErrInDoubt reports that the entries may or may not be durable and that
	// this journal will not find out.
	ErrInDoubt = errors.ConstError("outcome of the append is unknown")
)

// errGap reports that a row or a snapshot is missing. This is expected if a newer
// snapshot was stored during the read and the data that it replaces was removed.
const errGap = errors.ConstError("journal has a gap")

// Limits of reading and writing.
const (
	// listLimit is the maximum number of rows that one list call returns.
	listLimit = 128
	// minRetryPause and maxRetryPause bound the exponential backoff between
	// retries of a failed call.
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
	// maxOpenTries is the number of times Open reads the journal before a gap
	// counts as corruption.
	maxOpenTries = 5
)

// batch is the encoded value of one row.
type batch struct {
	Owner   string         `cbor:"1,keyasint"`
	Epoch   uint64         `cbor:"2,keyasint"`
	Entries []record.Entry `cbor:"3,keyasint"`
}

// Store holds the platform services in which a journal is stored.
type Store struct {
	Table   tablestore.Table
	Objects tablestore.Objects
}

// Journal appends to the rows of one partition. Use Open to create one. Append must
// be called from one goroutine, Compact from the same or one other.
type Journal struct {
	store     Store
	partition string
	owner     string
	epoch     uint64
	// next is the sequence number of the next row; the first row is 1.
	next uint64
	// pointer is the content of the row that names the newest snapshot, and
	// pointerVersion that row's version. Both belong to the goroutine that calls
	// Compact.
	pointer        pointer
	pointerVersion tablestore.Version
	// replaced is the key of the previous snapshot's object until it is removed.
	replaced string
	// lastLatency is the duration of the last successful call of an append.
	lastLatency time.Duration
}

// Open reads the entries of a partition and fences every earlier owner by
// appending a row under its own epoch.
func Open(ctx context.Context, store Store, partition, owner string, epoch uint64) (*Journal, []record.Entry, error) {
	j := &Journal{store: store, partition: partition, owner: owner, epoch: epoch}
	entries, err := j.read(ctx)
	if err != nil {
		return nil, nil, err
	}
	for {
		fence := record.Entry{Verb: record.Fence, At: time.Now(), Owner: owner, Epoch: epoch}
		sequence := j.next
		err := j.Append(ctx, []record.Entry{fence})
		if err == nil {
			j.pointer.Fences = newestFences(append(j.pointer.Fences, sequence))
			return j, entries, nil
		}
		if !errors.Is(err, ErrFenced) {
			return nil, nil, err
		}
		more, err := j.readRows(ctx)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, more...)
	}
}

// read returns the entries of the newest snapshot and of the rows after it. It
// starts over if rows are missing because a newer snapshot was stored during the
// read.
func (j *Journal) read(ctx context.Context) ([]record.Entry, error) {
	for try := 1; ; try++ {
		entries, err := j.readSnapshot(ctx)
		if err != nil {
			return nil, err
		}
		more, err := j.readRows(ctx)
		if err == nil {
			return append(entries, more...), nil
		}
		if !errors.Is(err, errGap) || try == maxOpenTries {
			return nil, err
		}
	}
}

// readRows reads the rows from next on and advances next past them.
func (j *Journal) readRows(ctx context.Context) ([]record.Entry, error) {
	var entries []record.Entry
	for {
		rows, err := j.store.Table.List(ctx, j.prefix(), j.key(j.next-1), listLimit)
		if err != nil {
			return nil, errors.Annotatef(err, "read journal of partition %s", j.partition)
		}
		for _, row := range rows {
			sequence, err := j.sequenceOf(row.Key)
			if err != nil {
				return nil, err
			}
			if sequence != j.next {
				return nil, errors.WithType(errors.Errorf("row %d of partition %s is missing", j.next, j.partition), errGap)
			}
			b, err := decodeBatch(row.Value)
			if err != nil {
				return nil, errors.Annotatef(err, "decode journal row %s", row.Key)
			}
			j.noteFence(sequence, b)
			entries = append(entries, b.Entries...)
			j.next++
		}
		if len(rows) < listLimit {
			return entries, nil
		}
	}
}

// noteFence adds a row that fences an earlier owner to the rows that compaction
// must not remove.
func (j *Journal) noteFence(sequence uint64, b batch) {
	if len(b.Entries) == 1 && b.Entries[0].Verb == record.Fence {
		j.pointer.Fences = newestFences(append(j.pointer.Fences, sequence))
	}
}

// decodeBatch decodes and checks the value of a row.
func decodeBatch(value []byte) (batch, error) {
	var b batch
	if err := codec.Unmarshal(value, &b); err != nil {
		return batch{}, errors.Trace(err)
	}
	for _, e := range b.Entries {
		if err := e.Check(); err != nil {
			return batch{}, err
		}
	}
	return b, nil
}

// Append makes entries durable in one row. It returns once the outcome is
// certain: nil, ErrFenced, or tablestore.ErrUnavailable if nothing was written and
// nothing will be. If the outcome of the write is unknown, Append reads the row
// back and writes the same value again if the row is absent. It returns ErrInDoubt
// only if the context ends before the outcome is certain; the journal must not be
// used after that.
func (j *Journal) Append(ctx context.Context, entries []record.Entry) error {
	value, err := codec.Marshal(batch{Owner: j.owner, Epoch: j.epoch, Entries: entries})
	if err != nil {
		return errors.Trace(err)
	}
	sent := time.Now()
	_, err = j.store.Table.Put(ctx, j.key(j.next), value, 0)
	if errors.Is(err, tablestore.ErrUnavailable) {
		return err
	}
	for pause := minRetryPause; err != nil; pause = min(2*pause, maxRetryPause) {
		sent = time.Now()
		if err = j.settle(ctx, value); err == nil {
			break
		}
		if errors.Is(err, ErrFenced) {
			return err
		}
		if !timer.Sleep(ctx, jitter(pause)) {
			// The error of the last retry does not settle the outcome, so its
			// type must not reach the caller.
			return errors.WithType(errors.Errorf("append to partition %s: %v", j.partition, err), ErrInDoubt)
		}
	}
	j.lastLatency = time.Since(sent)
	j.next++
	return nil
}

// tableResponds reports whether a read of the table succeeds.
func (j *Journal) tableResponds(ctx context.Context) bool {
	_, err := j.store.Table.Get(ctx, j.key(j.next))
	return err == nil
}

// settle determines the outcome of a write of row next. If the row is absent, the
// write may still be in flight, so settle writes the same value again; whichever
// write arrives first takes effect.
func (j *Journal) settle(ctx context.Context, value []byte) error {
	key := j.key(j.next)
	row, err := j.store.Table.Get(ctx, key)
	if err != nil {
		return errors.Annotate(err, "read back row after append")
	}
	if row.Version == 0 {
		_, err := j.store.Table.Put(ctx, key, value, 0)
		return err
	}
	if bytes.Equal(row.Value, value) {
		return nil
	}
	return errors.WithType(errors.Errorf("row %s has another owner's entries", key), ErrFenced)
}

func (j *Journal) prefix() string { return "journal/" + j.partition + "/" }

func (j *Journal) key(sequence uint64) string {
	return fmt.Sprintf("%s%016d", j.prefix(), sequence)
}

func (j *Journal) sequenceOf(key string) (uint64, error) {
	sequence, err := strconv.ParseUint(key[len(j.prefix()):], 10, 64)
	if err != nil {
		return 0, errors.NotValidf("journal key %q", key)
	}
	return sequence, nil
}

// newestFences sorts the sequence numbers and drops all but the newest maxFences.
func newestFences(fences []uint64) []uint64 {
	slices.Sort(fences)
	fences = slices.Compact(fences)
	if len(fences) > maxFences {
		fences = fences[len(fences)-maxFences:]
	}
	return fences
}

// jitter returns a random duration of between half and all of the given pause.
func jitter(pause time.Duration) time.Duration {
	return pause/2 + rand.N(pause/2)
}
