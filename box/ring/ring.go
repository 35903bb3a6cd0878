// Package ring is the bounded queue that joins the duties of a box.
//
// A ring never blocks its producer: when it is full the value is refused, so
// that a slow duty cannot hold up the data path.
//
// It owns the values that wait. It relies on nothing.
//
// # Usage
//
//	r := ring.New[Event](1024)
//	if !r.Push(ev) { /* the consumer is behind */ }
//	ev, err := r.Pop(ctx)
package ring

import "context"

// Ring is a bounded first-in, first-out queue, safe for concurrent use.
type Ring[T any] struct {
	slots chan T
}

// New makes a ring that holds up to size values; size is at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, max(size, 1))}
}

// Push adds v, or reports false when the ring is full.
func (r *Ring[T]) Push(v T) bool {
	select {
	case r.slots <- v:
		return true
	default:
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
