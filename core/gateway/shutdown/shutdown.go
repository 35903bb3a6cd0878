// Package shutdown decides which requests a gateway that is stopping still sends to targets:
// those that can be expected to end before the gateway does. All others are refused at once
// as not run, since other gateways can serve them, while one that is cut off may have run.
//
// It owns that rule. It does no I/O and reads no clock.
//
// # Usage
//
//	if !shutdown.Allows(shutdown.Request{Now: now, End: end, Deadline: deadline, Longest: longest}) {
//		// refuse the request
//	}
package shutdown

import "time"

const (
	// margin is how much longer than the longest request lately another one may take.
	margin = 1.1
	// slack is for an answer's way to its caller.
	slack = 250 * time.Millisecond
)

// Request is a request that would be sent now.
type Request struct {
	Now time.Time
	// End is when the gateway cuts off what is still in flight; zero if it does not stop.
	End time.Time
	// Deadline is that of the request, beyond which no answer is waited for.
	Deadline time.Time
	// Longest is how long requests of its route took lately; 0 if not known.
	Longest time.Duration
}

// Allows reports whether a request may be sent. One of a route of which nothing is known has to
// end by its deadline.
func Allows(r Request) bool {
	if r.End.IsZero() || !r.Deadline.After(r.End) {
		return true
	}
	if r.Longest == 0 {
		return false
	}
	return !r.Now.Add(time.Duration(margin*float64(r.Longest)) + slack).After(r.End)
}
