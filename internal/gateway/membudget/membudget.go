// Package membudget records what a gateway process holds in memory for its callers, for all
// requests together. It guards a memory.Ledger and is safe for concurrent use.
//
// # Usage
//
//	budget := membudget.New(membudget.Options{})
//	hold := budget.Hold(memory.Body, 4096)
//	defer hold.Release()
package membudget

import (
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

// Options configure a Budget; zero values are usable.
type Options struct {
	// Clock measures how long bytes are held; nil means time.Now.
	Clock func() time.Time
}

// Budget records the memory that a process holds for its callers.
type Budget struct {
	clock  func() time.Time
	mu     sync.Mutex
	ledger *memory.Ledger
}

// New returns a budget of which nothing is held.
func New(o Options) *Budget {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return &Budget{clock: o.Clock, ledger: memory.NewLedger()}
}

// Hold counts n bytes until the Hold is released. A nil Budget counts nothing.
func (b *Budget) Hold(h memory.Holder, n int64) *Hold {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Add(h, n)
	return &Hold{budget: b, holder: h, bytes: n, since: b.clock()}
}

// Usage returns what a holder holds.
func (b *Budget) Usage(h memory.Holder) memory.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Usage(h)
}

// Hold is memory that is held until Release is called. A nil Hold holds nothing.
type Hold struct {
	budget *Budget
	holder memory.Holder
	bytes  int64
	since  time.Time
}

// Resize changes how many bytes are held; it does nothing once they were released.
func (h *Hold) Resize(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.since.IsZero() {
		return
	}
	h.budget.ledger.Resize(h.holder, h.bytes, n)
	h.bytes = n
}

// Release gives the bytes back; it may be called more than once.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.since.IsZero() {
		return
	}
	h.budget.ledger.Remove(h.holder, h.bytes, h.budget.clock().Sub(h.since))
	h.since = time.Time{}
}
