package membudget

import (
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

// Hold is memory that is held until Release is called. A nil Hold holds nothing.
type Hold struct {
	budget *Budget
	holder memory.Holder
	bytes  int64
	since  time.Time // zero once it is released
}

// Bytes returns how many bytes are held.
func (h *Hold) Bytes() int64 {
	if h == nil {
		return 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.bytes
}

// TryResize changes how many bytes are held, if there is room for more, and reports whether
// there was.
func (h *Hold) TryResize(n int64) bool {
	if h.tryResize(n, false) {
		return true
	}
	if h.holder == memory.Answer {
		return false
	}
	if h.budget.collectGarbage() && h.tryResize(n, false) {
		return true
	}
	return h.budget.reclaim(h.holder, n-h.Bytes()) > 0 && h.tryResize(n, false)
}

// Resize changes how many bytes are held, also beyond the limits.
func (h *Hold) Resize(n int64) { h.tryResize(n, true) }

func (h *Hold) tryResize(n int64, force bool) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.since.IsZero() {
		return true
	}
	if !force && !h.budget.ledger.Fits(h.holder, n-h.bytes) {
		return false
	}
	h.budget.ledger.Add(h.holder, n-h.bytes)
	isLess := n < h.bytes
	h.bytes = n
	if isLess {
		h.budget.released()
	}
	return true
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
	h.bytes, h.since = 0, time.Time{}
	h.budget.released()
}
