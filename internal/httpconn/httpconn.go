// Package httpconn provides connections of clients of HTTP/1 that report how the server ended
// them: one that was reset never reads as one that ended in order, even if a concurrent write
// has received the error of the reset.
//
// # Usage
//
//	conn := httpconn.New(raw)
//	reader := bufio.NewReader(conn)
package httpconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// ErrReset means that a connection ended by a reset or another failure of the network, not by
// an orderly close.
var ErrReset = errors.New("the connection was reset")

// past is a deadline that has passed: it ends a write that is in progress.
var past = time.Unix(1, 0)

// Conn is a client's connection to a server of HTTP/1. One goroutine at a time may read, and
// another one may write.
type Conn struct {
	net.Conn
	// writing holds a token while a write is in progress, which guards broken.
	writing chan struct{}
	// broken is the error of the network that a write received.
	broken error
	// failed is the error that reading ended with.
	failed error
}

// New returns a Conn that uses raw.
func New(raw net.Conn) *Conn {
	return &Conn{Conn: raw, writing: make(chan struct{}, 1)}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if c.failed != nil {
		return 0, c.failed
	}
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfStream()
	}
	if err != nil && !isTimeout(err) {
		c.failed = err
	}
	return n, err
}

// endOfStream returns io.EOF if the server closed the connection in order. The system reports
// a reset to one call only, which may have been a write; later reads then look like an orderly
// end. No more than the answer is expected of the server, so a write that is in progress is
// ended, and its result awaited.
func (c *Conn) endOfStream() error {
	if err := c.SetWriteDeadline(past); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	if c.broken != nil {
		return fmt.Errorf("%w: %w", ErrReset, c.broken)
	}
	return io.EOF
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.write(func() (int64, error) {
		n, err := c.Conn.Write(p)
		return int64(n), err
	})
	return int(n), err
}

// WriteBuffers writes all buffers, in one call if the connection allows it.
func (c *Conn) WriteBuffers(buffers net.Buffers) (int64, error) {
	return c.write(func() (int64, error) { return buffers.WriteTo(c.Conn) })
}

// write writes and keeps the error of a connection that broke. EPIPE is none: the
// system reports it after an orderly end, and after an error that was reported before.
func (c *Conn) write(write func() (int64, error)) (int64, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := write()
	var errno syscall.Errno
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		c.broken = err
	}
	return n, err
}

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
