package wal

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Bounds of a snapshot in rows.
const (
	// PageBytes is the size of one row of a snapshot.
	PageBytes = fullBatchBytes
	// MaxPages is the most rows of one snapshot, which one read returns. A larger
	// one goes to the object store.
	MaxPages = 64
)

// splitPages cuts a snapshot into rows; none if it is too large.
func splitPages(data []byte) [][]byte {
	var pages [][]byte
	for len(data) > 0 {
		size := min(PageBytes, len(data))
		pages = append(pages, data[:size])
		data = data[size:]
	}
	if len(pages) > MaxPages {
		return nil
	}
	return pages
}

// writePages stores the rows of a snapshot. A row that an earlier try left is the
// same, since only one owner has the epoch in the name.
func (j *Journal) writePages(ctx context.Context, name string, pages [][]byte, wait func(context.Context) error) error {
	for i, page := range pages {
		if err := wait(ctx); err != nil {
			return err
		}
		_, err := j.store.Table.Put(ctx, pageKey(name, i), page, 0)
		if err != nil && !errors.Is(err, tablestore.ErrConflict) {
			return errors.Annotate(err, "page of a snapshot")
		}
	}
	return nil
}

// readPages reads the rows of a snapshot. If some are missing, a newer snapshot has
// replaced it meanwhile.
func (j *Journal) readPages(ctx context.Context, name string, pages int) ([]byte, error) {
	rows, err := j.store.Table.List(ctx, name+"/", "", MaxPages)
	if err != nil {
		return nil, errors.Annotatef(err, "snapshot %s", name)
	}
	if len(rows) != pages {
		return nil, errors.WithType(errors.Errorf("snapshot %s has %d rows of %d", name, len(rows), pages), errGap)
	}
	var data bytes.Buffer
	for _, row := range rows {
		data.Write(row.Value)
	}
	return data.Bytes(), nil
}

// removePages removes the rows of snapshots that are not in force, those included
// that a cut which failed has left. Rows under a higher epoch belong to another
// owner by now.
func (j *Journal) removePages(ctx context.Context, wait func(context.Context) error) error {
	end := pageKey(j.snapshotName(j.epoch+1, 0), 0)
	after := ""
	for {
		rows, err := j.store.Table.List(ctx, j.pointerKey()+"/", after, listLimit)
		if err != nil {
			return errors.Annotate(err, "pages of snapshots")
		}
		for _, row := range rows {
			after = row.Key
			if row.Key >= end || strings.HasPrefix(row.Key, j.pointer.Object+"/") {
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

// removeRow removes one row at the pace of the journal.
func (j *Journal) removeRow(ctx context.Context, row tablestore.Row, wait func(context.Context) error) error {
	if err := wait(ctx); err != nil {
		return err
	}
	if err := j.store.Table.Delete(ctx, row.Key, row.Version); err != nil && !errors.Is(err, tablestore.ErrConflict) {
		return errors.Annotatef(err, "row %s", row.Key)
	}
	return nil
}

// snapshotName names the snapshot of an epoch, in the order of epochs.
func (j *Journal) snapshotName(epoch, covers uint64) string {
	return fmt.Sprintf("%s/%016d-%016d", j.pointerKey(), epoch, covers)
}

func pageKey(name string, page int) string { return fmt.Sprintf("%s/%04d", name, page) }
