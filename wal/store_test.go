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

// fault is the behaviour of the store for subsequent calls.
type fault int

const (
	healthy fault = iota
	// unavailable rejects calls as unavailable, without any effect.
	unavailable
	// losesResponses lets a write take effect and loses the response.
	losesResponses
	// dropsCalls does not respond and has no effect.
	dropsCalls
	// delaysWrites lets a write take effect long after the call has timed out.
	delaysWrites
	// slow responds after slowDelay.
	slow
	faultCount
)

const (
	slowDelay = 300 * time.Millisecond
	// callTimeout is the time after which a call without a response fails.
	callTimeout = 2 * time.Second
)

// store is an in-memory table and object store. It is meant for use in a synctest
// bubble, where waiting takes no real time.
type store struct {
	mu          sync.Mutex
	rows        map[string]tablestore.Row
	objects     map[string][]byte
	lastVersion tablestore.Version
	tableFault  fault
	// objectsDown makes every call to the object store fail.
	objectsDown bool
	// delay is the time after which a delayed write takes effect.
	delay         time.Duration
	reads, writes int
	// delayedWrites counts the delayed writes that are in flight.
	delayedWrites sync.WaitGroup
}

func newStore() *store {
	return &store{rows: map[string]tablestore.Row{}, objects: map[string][]byte{}}
}

func (s *store) setFault(f fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tableFault = f
}

func (s *store) setObjectsDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objectsDown = down
}

func (s *store) currentFault() fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tableFault
}

// size returns the number of rows and of objects.
func (s *store) size() (rows, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), len(s.objects)
}

// calls returns the number of reads and writes so far.
func (s *store) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// pause waits for the given time or until the context ends.
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
	switch s.currentFault() {
	case unavailable:
		return tablestore.ErrUnavailable
	case dropsCalls, delaysWrites:
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
		s.lastVersion++
		s.rows[key] = tablestore.Row{Key: key, Version: s.lastVersion, Value: value}
		return s.lastVersion, nil
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
	switch s.currentFault() {
	case unavailable:
		return 0, tablestore.ErrUnavailable
	case losesResponses:
		if _, err := locked(); err != nil {
			return 0, err
		}
		return 0, tablestore.ErrUnknown
	case dropsCalls:
		pause(ctx, callTimeout)
		return 0, tablestore.ErrUnknown
	case delaysWrites:
		s.delayedWrites.Add(1)
		go func() {
			defer s.delayedWrites.Done()
			time.Sleep(s.delay)
			// The call has timed out; the caller learns the outcome from the row.
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
