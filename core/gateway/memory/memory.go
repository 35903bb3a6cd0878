// Package memory accounts for the bytes that a gateway holds in memory for its callers: by
// what they are held for, how many at most, how often and for how long.
//
// It owns the counts. It does no I/O and reads no clock. A Ledger is not safe for concurrent
// use; internal/gateway/membudget guards one.
//
// # Usage
//
//	ledger := memory.NewLedger()
//	ledger.Add(memory.Body, 4096)
//	ledger.Remove(memory.Body, 4096, held)
//	usage := ledger.Usage(memory.Body)
package memory

import "time"

// Holder is what bytes are held for.
type Holder int

// The holders.
const (
	// Body is the body of a request as its client's connection has read it.
	Body Holder = iota
	// Copy is the body of a request as the data path keeps it.
	Copy
	// Send is a request that is being written to a target or another gateway.
	Send
	holders
)

// Holders lists all holders.
func Holders() []Holder { return []Holder{Body, Copy, Send} }

// String returns the name of the holder in metrics.
func (h Holder) String() string {
	return [holders]string{"body", "copy", "send"}[h]
}

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

// Holds returns how often bytes were held, and HeldFor for how long in total.
func (u Usage) Holds() uint64 { return u.holds }

// HeldFor returns the total duration of the holds that have ended.
func (u Usage) HeldFor() time.Duration { return u.heldFor }

// Ledger counts the bytes that are held.
type Ledger struct {
	usage [holders]Usage
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{} }

// Add counts n bytes.
func (l *Ledger) Add(h Holder, n int64) {
	u := &l.usage[h]
	u.held += n
	u.peak = max(u.peak, u.held)
}

// Resize changes a hold from one length to another, in bytes.
func (l *Ledger) Resize(h Holder, from, to int64) { l.Add(h, to-from) }

// Remove ends a hold of n bytes, which lasted for the given time.
func (l *Ledger) Remove(h Holder, n int64, lasted time.Duration) {
	u := &l.usage[h]
	u.held -= n
	u.holds++
	u.heldFor += lasted
}

// Usage returns what a holder holds.
func (l *Ledger) Usage(h Holder) Usage { return l.usage[h] }
