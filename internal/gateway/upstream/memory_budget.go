package upstream

import "sync"

// MemoryBudget bounds the bytes of answers that are held in memory, for all requests
// together. Once it is exhausted, answers are streamed through small buffers. It is
// safe for concurrent use.
type MemoryBudget struct {
	mu    sync.Mutex
	limit int64
	held  int64
	peak  int64
}

// NewMemoryBudget returns a budget of limit bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// SetLimit changes the limit; bytes already held beyond it stay.
func (b *MemoryBudget) SetLimit(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
}

// reserve adds n bytes if they are within the limit, and reports whether they are.
func (b *MemoryBudget) reserve(n int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+int64(n) > b.limit {
		return false
	}
	b.add(n)
	return true
}

// forceReserve adds n bytes, also beyond the limit: for what is bounded otherwise.
func (b *MemoryBudget) forceReserve(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.add(n)
}

// add counts n bytes; the caller holds the lock.
func (b *MemoryBudget) add(n int) {
	b.held += int64(n)
	b.peak = max(b.peak, b.held)
}

func (b *MemoryBudget) release(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.held -= int64(n)
}

// Held returns how many bytes are held now.
func (b *MemoryBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Peak returns the most bytes that were ever held at once.
func (b *MemoryBudget) Peak() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak
}
