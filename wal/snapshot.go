package wal

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/codec"
	"github.com/vanillaquay/vanillaquay/record"
	"github.com/vanillaquay/vanillaquay/tablestore"
)

// maxFences is the number of fencing rows that compaction leaves in the table. An
// owner that resumes after more changes of owner than this could write where its
// successor's fence was, but its lease has expired long before.
const maxFences = 64

// pointer is the content of the row that names the newest snapshot.
type pointer struct {
	// Object is the name of the snapshot: its key in the object store, or the
	// prefix of the keys of its rows.
	Object string `json:"Object"`
	// Pages is the number of rows that hold the snapshot, or 0 if the object
	// store holds it.
	Pages int `json:"Pages,omitempty"`
	// Epoch is that of the owner that made the snapshot.
	Epoch uint64 `json:"Epoch"`
	// Covers is the sequence number of the last row whose entries the snapshot
	// holds.
	Covers uint64 `json:"Covers"`
	// Fences lists the sequence numbers of rows that fence an earlier owner.
	// Compaction leaves these rows, so that a delayed write of that owner still
	// conflicts.
	Fences []uint64 `json:"Fences"`
}

// snapshot is the encoded content of a snapshot, in an object or in rows.
type snapshot struct {
	Covers  uint64         `cbor:"1,keyasint"`
	Entries []record.Entry `cbor:"2,keyasint"`
}

// readSnapshot reads the newest snapshot, if there is one, and sets next to the
// sequence number after the rows that it covers.
func (j *Journal) readSnapshot(ctx context.Context) ([]record.Entry, error) {
	row, err := j.store.Table.Get(ctx, j.pointerKey())
	if err != nil {
		return nil, errors.Annotatef(err, "read snapshot pointer of partition %s", j.partition)
	}
	j.pointer, j.pointerVersion, j.next = pointer{}, row.Version, 1
	if row.Version == 0 {
		return nil, nil
	}
	if j.pointer, err = decodePointer(row.Value); err != nil {
		return nil, errors.Annotatef(err, "decode row %s", row.Key)
	}
	data, err := j.readContent(ctx)
	if err != nil {
		return nil, err
	}
	s, err := decodeSnapshot(data)
	if err != nil {
		return nil, errors.Annotatef(err, "decode snapshot %s", j.pointer.Object)
	}
	if s.Covers != j.pointer.Covers {
		return nil, errors.NotValidf("snapshot %s covers rows up to %d, its pointer names %d:", j.pointer.Object, s.Covers, j.pointer.Covers)
	}
	j.next = s.Covers + 1
	return s.Entries, nil
}

// readContent returns the encoded snapshot that the pointer names.
func (j *Journal) readContent(ctx context.Context) ([]byte, error) {
	if j.pointer.Pages > 0 {
		return j.readPages(ctx, j.pointer.Object, j.pointer.Pages)
	}
	data, err := j.store.Objects.Read(ctx, j.pointer.Object)
	if errors.Is(err, errors.NotFound) {
		return nil, errors.WithType(errors.Annotatef(err, "read snapshot of partition %s", j.partition), errGap)
	}
	return data, errors.Annotatef(err, "read snapshot of partition %s", j.partition)
}

func decodePointer(value []byte) (pointer, error) {
	var p pointer
	if err := json.Unmarshal(value, &p); err != nil {
		return pointer{}, errors.Trace(err)
	}
	if p.Object == "" || p.Covers == 0 || p.Pages < 0 || p.Pages > MaxPages {
		return pointer{}, errors.NotValidf("content of snapshot pointer")
	}
	return p, nil
}

func decodeSnapshot(data []byte) (snapshot, error) {
	var s snapshot
	if err := codec.Unmarshal(data, &s); err != nil {
		return snapshot{}, errors.Trace(err)
	}
	for _, e := range s.Entries {
		if err := e.Check(); err != nil {
			return snapshot{}, err
		}
	}
	return s, nil
}

