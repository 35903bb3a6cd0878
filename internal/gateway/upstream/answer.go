package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Answer is a target's answer. It is either buffered, which means that its whole body
// has been read, or, if it is long, streamed: the rest of its body is still unread on
// the connection, and Next reads it.
//
// Close must be called when an answer is no longer needed. Until then it holds its
// bytes, and a streamed one its connection.
type Answer struct {
	status  int
	header  http.Header
	notRun  bool
	signals signal.Signals
	length  int64 // of the body; -1 if unknown
	body    []byte
	budget  *membudget.Budget
	hold    *membudget.Hold // of the bytes that are in memory; nil for none
	stream  *bodyStream     // nil if the body is buffered
}

// Status returns the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header returns the headers as the target sent them; the caller may change them.
func (a *Answer) Header() http.Header { return a.header }

// NotRun reports whether the target declared in the answer that it did not run the
// request.
func (a *Answer) NotRun() bool { return a.notRun }

// Signals returns the back-off and leaving signals in the answer's head.
func (a *Answer) Signals() signal.Signals { return a.signals }

// Buffered reports whether the whole body was read.
func (a *Answer) Buffered() bool { return a.stream == nil }

// Body returns the body of a buffered answer, without its transfer encoding.
func (a *Answer) Body() []byte { return a.body }

// Length returns the length of the body in bytes, or -1 if it is unknown.
func (a *Answer) Length() int64 { return a.length }

// OnEnd registers end, which is called once: with nil when the last byte was read, or with
// the reason for which reading stopped. For a buffered answer it is called at once.
func (a *Answer) OnEnd(end func(*verdict.Error)) {
	if a.stream == nil {
		end(nil)
		return
	}
	a.stream.onEnd = end
}

// BytesRead returns how many bytes of the body were read.
func (a *Answer) BytesRead() int {
	if a.stream == nil {
		return len(a.body)
	}
	return a.stream.bytesRead
}

// BackpressureTime returns how long reading from the target paused between calls of Next.
func (a *Answer) BackpressureTime() time.Duration {
	if a.stream == nil {
		return 0
	}
	return a.stream.backpressure
}

// Next reads the next part of a streamed answer, which is valid until the next call.
// The error is io.EOF after the last part, and a *verdict.Error if the answer ends
// early: what was forwarded of it must then not look complete to the client.
func (a *Answer) Next() ([]byte, error) { return a.stream.next(a) }

// Close releases the answer's bytes. If a streamed answer was not read to its end,
// Close also closes its connection, so that the target stops sending.
func (a *Answer) Close() {
	if a.stream != nil {
		a.stream.abandon()
	}
	a.hold.Release()
	a.body = nil
}

// bodyStream is the part of an answer's body that is still unread on its connection.
type bodyStream struct {
	exchange      *exchange
	body          io.Reader
	selfDelimited bool // the connection can be reused after the body
	buffer        []byte
	prefix        []byte // read, but not yet returned by Next
	ended         bool
	onEnd         func(*verdict.Error)
	bytesRead     int
	returnedAt    time.Time // when Next last returned
	backpressure  time.Duration
}

func (s *bodyStream) next(a *Answer) ([]byte, error) {
	s.endBackpressure()
	defer func() { s.returnedAt = s.exchange.conn.pool.options.Clock() }()
	if len(s.prefix) > 0 {
		piece := s.prefix
		s.prefix = nil
		return piece, nil
	}
	if s.ended {
		return nil, io.EOF
	}
	if s.buffer == nil {
		s.buffer = a.newStreamBuffer()
	}
	return s.fill()
}

// endBackpressure adds the time since Next last returned to the backpressure.
func (s *bodyStream) endBackpressure() {
	if !s.returnedAt.IsZero() {
		s.backpressure += s.exchange.conn.pool.options.Clock().Sub(s.returnedAt)
		s.returnedAt = time.Time{}
	}
}

// newStreamBuffer returns the buffer for reading the rest of the body: a small one if
// the budget is exhausted, since waiting for it could mean waiting for answers that are
// queued behind this one.
func (a *Answer) newStreamBuffer() []byte {
	size := streamBufferBytes
	if !a.reserve(size, false) {
		size = minStreamBufferBytes
		a.reserve(size, true)
	}
	return make([]byte, size)
}

// fill fills the buffer as far as the body allows.
func (s *bodyStream) fill() ([]byte, error) {
	n, err := readFull(s.body, s.buffer)
	s.bytesRead += n
	if err != nil && err != io.EOF {
		failure := s.exchange.fail(err)
		s.end(failure)
		return nil, failure
	}
	if err == io.EOF {
		s.exchange.finish(s.selfDelimited)
		s.end(nil)
	}
	if n == 0 {
		return nil, io.EOF
	}
	return s.buffer[:n], nil
}

// abandon stops reading an answer before its end.
func (s *bodyStream) abandon() {
	if !s.ended {
		s.endBackpressure()
		s.end(s.exchange.abandon())
	}
}

func (s *bodyStream) end(failure *verdict.Error) {
	s.ended = true
	if s.onEnd != nil {
		s.onEnd(failure)
	}
}

// readFull reads until p is full or an error occurs. It returns the error unchanged,
// unlike io.ReadFull: io.EOF alone means that the body is complete.
func readFull(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}
