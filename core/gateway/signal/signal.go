// Package signal holds what a target says of itself in the head of an answer, whatever the answer
// is to: a request, a health probe, or a request that nobody waits for any more.
//
// It also holds what gateways share of that (Board). It relies on core/gateway/catalog for naming
// targets and does no I/O; internal/gateway/upstream reads signals from the wire, and
// internal/gateway/signals has them shared.
//
// # Usage
//
//	s := signal.Signals{BackOff: 3 * time.Second}
//	if !s.IsZero() {
//		observe(target, s)
//	}
package signal

import "time"

// Signals are those of one answer.
type Signals struct {
	// BackOff is for how long the target asks to be sent nothing by this gateway; 0 if it does
	// not ask.
	BackOff time.Duration
	// Leaving says that the target drains and then ends.
	Leaving bool
}

// IsZero says whether the answer says nothing.
func (s Signals) IsZero() bool { return s == Signals{} }