// Compact stores a snapshot that replaces the entries of every row up to covers and
// removes these rows. The snapshot takes effect once the pointer row names it. If
// Compact fails before or after that, it may be called again. To limit the rate,
// Compact calls wait before each write to the table and each removal of a row, but
// not before the write of the pointer row. It returns the size of the snapshot in
// bytes, or ErrFenced if a newer owner has stored a snapshot since.
func (j *Journal) Compact(ctx context.Context, covers uint64, entries []record.Entry, wait func(context.Context) error) (int, error) {
	data, err := codec.Marshal(snapshot{Covers: covers, Entries: entries})
	if err != nil {
		return 0, errors.Trace(err)
	}
	p := pointer{Object: j.snapshotName(j.epoch, covers), Epoch: j.epoch, Covers: covers, Fences: j.pointer.Fences}
	if p.Pages, err = j.writeSnapshot(ctx, p.Object, data, wait); err != nil {
		return 0, err
	}
	if err := j.updatePointer(ctx, p); err != nil {
		return 0, err
	}
	if err := j.removeRows(ctx, covers, wait); err != nil {
		return 0, err
	}
	if err := j.removePages(ctx, wait); err != nil {
		return 0, err
	}
	return len(data), j.removeReplaced(ctx)
}

// writeSnapshot stores a snapshot in rows of the table, so that the partition can be
// opened while the object store is down, or in the object store if it is too large
// for that. It returns the number of rows.
func (j *Journal) writeSnapshot(ctx context.Context, name string, data []byte, wait func(context.Context) error) (pages int, err error) {
	if rows := splitPages(data); len(rows) > 0 {
		return len(rows), j.writePages(ctx, name, rows, wait)
	}
	return 0, errors.Annotate(j.store.Objects.Write(ctx, name, data), "write snapshot object")
}

// removeReplaced removes the previous snapshot from the object store if it was
// stored there.
func (j *Journal) removeReplaced(ctx context.Context) error {
	if j.replaced == "" {
		return nil
	}
	if err := j.store.Objects.Remove(ctx, j.replaced); err != nil {
		return errors.Annotate(err, "remove replaced snapshot object")
	}
	j.replaced = ""
	return nil
}

// updatePointer writes the pointer row. It also replaces the row of an earlier
// owner, which may have stored one more snapshot since this owner read the journal.
// If the response to a write is lost, the retry conflicts and reads the row back.
func (j *Journal) updatePointer(ctx context.Context, p pointer) error {
	if p.Object == j.pointer.Object {
		return nil
	}
	value, err := json.Marshal(p)
	if err != nil {
		return errors.Trace(err)
	}
	version, err := j.store.Table.Put(ctx, j.pointerKey(), value, j.pointerVersion)
	if errors.Is(err, tablestore.ErrConflict) {
		return j.replacePointer(ctx, p, value)
	}
	if err != nil {
		return errors.Annotate(err, "write snapshot pointer")
	}
	j.setPointer(p, version)
	return nil
}

// replacePointer resolves a conflict on the pointer row: either another owner has
// written it, or this one has and the response was lost.
func (j *Journal) replacePointer(ctx context.Context, p pointer, value []byte) error {
	row, err := j.store.Table.Get(ctx, j.pointerKey())
	if err != nil {
		return errors.Annotate(err, "read snapshot pointer")
	}
	current, err := decodePointer(row.Value)
	if err != nil {
		return errors.Annotatef(err, "decode row %s", row.Key)
	}
	if current.Object == p.Object {
		j.setPointer(p, row.Version)
		return nil
	}
	if current.Epoch > j.epoch {
		return errors.WithType(errors.Errorf("row %s was written by a newer owner", row.Key), ErrFenced)
	}
	version, err := j.store.Table.Put(ctx, j.pointerKey(), value, row.Version)
	if err != nil {
		return errors.Annotate(err, "write snapshot pointer")
	}
	j.pointer = current
	j.setPointer(p, version)
	return nil
}

// setPointer records that the pointer row names a new snapshot.
func (j *Journal) setPointer(p pointer, version tablestore.Version) {
	if j.pointer.Pages == 0 {
		j.replaced = j.pointer.Object
	}
	j.pointer, j.pointerVersion = p, version
}

// removeRows removes the rows up to covers except those that fence an earlier owner.
// This includes rows left over from an earlier, failed compaction.
func (j *Journal) removeRows(ctx context.Context, covers uint64, wait func(context.Context) error) error {
	after := ""
	for {
		rows, err := j.store.Table.List(ctx, j.prefix(), after, listLimit)
		if err != nil {
			return errors.Annotate(err, "list rows covered by the snapshot")
		}
		for _, row := range rows {
			sequence, err := j.sequenceOf(row.Key)
			if err != nil {
				return err
			}
			if sequence > covers {
				return nil
			}
			after = row.Key
			if slices.Contains(j.pointer.Fences, sequence) {
				continue
			}
			if err := j.removeRow(ctx, row, wait); err != nil {
				return err
			}
		}
		if len(rows) < listLimit {
			return nil
		}
	}
}

func (j *Journal) pointerKey() string { return "snapshot/" + j.partition }
