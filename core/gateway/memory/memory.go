// Package memory decides which bytes a gateway may hold in memory for its callers, so that
// the process stays within its memory whatever arrives.
//
// It owns the limits, the counts of what is held, and the order in which bodies that wait for
// room get it. It does no I/O and reads no clock. A Ledger is not safe for concurrent use;
// internal/gateway/membudget guards one.
//
// # Usage
//
//	ledger := memory.NewLedger(memory.NewLimits(284 << 20))
//	if ledger.Fits(memory.Body, 4096) {
//		ledger.Add(memory.Body, 4096)
//		// ...
//		ledger.Remove(memory.Body, 4096, held)
//	}
package memory

import (
	"math"
	"time"
)

// Holder is what bytes are held for.
type Holder int

// The holders.
const (
	// Connection is a client's connection: its buffers and what has arrived of a head.
	Connection Holder = iota
	// Request is a request in flight: what serves it, its head, and a body of up to
	// SmallBody bytes.
	Request
	// Body is the body of a request that is longer than SmallBody.
	Body
	// Answer is the answer to a request.
	Answer
	holders
)

// SmallBody is the longest body, in bytes, that counts with its request: bodies up to this
// length never wait for room.
const SmallBody = 64 << 10

// Holders lists all holders.
func Holders() []Holder { return []Holder{Connection, Request, Body, Answer} }

// String returns the name of the holder in metrics.
func (h Holder) String() string {
	return [holders]string{"connection", "request", "body", "answer"}[h]
}

// Limits bound what is held, in bytes. The zero value allows nothing.
type Limits struct {
	total  int64 // of all holders
	shared int64 // of all holders but Request, for which the rest of total is reserved
	body   int64
	answer int64
}

// Shares of the process's memory. The rest is for the program, its own state and the memory
// that the garbage collector has not reclaimed yet.
const (
	totalShare  = 0.6
	sharedShare = 0.54
	bodyShare   = 0.48
	answerShare = 0.125
)

// defaultAnswerLimit is the limit of answers where the process's memory has no bound, in bytes.
// It is enough for 4,000 long answers at once.
const defaultAnswerLimit = 64 << 20

// NewLimits returns the limits for a process that may use so many bytes of memory; 0 means no
// bound.
func NewLimits(process int64) Limits {
	if process <= 0 {
		return Limits{total: math.MaxInt64, shared: math.MaxInt64, body: math.MaxInt64, answer: defaultAnswerLimit}
	}
	share := func(s float64) int64 { return int64(s * float64(process)) }
	return Limits{total: share(totalShare), shared: share(sharedShare), body: share(bodyShare), answer: share(answerShare)}
}

// WithAnswers returns the limits with another one for answers, in bytes.
func (l Limits) WithAnswers(n int64) Limits {
	l.answer = n
	return l
}

// Total returns the limit of all holders together.
func (l Limits) Total() int64 { return l.total }

// Body returns the limit of long bodies: no longer one can be held.
func (l Limits) Body() int64 { return l.body }

// Answers returns the limit of answers.
func (l Limits) Answers() int64 { return l.answer }

// Usage is what one holder holds and has held.
type Usage struct {
	held, peak int64
	holds      uint64
	heldFor    time.Duration
}

// Held returns how many bytes are held now.
func (u Usage) Held() int64 { return u.held }

// Peak returns the most bytes that were ever held at once.
func (u Usage) Peak() int64 { return u.peak }

// Holds returns how many holds have ended, and HeldFor how long they lasted in total.
func (u Usage) Holds() uint64 { return u.holds }

// HeldFor returns the total duration of the holds that have ended.
func (u Usage) HeldFor() time.Duration { return u.heldFor }

// usualWeight is the weight of the latest hold in the usual duration of holds.
const usualWeight = 0.2

// Ledger counts the bytes that are held.
type Ledger struct {
	limits Limits
	usage  [holders]Usage
	held   int64 // by all holders
	// garbage is the bytes of bodies that are no longer held, but may not be collected yet.
	garbage int64
	usual   time.Duration
}

// NewLedger returns an empty ledger.
func NewLedger(l Limits) *Ledger { return &Ledger{limits: l} }

// SetLimits changes the limits; bytes already held beyond them stay.
func (l *Ledger) SetLimits(limits Limits) { l.limits = limits }

// Limits returns the limits in force.
func (l *Ledger) Limits() Limits { return l.limits }

// Fits reports whether n more bytes may be held now.
func (l *Ledger) Fits(h Holder, n int64) bool {
	if n <= 0 {
		return true
	}
	if n > l.limits.total-l.held-l.garbage {
		return false
	}
	switch h {
	case Request:
		return true
	case Body:
		return l.fitsShared(n) && l.fitsBodies(n)
	case Answer:
		return l.fitsShared(n) && n <= l.limits.answer-l.usage[Answer].held
	default:
		return l.fitsShared(n)
	}
}

func (l *Ledger) fitsShared(n int64) bool {
	return n <= l.limits.shared-(l.held+l.garbage-l.usage[Request].held)
}

func (l *Ledger) fitsBodies(n int64) bool {
	return n <= l.limits.body-l.usage[Body].held-l.garbage
}

// NeedsOthers reports whether n more bytes would fit if other holders gave back enough: false if
// the limit of the holder itself leaves no room.
func (l *Ledger) NeedsOthers(h Holder, n int64) bool {
	return h != Body || l.fitsBodies(n)
}

// MayEverFit reports whether a body of n bytes can be held if no other one is.
func (l *Ledger) MayEverFit(n int64) bool { return n <= l.limits.body }

// Add counts n bytes.
func (l *Ledger) Add(h Holder, n int64) {
	u := &l.usage[h]
	l.held += n
	u.held += n
	u.peak = max(u.peak, u.held)
}

// Remove ends a hold of n bytes, which lasted for the given time. The bytes of a body take up
// room until Collected is called.
func (l *Ledger) Remove(h Holder, n int64, lasted time.Duration) {
	u := &l.usage[h]
	l.held -= n
	u.held -= n
	u.holds++
	u.heldFor += lasted
	if h == Body {
		l.garbage += n
		l.usual += time.Duration(usualWeight * float64(lasted-l.usual))
	}
}

// Garbage returns the bytes of bodies that are no longer held, but may not be collected yet.
func (l *Ledger) Garbage() int64 { return l.garbage }

// Collected records that n bytes of them were collected.
func (l *Ledger) Collected(n int64) { l.garbage -= n }

// Usage returns what a holder holds.
func (l *Ledger) Usage(h Holder) Usage { return l.usage[h] }

// UsualBodyTime returns how long a long body is usually held; 0 if none was yet.
func (l *Ledger) UsualBodyTime() time.Duration { return l.usual }

// Grant returns which of the bodies that wait for room get it now, as indexes of their lengths,
// which are given in the order in which they came. A body that fits may go before an earlier
// one that does not. It counts nothing.
func (l *Ledger) Grant(lengths []int64) (granted []int) {
	after := *l
	for i, n := range lengths {
		if after.Fits(Body, n) {
			after.Add(Body, n)
			granted = append(granted, i)
		}
	}
	return granted
}
