package wal_test

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// fault is how the store treats the next calls.
type fault int

const (
	healthy fault = iota
	// refuses answers that the service is unavailable, without any effect.
	refuses
	// loses lets a write take effect and loses its answer.
	loses
	// drops gives no answer and has no effect.
	drops
	// delays lets a write take effect long after its answer was given up.
	delays
	// slow answers after slowDelay.
	slow
	faults
)

const (
	slowDelay = 300 * time.Millisecond
	// callTimeout is after how long a call without an answer is given up.
	callTimeout = 2 * time.Second
)

// store is a table and an object store in memory. It is meant for a bubble of
// package synctest, in which time passes at once.
type store struct {
	mu      sync.Mutex
	rows    map[string]tablestore.Row
	objects map[string][]byte
	last    tablestore.Version
	table   fault
	// objectsDown makes the object store refuse every call.
	objectsDown bool
	// late is when a delayed write takes effect.
	late          time.Duration
	reads, writes int
	// wait counts the delayed writes that are under way.
	wait sync.WaitGroup
}

func newStore() *store {
	return &store{rows: map[string]tablestore.Row{}, objects: map[string][]byte{}}
}

func (s *store) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table = f
}

func (s *store) setObjectsDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objectsDown = down
}

func (s *store) current() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table
}

// size returns the number of rows and of objects.
func (s *store) size() (rows, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), len(s.objects)
}

// calls returns how many reads and writes the store was asked for.
func (s *store) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// pause waits for an answer that does not come, or comes late.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *store) read(ctx context.Context) error {
	s.mu.Lock()
	s.reads++
	s.mu.Unlock()
	switch s.current() {
	case refuses:
		return tablestore.ErrUnavailable
	case drops, delays:
		pause(ctx, callTimeout)
		return tablestore.ErrUnavailable
	case slow:
		pause(ctx, slowDelay)
	}
	return ctx.Err()
}

func (s *store) Get(ctx context.Context, key string) (tablestore.Row, error) {
	if err := s.read(ctx); err != nil {
		return tablestore.Row{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row := s.rows[key]
	row.Key = key
	return row, nil
}

func (s *store) List(ctx context.Context, prefix, after string, limit int) ([]tablestore.Row, error) {
	if err := s.read(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []tablestore.Row
	for key, row := range s.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows[:min(limit, len(rows))], nil
}

func (s *store) Put(ctx context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error) {
	return s.write(ctx, func() (tablestore.Version, error) {
		if s.rows[key].Version != expected {
			return 0, tablestore.ErrConflict
		}
		s.last++
		s.rows[key] = tablestore.Row{Key: key, Version: s.last, Value: value}
		return s.last, nil
	})
}

func (s *store) Delete(ctx context.Context, key string, expected tablestore.Version) error {
	_, err := s.write(ctx, func() (tablestore.Version, error) {
		if s.rows[key].Version != expected {
			return 0, tablestore.ErrConflict
		}
		delete(s.rows, key)
		return 0, nil
	})
	return err
}

func (s *store) write(ctx context.Context, effect func() (tablestore.Version, error)) (tablestore.Version, error) {
	s.mu.Lock()
	s.writes++
	s.mu.Unlock()
	locked := func() (tablestore.Version, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		return effect()
	}
	switch s.current() {
	case refuses:
		return 0, tablestore.ErrUnavailable
	case loses:
		if _, err := locked(); err != nil {
			return 0, err
		}
		return 0, tablestore.ErrUnknown
	case drops:
		pause(ctx, callTimeout)
		return 0, tablestore.ErrUnknown
	case delays:
		s.wait.Add(1)
		go func() {
			defer s.wait.Done()
			time.Sleep(s.late)
			// The writer has given up; it learns the outcome from the row.
			_, _ = locked()
		}()
		pause(ctx, callTimeout)
		return 0, tablestore.ErrUnknown
	case slow:
		pause(ctx, slowDelay)
		if ctx.Err() != nil {
			return 0, tablestore.ErrUnknown
		}
	}
	return locked()
}

func (s *store) Read(ctx context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.objectsDown {
		return nil, tablestore.ErrUnavailable
	}
	data, ok := s.objects[key]
	if !ok {
		return nil, errors.NotFoundf("object %q", key)
	}
	return data, nil
}

func (s *store) Write(_ context.Context, key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objectsDown {
		return tablestore.ErrUnknown
	}
	s.objects[key] = data
	return nil
}

func (s *store) Remove(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objectsDown {
		return tablestore.ErrUnknown
	}
	delete(s.objects, key)
	return nil
}
