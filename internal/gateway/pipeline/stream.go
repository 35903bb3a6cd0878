package pipeline

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Errors of an answer that is passed on in pieces.
var (
	errUnframed  = errors.New("an answer without a length cannot be passed on in pieces to a client of HTTP/1.0")
	errTooMany   = errors.New("the answer is longer than its Content-Length")
	errCutShort  = errors.New("the answer is shorter than its Content-Length")
	errAbandoned = errors.New("the client has left")
)

// stream is an answer that is passed on while its handler still makes it.
type stream struct {
	conn    *conn
	until   time.Time // by which the client must have taken all of it
	chunked bool
	nobody  bool  // the answer has no body on the connection, whatever is written
	left    int64 // bytes of the body that are still to come, if not chunked
	err     error // why nothing more can be passed on
}

// FlushError implements what http.ResponseController looks for. The first call waits
// for the answer's turn and writes the head and what was written so far; from then on
// each Write goes to the client at once, and blocks while the client takes nothing.
// The handler then must write as many bytes as Content-Length says, or panic with
// http.ErrAbortHandler: the connection is closed so that the answer does not look
// whole.
func (a *answer) FlushError() error {
	if a.stream == nil {
		return a.begin()
	}
	return a.stream.err
}

func (a *answer) begin() error {
	x := a.exchange
	a.WriteHeader(http.StatusOK)
	length, err := strconv.ParseInt(a.header.Get("Content-Length"), 10, 64)
	chunked := err != nil || length < 0
	if chunked && x.old {
		return errUnframed
	}
	if !x.await(x.turn) {
		return errAbandoned
	}
	s := &stream{
		conn: x.conn, chunked: chunked, left: length, until: time.Now().Add(writeTimeout),
		nobody: x.method == http.MethodHead || !hasBody(a.status),
	}
	a.stream = s
	head := heads.Get().(*bytes.Buffer)
	defer heads.Put(head)
	head.Reset()
	a.encodeHead(head, framed{method: x.method, old: x.old, closes: x.conn.isLast(x), now: x.conn.server.options.Clock()})
	body := a.body
	a.body = nil
	return s.write(head.Bytes(), body)
}

// write writes the next part of the body, behind the head if there is one.
func (s *stream) write(head, p []byte) error {
	if s.err != nil {
		return s.err
	}
	if s.nobody {
		p = nil
	}
	if !s.chunked && int64(len(p)) > s.left && !s.nobody {
		s.err = errTooMany
		return s.err
	}
	s.left -= int64(len(p))
	if s.chunked && len(p) > 0 {
		head = fmt.Appendf(head, "%x\r\n", len(p))
		s.err = s.conn.writeUntil(s.until, head, p, crlf)
		return s.err
	}
	s.err = s.conn.writeUntil(s.until, head, p)
	return s.err
}

var (
	crlf      = []byte("\r\n")
	lastChunk = []byte("0\r\n\r\n")
)

// end ends an answer whose handler has returned.
func (s *stream) end() error {
	switch {
	case s.err != nil || s.nobody:
		return s.err
	case s.chunked:
		return s.conn.writeUntil(s.until, lastChunk)
	case s.left > 0:
		return errCutShort
	default:
		return nil
	}
}

// writeUntil writes the parts of a message, which only one goroutine does at a time: at
// once, if only the first holds any bytes.
func (c *conn) writeUntil(until time.Time, first []byte, more ...[]byte) error {
	if err := c.net.SetWriteDeadline(until); err != nil {
		return err
	}
	if !slices.ContainsFunc(more, func(p []byte) bool { return len(p) > 0 }) {
		_, err := c.net.Write(first)
		return err
	}
	parts := append(net.Buffers{first}, more...)
	_, err := parts.WriteTo(c.net)
	return err
}
