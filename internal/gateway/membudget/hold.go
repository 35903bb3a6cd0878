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

// TryGrow holds n more bytes, if there is room for them, and reports whether there was.
func (h *Hold) TryGrow(n int64) bool {
	ok, _ := h.budget.makeRoom(h.holder, n, func() bool { return h.tryGrow(n) })
	return ok
}

func (h *Hold) tryGrow(n int64) bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.since.IsZero() {
		return true
	}
	if !h.budget.ledger.Fits(h.holder, n) {
		return false
	}
	h.budget.ledger.Add(h.holder, n)
	h.bytes += n
	return true
}

// Resize changes how many bytes are held, also beyond the limits.
func (h *Hold) Resize(n int64) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.since.IsZero() {
		return
	}
	isLess := n < h.bytes
	h.budget.ledger.Add(h.holder, n-h.bytes)
	h.bytes = n
	if isLess {
		h.budget.released()
	}
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
