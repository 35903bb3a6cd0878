// Package ring is the bounded queue that joins the duties of a box.
//
// A ring never blocks its producer: when it is full the value is refused and
// counted, so that a slow duty cannot hold up the data path.
//
// # Usage
//
//	r := ring.New[Event](1024)
//	if !r.Push(ev) { /* the consumer is behind */ }
//	ev, err := r.Pop(ctx)
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue, safe for concurrent use.
type Ring[T any] struct {
	slots   chan T
	refused atomic.Uint64
}

// New makes a ring that holds up to size values; size is at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(size, 1))}
}

// Push adds v, or reports false and counts it when the ring is full.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
		r.refused.Add(1)
		return false
	}
}

// Pop waits for a value or for the end of ctx.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case v := <-r.slots:
		return v, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// TryPop takes a value if there is one.
func (r *Ring[T]) TryPop() (T, bool) {
	select {
	case v := <-r.slots:
		return v, true
	default:
		var zero T
		return zero, false
	}
}

// Len is the number of values waiting.
func (r *Ring[T]) Len() int { return len(r.slots) }

// Refused is how many values found the ring full.
func (r *Ring[T]) Refused() uint64 { return r.refused.Load() }
