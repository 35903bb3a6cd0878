package membudget

import (
	"context"
	"slices"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

// waiter is a body that waits for room.
type waiter struct {
	bytes   int64
	granted chan *Hold
}

// Await holds room for a body of n bytes and waits for it for up to patience. The error is
// ErrNoRoom, ErrTooLarge, or that of ctx.
func (b *Budget) Await(ctx context.Context, n int64, patience time.Duration) (*Hold, error) {
	if !b.MayEverFit(n) {
		return nil, ErrTooLarge
	}
	hold, freed := b.tryHold(memory.Body, n)
	if hold != nil {
		return hold, nil
	}
	if freed > 0 {
		patience = max(patience, reclaimTime)
	}
	w := b.enqueue(n, patience)
	if w == nil {
		return nil, ErrNoRoom
	}
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case hold := <-w.granted:
		return hold, nil
	case <-timer.C:
		return b.leave(w, ErrNoRoom)
	case <-ctx.Done():
		return b.leave(w, ctx.Err())
	}
}

// enqueue has a body wait for room; nil if it may not.
func (b *Budget) enqueue(n int64, patience time.Duration) *waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	if patience <= 0 || len(b.waiting) >= maxWaiting {
		b.refusals++
		return nil
	}
	w := &waiter{bytes: n, granted: make(chan *Hold, 1)}
	b.waiting = append(b.waiting, w)
	b.waits++
	b.released() // room may have been given back meanwhile
	return w
}

// leave ends a wait that brought nothing, or returns the room that it was granted meanwhile.
func (b *Budget) leave(w *waiter, err error) (*Hold, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case hold := <-w.granted:
		return hold, nil
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.refusals++
	return nil, err
}

// grant gives room to bodies that wait for it; the caller holds the lock.
func (b *Budget) grant() {
	if len(b.waiting) == 0 {
		return
	}
	lengths := make([]int64, len(b.waiting))
	for i, w := range b.waiting {
		lengths[i] = w.bytes
	}
	granted := b.ledger.Grant(lengths)
	for _, i := range granted {
		b.waiting[i].granted <- b.add(memory.Body, lengths[i])
	}
	for i := len(granted) - 1; i >= 0; i-- {
		b.waiting = slices.Delete(b.waiting, granted[i], granted[i]+1)
	}
}
