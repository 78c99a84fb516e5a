package configuration_test

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// table is a table of one row that leaves reads and writes without a response at
// random; such a write may have taken effect.
type table struct {
	mu     sync.Mutex
	row    tablestore.Row
	random *rand.Rand
	// lostPercent is the probability, in percent, that a read or write gets no
	// response.
	lostPercent int
	// beforeWrite runs before each write, without the lock held.
	beforeWrite func()
}

func (t *table) Get(context.Context, string) (tablestore.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.random != nil && t.random.IntN(100) < t.lostPercent {
		return tablestore.Row{}, tablestore.ErrUnavailable
	}
	return t.row, nil
}

func (t *table) Put(_ context.Context, key string, value []byte, expected tablestore.Version) (tablestore.Version, error) {
	if t.beforeWrite != nil {
		t.beforeWrite()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := t.random != nil && t.random.IntN(100) < t.lostPercent
	if lost && t.random.IntN(2) == 0 {
		return 0, tablestore.ErrUnknown
	}
	if t.row.Version != expected {
		return 0, tablestore.ErrConflict
	}
	t.row = tablestore.Row{Key: key, Version: expected + 1, Value: value}
	if lost {
		return 0, tablestore.ErrUnknown
	}
	return t.row.Version, nil
}
