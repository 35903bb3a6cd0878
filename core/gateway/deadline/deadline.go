// Package deadline works out until when a request may be held: by the time-out of
// its route and by what the client says that it will wait.
//
// It owns the bounds on both. It does no I/O and reads no clock.
//
// # Usage
//
//	allowed, err := deadline.ParseMilliseconds("1500")
//	d := deadline.New(began, route.Timeout, allowed)
//	ctx, cancel := context.WithDeadline(ctx, d.Request())
package deadline

import (
	"errors"
	"strconv"
	"time"
)

const (
	// defaultTimeout holds where the route names no time-out.
	defaultTimeout = 30 * time.Second
	// longest is the longest time that a client can be believed to wait; it
	// keeps the sum with a moment from overflowing.
	longest = time.Hour
)

// NotGiven says that a client names no time that it will wait.
const NotGiven = time.Duration(-1)

// ErrMilliseconds says that the time a client names is none.
var ErrMilliseconds = errors.New("the client's deadline is not a whole number of milliseconds from 0 to 3600000")

// ParseMilliseconds reads the time that a client will wait: whole milliseconds,
// or NotGiven for an empty text. It fails with ErrMilliseconds.
func ParseMilliseconds(text string) (time.Duration, error) {
	if text == "" {
		return NotGiven, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 || ms > longest.Milliseconds() {
		return NotGiven, ErrMilliseconds
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// Deadline is until when a request may be held, and until when its client waits.
type Deadline struct {
	request time.Time
	client  time.Time
}

// New works out the deadlines of a request that came in at began. timeout is the
// route's, 0 or less for none; allowed is what the client will wait.
func New(began time.Time, timeout, allowed time.Duration) Deadline {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	d := Deadline{request: began.Add(timeout)}
	d.client = d.request
	if allowed == NotGiven {
		return d
	}
	d.client = began.Add(allowed)
	if d.client.Before(d.request) {
		d.request = d.client
	}
	return d
}

// Request is until when the request may be held: the earlier of what the route
// and the client allow.
func (d Deadline) Request() time.Time { return d.request }

// Client is until when the client waits.
func (d Deadline) Client() time.Time { return d.client }
