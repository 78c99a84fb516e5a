package configuration_test

import (
	"context"
	"math/rand/v2"
	"sync"

	"github.com/vanillaquay/vanillaquay/tablestore"
)

// table is a row whose writes lose their answers, before or after they take
// effect, as a seed decides.
type table struct {
	mu     sync.Mutex
	row    tablestore.Row
	random *rand.Rand
	// lost is the chance in percent that a write has no answer.
	lost int
	// beforeWrite runs before each write, outside of the lock.
	beforeWrite func()
}

func (t *table) Get(context.Context, string) (tablestore.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.random != nil && t.random.IntN(100) < t.lost {
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
	lost := t.random != nil && t.random.IntN(100) < t.lost
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
