package wal

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Limits of a snapshot that is stored in rows of the table.
const (
	// PageBytes is the maximum size of one row (page) of a snapshot.
	PageBytes = fullBatchBytes
	// MaxPages is the maximum number of rows of one snapshot, so that one list
	// call returns them all. A larger snapshot goes to the object store.
	MaxPages = 64
)

// splitPages splits a snapshot into pages. It returns nil if there would be more
// than MaxPages.
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

// writePages stores the rows of a snapshot. A row that already exists was written by
// an earlier attempt to store the same snapshot: the name contains the epoch, which
// only one owner has.
func (j *Journal) writePages(ctx context.Context, name string, pages [][]byte, wait func(context.Context) error) error {
	for i, page := range pages {
		if err := wait(ctx); err != nil {
			return err
		}
		_, err := j.store.Table.Put(ctx, pageKey(name, i), page, 0)
		if err != nil && !errors.Is(err, tablestore.ErrConflict) {
			return errors.Annotate(err, "write snapshot page")
		}
	}
	return nil
}

// readPages reads the rows of a snapshot. It returns errGap if some are missing: a
// newer snapshot has replaced this one during the read.
func (j *Journal) readPages(ctx context.Context, name string, pages int) ([]byte, error) {
	rows, err := j.store.Table.List(ctx, name+"/", "", MaxPages)
	if err != nil {
		return nil, errors.Annotatef(err, "list pages of snapshot %s", name)
	}
	if len(rows) != pages {
		return nil, errors.WithType(errors.Errorf("snapshot %s: got %d rows, expected %d", name, len(rows), pages), errGap)
	}
	var data bytes.Buffer
	for _, row := range rows {
		data.Write(row.Value)
	}
	return data.Bytes(), nil
}

// removePages removes the rows of all snapshots but the current one, including
// rows left over from a failed compaction. It leaves rows under a higher epoch,
// which belong to a newer owner.
func (j *Journal) removePages(ctx context.Context, wait func(context.Context) error) error {
	end := pageKey(j.snapshotName(j.epoch+1, 0), 0)
	after := ""
	for {
		rows, err := j.store.Table.List(ctx, j.pointerKey()+"/", after, listLimit)
		if err != nil {
			return errors.Annotate(err, "list snapshot pages")
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

// removeRow removes one row after a wait for the rate limiter. A row that was
// changed or removed since is left alone.
func (j *Journal) removeRow(ctx context.Context, row tablestore.Row, wait func(context.Context) error) error {
	if err := wait(ctx); err != nil {
		return err
	}
	if err := j.store.Table.Delete(ctx, row.Key, row.Version); err != nil && !errors.Is(err, tablestore.ErrConflict) {
		return errors.Annotatef(err, "remove row %s", row.Key)
	}
	return nil
}

// snapshotName returns the name of a snapshot. Names sort by epoch.
func (j *Journal) snapshotName(epoch, covers uint64) string {
	return fmt.Sprintf("%s/%016d-%016d", j.pointerKey(), epoch, covers)
}

func pageKey(name string, page int) string { return fmt.Sprintf("%s/%04d", name, page) }
