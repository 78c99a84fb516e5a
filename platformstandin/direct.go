package platformstandin

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// Direct accesses the table of a stand-in without a network but with its faults,
// except for ReadDelay and WriteDelay. It serves tests on a virtual clock.
type Direct struct{ server *Server }

var _ tablestore.Table = Direct{}

// Direct returns the table of the stand-in.
func (s *Server) Direct() Direct { return Direct{server: s} }

// Get implements tablestore.Table.
func (d Direct) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if err := d.read(ctx); err != nil {
		return tablestore.Row{}, err
	}
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	row := d.server.rows[key]
	row.Key = key
	return row, nil
}

// List implements tablestore.Table.
func (d Direct) List(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	if err := d.read(ctx); err != nil {
		return nil, err
	}
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	return d.server.list(prefix, after, limit), nil
}

// Put implements tablestore.Table.
func (d Direct) Put(ctx context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error) {
	var version tablestore.Version
	err := d.write(ctx, key, expected, func() {
		d.server.lastVersion++
		version = d.server.lastVersion
		d.server.rows[key] = tablestore.Row{Key: key, Version: version, Value: value}
	})
	return version, err
}

// Delete implements tablestore.Table.
func (d Direct) Delete(ctx context.Context, key string, expected tablestore.Version) error {
	return d.write(ctx, key, expected, func() { delete(d.server.rows, key) })
}

// list returns the first limit rows that have the prefix and follow the key after, in
// order of key. The caller holds s.mu.
func (s *Server) list(prefix, after string, limit int) []tablestore.Row {
	rows := []tablestore.Row{}
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))]
}

func (d Direct) read(ctx context.Context) error {
	f := d.server.currentFaults()
	if f.TableDown || ctx.Err() != nil {
		return tablestore.ErrUnavailable
	}
	if f.TableHangs {
		<-ctx.Done()
		return tablestore.ErrUnavailable
	}
	d.server.mu.Lock()
	d.server.reads++
	d.server.mu.Unlock()
	return sleep(ctx, f.Delay, tablestore.ErrUnavailable)
}

// write applies a conditional write, subject to the injected faults. It returns
// ErrUnknown where the caller can't know whether the write was applied.
func (d Direct) write(ctx context.Context, key string, expected tablestore.Version, effect func()) error {
	f := d.server.currentFaults()
	if f.TableDown || !f.TableHangs && !d.server.admitWrite() {
		return tablestore.ErrUnavailable
	}
	if f.TableHangs {
		<-ctx.Done()
		return tablestore.ErrUnknown
	}
	if err := sleep(ctx, f.Delay, tablestore.ErrUnknown); err != nil {
		return err
	}
	err := d.applyIfMatch(key, expected, effect)
	switch {
	case f.WritesHang:
		<-ctx.Done()
		return tablestore.ErrUnknown
	case d.server.consumeAnswerLoss():
		return tablestore.ErrUnknown
	}
	return err
}

func (d Direct) applyIfMatch(key string, expected tablestore.Version, effect func()) error {
	d.server.mu.Lock()
	defer d.server.mu.Unlock()
	if d.server.rows[key].Version != expected {
		return tablestore.ErrConflict
	}
	effect()
	return nil
}

// sleep waits for d, and returns the given error if the context ends first.
func sleep(ctx context.Context, d time.Duration, failure error) error {
	if d == 0 {
		return nil
	}
	select {
	case <-ctx.Done():
		return failure
	case <-time.After(d):
		return nil
	}
}
