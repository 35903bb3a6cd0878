// Package membudget bounds what a gateway process holds in memory for its callers, for all
// connections and requests together. A Budget guards a memory.Ledger, lets long bodies wait for
// room, and has holders give memory back when there is none. The memory of a long body counts
// until the garbage collector has run, which it does when there is no room otherwise. A Budget is
// safe for concurrent use.
//
// # Usage
//
//	budget := membudget.New(membudget.Options{Limits: memory.NewLimits(284 << 20)})
//	hold, ok := budget.TryHold(memory.Request, 24 << 10)
//	defer hold.Release()
//	hold, err := budget.Await(ctx, contentLength, patience) // ErrNoRoom, ErrTooLarge
package membudget

import (
	"errors"
	"runtime"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
)

var (
	// ErrNoRoom means that there is no room for a body now.
	ErrNoRoom = errors.New("there is no room in memory")
	// ErrTooLarge means that there is no room for a body at any time.
	ErrTooLarge = errors.New("the body is larger than the memory for bodies")
)

const (
	// maxWaiting bounds the bodies that wait for room at once: what has arrived of each is
	// held by the system's socket buffers.
	maxWaiting = 64
	// reclaimTime is how long a body waits for memory that its holders are giving back.
	reclaimTime = 100 * time.Millisecond
	// minCollectInterval is the least time between two runs of the garbage collector for want of
	// room. A run takes some milliseconds of processor time.
	minCollectInterval = 50 * time.Millisecond
)

// Options configure a Budget; zero values are usable.
type Options struct {
	// Limits bound what is held; the zero value means those without a bound on the process.
	Limits memory.Limits
	// Clock measures how long bytes are held; nil means time.Now.
	Clock func() time.Time
	// Collect runs the garbage collector; nil means runtime.GC.
	Collect func()
}

// Shortage is memory for which there is no room.
type Shortage struct {
	bytes int64
	body  bool
}

// Bytes returns how many bytes are short.
func (s Shortage) Bytes() int64 { return s.bytes }

// OfBodies reports whether only bodies that are given up make room: connections do not.
func (s Shortage) OfBodies() bool { return s.body }

// Reclaim has a holder give back memory that it can do without. It returns how many bytes it
// gives back, at once or within reclaimTime.
type Reclaim func(s Shortage) int64

// Budget bounds the memory that a process holds for its callers.
type Budget struct {
	clock      func() time.Time
	collect    func()
	collecting sync.Mutex // held while the garbage collector runs

	mu          sync.Mutex
	ledger      *memory.Ledger
	collectedAt time.Time
	scheduled   bool // collectScheduled will be called
	waiting     []*waiter
	waits       uint64
	refusals    uint64
	reclaims    []Reclaim
}

// New returns a budget of which nothing is held.
func New(o Options) *Budget {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Limits == (memory.Limits{}) {
		o.Limits = memory.NewLimits(0)
	}
	if o.Collect == nil {
		o.Collect = runtime.GC
	}
	return &Budget{clock: o.Clock, collect: o.Collect, ledger: memory.NewLedger(o.Limits)}
}

// SetLimits changes the limits; bytes already held beyond them stay.
func (b *Budget) SetLimits(l memory.Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.SetLimits(l)
	b.grant()
}

// OnShortage adds a function that is called, without any lock held, when there is no room. It
// must be called before the budget is used.
func (b *Budget) OnShortage(reclaim Reclaim) { b.reclaims = append(b.reclaims, reclaim) }

// Hold counts n bytes until the Hold is released, also beyond the limits: for what is bounded
// otherwise.
func (b *Budget) Hold(h memory.Holder, n int64) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.add(h, n)
}

// TryHold counts n bytes until the Hold is released, if there is room for them.
func (b *Budget) TryHold(h memory.Holder, n int64) (hold *Hold, ok bool) {
	hold, _ = b.tryHold(h, n)
	return hold, hold != nil
}

// tryHold holds n bytes, also where bodies wait for more, and returns what makeRoom does; the Hold
// is nil if there is no room.
func (b *Budget) tryHold(h memory.Holder, n int64) (hold *Hold, freed int64) {
	_, freed = b.makeRoom(h, n, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		if !b.ledger.Fits(h, n) {
			return false
		}
		hold = b.add(h, n)
		return true
	})
	return hold, freed
}

