// Package deadline computes until when a request may be held: from the timeout of its
// route and the time that the client says it will wait.
//
// It owns the bounds on both. It does no I/O and reads no clock.
//
// # Usage
//
//	allowed, err := deadline.ParseMilliseconds("1500")
//	d := deadline.New(received, route.Timeout, allowed)
//	ctx, cancel := context.WithDeadline(ctx, d.Request())
package deadline

import (
	"errors"
	"strconv"
	"time"
)

const (
	// defaultTimeout applies if the route has no timeout.
	defaultTimeout = 30 * time.Second
	// maxAllowed is the longest wait that is accepted from a client; it keeps the sum
	// with a time from overflowing.
	maxAllowed = time.Hour
)

// Unspecified means that a client does not say how long it will wait.
const Unspecified = time.Duration(-1)

// ErrMilliseconds is returned for a wait that is malformed or out of range.
var ErrMilliseconds = errors.New("the client's deadline is not a whole number of milliseconds from 0 to 3600000")

// ParseMilliseconds parses the time that a client will wait: whole milliseconds, or
// Unspecified for an empty text. It fails with ErrMilliseconds.
func ParseMilliseconds(text string) (time.Duration, error) {
	if text == "" {
		return Unspecified, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > maxAllowed.Milliseconds() {
		return Unspecified, ErrMilliseconds
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Deadline holds until when a request may be held, and until when its client waits.
type Deadline struct {
	request time.Time
	client  time.Time
}

// New returns the deadlines of a request with the given receipt time. timeout is the
// route's, 0 or less for none; allowed is how long the client will wait.
func New(received time.Time, timeout, allowed time.Duration) Deadline {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	d := Deadline{request: received.Add(timeout)}
	d.client = d.request
	if allowed == Unspecified {
		return d
	}
	d.client = received.Add(allowed)
	if d.client.Before(d.request) {
		d.request = d.client
	}
	return d
}

// Request returns until when the request may be held: the earlier of what the route and
// the client allow.
func (d Deadline) Request() time.Time { return d.request }

// Client returns until when the client waits.
func (d Deadline) Client() time.Time { return d.client }
