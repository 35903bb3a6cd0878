// Package httpconn provides connections from which only valid HTTP/1 answers can be read
// (RFC 9110, RFC 9112). The parser of net/http is more lenient: it accepts statuses that do
// not exist, field names with blanks, and a transfer coding that it ignores.
//
// A connection reports an answer that the protocol does not allow as an error of Read, which
// the reader treats like any other failure of its server:
//
//   - The heads of an answer, interim ones included, are checked as they arrive (head.go):
//     status line, names and values of fields, and a bound on the bytes of all of them.
//   - A connection that was reset never reads as one that ended in order, even if a
//     concurrent write has received the error of the reset.
//   - The names of trailer fields are checked at the end of a body (trailer.go).
//
// What net/http checks itself is left to it: lengths, chunks, and bodies that break off.
//
// # Usage
//
// A reader with connections of its own:
//
//	conn := httpconn.New(raw)
//	reader := bufio.NewReader(conn)
//	response, err := conn.ReadAnswer(reader, http.MethodGet)
//
// A client of net/http:
//
//	client := &http.Client{Transport: httpconn.NewTransport(&http.Transport{})}
package httpconn

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
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
	head head
	// expects is set while heads are checked. The reader clears it; a goroutine that begins an
	// exchange on an idle connection sets it.
	expects atomic.Bool
	// writing holds a token while a write is in progress, which guards broken: the error of the
	// network that a write received.
	writing chan struct{}
	broken  error
	// failed is the error that reading ended with.
	failed atomic.Pointer[error]
	// holdErrors delays the error of a write until reading has ended; ended is closed then.
	holdErrors bool
	ended      chan struct{}
	isEnded    atomic.Bool
}

// New returns a Conn that uses raw.
func New(raw net.Conn) *Conn {
	return &Conn{Conn: raw, writing: make(chan struct{}, 1), ended: make(chan struct{})}
}

// ReadAnswer reads the head of the answer to a request of some method from a reader of the
// connection, and skips interim answers. The error is ErrInvalid, ErrHeadTooLong, or one of
// net/http or the network.
func (c *Conn) ReadAnswer(reader *bufio.Reader, method string) (*http.Response, error) {
	c.expectAnswer()
	buffered, err := reader.Peek(reader.Buffered())
	if err != nil {
		return nil, err
	}
	if _, err := c.check(buffered); err != nil {
		return nil, err
	}
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= minFinalStatus {
			checkTrailer(response)
			return response, nil
		}
	}
}

// expectAnswer checks the bytes that follow as the heads of an answer.
func (c *Conn) expectAnswer() {
	c.head = head{}
	c.expects.Store(true)
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if failed := c.failed.Load(); failed != nil {
		return 0, *failed
	}
	n, err := c.Conn.Read(p)
	if checked, invalid := c.check(p[:n]); invalid != nil {
		n, err = checked, invalid
	}
	if err == io.EOF {
		err = c.endOfStream()
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.fail(err)
	}
	return n, err
}

// fail ends reading with an error.
func (c *Conn) fail(err error) {
	c.failed.Store(&err)
	c.end()
}

// check checks bytes that were read, and returns how many of them may be passed on.
func (c *Conn) check(p []byte) (int, error) {
	if !c.expects.Load() {
		return len(p), nil
	}
	n, err := c.head.check(p)
	if err != nil || c.head.isComplete() {
		c.expects.Store(false)
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

func (c *Conn) write(write func() (int64, error)) (int64, error) {
	n, err := c.recordedWrite(write)
	if err != nil && c.holdErrors {
		<-c.ended
	}
	return n, err
}

// recordedWrite writes and keeps the error of a connection that broke. EPIPE is none: the
// system reports it after an orderly end, and after an error that was reported before.
func (c *Conn) recordedWrite(write func() (int64, error)) (int64, error) {
	c.writing <- struct{}{}
	defer func() { <-c.writing }()
	n, err := write()
	if err != nil && isBreak(err) {
		c.broken = err
	}
	return n, err
}

func isBreak(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.end()
	return c.Conn.Close()
}

// end records that nothing more is read.
func (c *Conn) end() {
	if c.isEnded.CompareAndSwap(false, true) {
		close(c.ended)
	}
}

// serverError returns the error that reading ended with if the server is to blame for it.
func (c *Conn) serverError() error {
	failed := c.failed.Load()
	if failed == nil {
		return nil
	}
	if errors.Is(*failed, ErrInvalid) || errors.Is(*failed, ErrHeadTooLong) || errors.Is(*failed, ErrReset) {
		return *failed
	}
	return nil
}