// makeRoom calls try, which takes n bytes if there is room for them, and calls it again where room
// was made: by the garbage collector, and then by holders that give memory back. For answers no
// room is made: they go on in small pieces. It returns whether there was room, and how many
// bytes holders give back.
func (b *Budget) makeRoom(h memory.Holder, n int64, try func() bool) (ok bool, freed int64) {
	if try() {
		return true, 0
	}
	if h == memory.Answer {
		return false, 0
	}
	if b.collectGarbage() && try() {
		return true, 0
	}
	freed = b.reclaim(h, n)
	return freed > 0 && try(), freed
}

// add counts n bytes; the caller holds the lock.
func (b *Budget) add(h memory.Holder, n int64) *Hold {
	b.ledger.Add(h, n)
	return &Hold{budget: b, holder: h, bytes: n, since: b.clock()}
}

// collectGarbage runs the garbage collector if the memory of bodies that are no longer held may be
// uncollected, and reports whether it was run. It is not if it was a moment ago.
func (b *Budget) collectGarbage() bool {
	if n, in := b.garbage(); n == 0 || in > 0 {
		return false
	}
	b.collecting.Lock()
	defer b.collecting.Unlock()
	n, in := b.garbage()
	if n == 0 || in > 0 {
		return true // collected meanwhile
	}
	b.collect()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ledger.Collected(n)
	b.collectedAt = b.clock()
	b.released()
	return true
}

// garbage returns how many bytes may be uncollected, and after what time the garbage
// collector may run.
func (b *Budget) garbage() (n int64, in time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Garbage(), b.collectIn()
}

// collectIn returns after what time the garbage collector may run; the caller holds the lock.
func (b *Budget) collectIn() time.Duration {
	if b.collectedAt.IsZero() {
		return 0
	}
	return max(minCollectInterval-b.clock().Sub(b.collectedAt), 0)
}

// released gives room to bodies that wait for it, now and once garbage is collected; the caller
// holds the lock.
func (b *Budget) released() {
	b.grant()
	if len(b.waiting) == 0 || b.ledger.Garbage() == 0 || b.scheduled {
		return
	}
	b.scheduled = true
	time.AfterFunc(b.collectIn(), b.collectScheduled)
}

// collectScheduled runs the garbage collector for bodies that wait for room.
func (b *Budget) collectScheduled() {
	b.mu.Lock()
	b.scheduled = false
	b.mu.Unlock()
	b.collectGarbage()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released()
}

// reclaim has the holders give memory back and returns how much they do.
func (b *Budget) reclaim(h memory.Holder, n int64) (freed int64) {
	short := Shortage{bytes: n, body: !b.needsOthers(h, n)}
	for _, reclaim := range b.reclaims {
		if freed >= n {
			break
		}
		short.bytes = n - freed
		freed += reclaim(short)
	}
	return freed
}

func (b *Budget) needsOthers(h memory.Holder, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.NeedsOthers(h, n)
}

// Usage returns what a holder holds.
func (b *Budget) Usage(h memory.Holder) memory.Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.Usage(h)
}

// MayEverFit reports whether a body of n bytes can be held if no other one is.
func (b *Budget) MayEverFit(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.MayEverFit(n)
}

// UsualBodyTime returns how long a long body is usually held; 0 if none was yet.
func (b *Budget) UsualBodyTime() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ledger.UsualBodyTime()
}

// Counts are how bodies fared that found no room at first.
type Counts struct {
	waiting         int
	waits, refusals uint64
	limit           int64
}

// Waiting returns how many wait now.
func (c Counts) Waiting() int { return c.waiting }

// Waits returns how many have begun to wait, and Refusals how many got no room.
func (c Counts) Waits() uint64 { return c.waits }

// Refusals returns how many got no room.
func (c Counts) Refusals() uint64 { return c.refusals }

// Limit returns how many bytes all holders together may hold.
func (c Counts) Limit() int64 { return c.limit }

// Counts returns how bodies fared that found no room at first.
func (b *Budget) Counts() Counts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Counts{waiting: len(b.waiting), waits: b.waits, refusals: b.refusals, limit: b.ledger.Limits().Total()}
}
