// Package signal defines what a target signals about itself in the headers of an answer,
// whatever the answer is to: a request, a health probe, or an abandoned request.
//
// It also holds the signals that gateways share (Board). It depends on
// core/gateway/catalog for naming targets and does no I/O; internal/gateway/upstream
// parses signals from the wire, and internal/gateway/signals shares them.
//
// # Usage
//
//	s := signal.Signals{BackOff: 3 * time.Second}
//	if !s.IsZero() {
//		observe(target, s)
//	}
package signal

import "time"

// Signals are the signals in one answer.
type Signals struct {
	// BackOff is for how long the target asks this gateway to send it nothing; 0 if it
	// does not ask.
	BackOff time.Duration
	// Leaving says that the target is draining and then ends.
	Leaving bool
}

// IsZero reports whether the answer contains no signal.
func (s Signals) IsZero() bool { return s == Signals{} }
