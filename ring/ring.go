package ring

import (
	"context"

	"github.com/juju/errors"
)

// ErrFull is the error of TryPut if the ring has no free capacity.
const ErrFull = errors.ConstError("ring is full")

// Ring is a bounded queue between goroutines. Use New to make one.
type Ring[T any] struct {
	values chan T
}

// New returns a ring with the given capacity.
func New[T any](capacity int) *Ring[T] { return &Ring[T]{values: make(chan T, capacity)} }

// TryPut adds a value, or returns ErrFull immediately.
func (r *Ring[T]) TryPut(value T) error {
	select {
	case r.values <- value:
		return nil
	default:
		return ErrFull
	}
}

// Put adds a value, blocking until there is capacity or the context ends.
func (r *Ring[T]) Put(ctx context.Context, value T) error {
	select {
	case r.values <- value:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Values returns the channel to receive from.
func (r *Ring[T]) Values() <-chan T { return r.values }

// Depth returns the number of queued values.
func (r *Ring[T]) Depth() int { return len(r.values) }
