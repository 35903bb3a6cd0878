package pipeline

import (
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// This file holds what the goroutines of one connection share, under its lock: what
// the reading one waits for, and until when.

// phase is what the reading goroutine of a connection waits for.
type phase int

const (
	// resting: the first byte of a request.
	resting phase = iota
	// arriving: the rest of a request.
	arriving
	// blocked: room for another request.
	blocked
	// ending: the answers to what was taken; nothing more is.
	ending
)

// past is a deadline that has passed: it ends a read that is under way.
var past = time.Unix(1, 0)

// passOver removes a deadline that has passed while requests are in flight, and
// says whether there are any.
func (c *conn) passOver() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.window.isEmpty() {
		return false
	}
	c.setReadDeadline(time.Time{})
	return true
}

// whyEnded is why a read was ended whose deadline has passed; nil if its time ran out.
func (c *conn) whyEnded() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.finished:
		return errFinished
	case c.evicted && c.arrival.isActive():
		return membudget.ErrNoRoom
	case c.evicted: // too late: the request had arrived
		return errFinished
	default:
		return nil
	}
}

// rest begins to wait for a request; the idle time runs while none is in flight.
func (c *conn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = resting
	c.idle, c.resting = c.limits.IdleTimeout, time.Now()
	c.setRestDeadline()
}

// setRestDeadline sets until when a resting connection is kept; the lock is held.
// While requests are in flight a deadline of before may stand: fill passes over it.
func (c *conn) setRestDeadline() {
	switch {
	case c.finished || c.evicted:
		c.setReadDeadline(past)
	case c.window.isEmpty():
		c.setReadDeadline(time.Now().Add(c.idle))
		c.bounded = false
	case c.bounded:
		c.setReadDeadline(time.Time{})
	}
}

// setReadDeadline bounds reads. It fails only on a connection that is closed,
// whose reads have ended.
func (c *conn) setReadDeadline(t time.Time) {
	c.bounded = !t.IsZero()
	_ = c.net.SetReadDeadline(t)
}

// arrive begins the time in which the rest of a head must come.
func (c *conn) arrive(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = arriving
	if c.finished || c.evicted {
		c.setReadDeadline(past)
		return
	}
	c.setReadDeadline(time.Now().Add(within))
}

// block says whether a condition on what is in flight holds; if not, the reader is
// woken by the next answer that is written.
func (c *conn) block(p phase, holds func(*window) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if holds(&c.window) {
		return true
	}
	c.phase = p
	c.setReadDeadline(time.Time{})
	return false
}

// finish lets the connection end once what it has taken is answered. A request
// that has not arrived whole is not taken: its client may send it elsewhere.
func (c *conn) finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finished {
		return
	}
	c.finished = true
	c.stopReading()
	c.wake()
}

// wake ends what the reader waits for; the lock is held.
func (c *conn) wake() {
	c.setReadDeadline(past)
	select {
	case c.room <- struct{}{}:
	default: // it is to look again already
	}
}

// startLinger bounds the lingering, and says whether there is a reason for it.
func (c *conn) startLinger() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.setReadDeadline(time.Now().Add(lingerTime))
	return c.last
}

// isLast says whether an exchange that is about to be answered is the last one: by
// its request, or since the server shuts down.
func (c *conn) isLast(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = x.closes || c.phase == ending && c.tail == x.done
	return c.last
}

// made counts an answer that was made; nil is none.
func (c *conn) made(a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.made(a.bytes())
}

// written forgets a request that is over, and has the reader look again.
func (c *conn) written(body int64, a *answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.written(body, a.bytes())
	switch c.phase {
	case resting:
		c.setRestDeadline()
	case blocked, ending:
		c.wake()
	case arriving:
	}
}
