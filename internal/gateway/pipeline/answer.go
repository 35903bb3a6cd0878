package pipeline

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer is what a handler answers to one request; it implements
// http.ResponseWriter and holds the answer whole, unless its handler flushes it
// (stream.go).
type answer struct {
	exchange *exchange
	status   int // 0 until it is known
	header   http.Header
	body     []byte
	release  func()  // of a body that the handler lent; nil for none
	stream   *stream // nil until it is flushed
}

func newAnswer(x *exchange) *answer { return &answer{exchange: x, header: http.Header{}} }

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter; the first status counts.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	if a.stream != nil {
		if err := a.stream.write(nil, p); err != nil {
			return 0, err
		}
		return len(p), nil
	}
	a.body = append(a.body, p...)
	return len(p), nil
}

// Lend answers with a whole body that need not be copied: it stays as it is until
// release is called, once the body was written or nobody waits for it any more.
func (a *answer) Lend(body []byte, release func()) {
	a.WriteHeader(http.StatusOK)
	a.body, a.release = body, release
}

// done gives back what the answer holds; nil is none.
func (a *answer) done() {
	if a == nil {
		return
	}
	a.body = nil
	if a.release != nil {
		a.release()
	}
}

// bytes is how much memory the answer holds, but for its head; none if it is nil.
func (a *answer) bytes() int64 {
	if a == nil {
		return 0
	}
	return int64(cap(a.body))
}

// framed says how an answer lies on its connection.
type framed struct {
	method string
	// old says that the request was HTTP/1.0, closes that the connection ends
	// with the answer.
	old    bool
	closes bool
	now    time.Time
}

// shortBody is the longest body, in bytes, that is copied behind its head rather
// than written beside it. A copy costs less than a second buffer.
const shortBody = 4 << 10

// heads are the buffers of answers that are being written.
var heads = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode makes the bytes of an answer: the head, with a short body behind it, and
// else the body.
func (a *answer) encode(head *bytes.Buffer, f framed) []byte {
	a.WriteHeader(http.StatusOK)
	a.encodeHead(head, f)
	if f.method == http.MethodHead || !hasBody(a.status) {
		return nil
	}
	if len(a.body) > shortBody {
		return a.body
	}
	head.Write(a.body)
	return nil
}

func (a *answer) encodeHead(head *bytes.Buffer, f framed) {
	a.frame(f)
	head.WriteString(f.protocol())
	head.WriteByte(' ')
	head.WriteString(strconv.Itoa(a.status))
	head.WriteByte(' ')
	head.WriteString(http.StatusText(a.status))
	head.WriteString("\r\n")
	_ = a.header.Write(head) // a buffer takes all
	head.WriteString("\r\n")
}

func (f framed) protocol() string {
	if f.old {
		return "HTTP/1.0"
	}
	return "HTTP/1.1"
}

// frame sets the header fields that concern this connection.
func (a *answer) frame(f framed) {
	h := a.header
	for _, name := range []string{"Connection", "Keep-Alive", "Transfer-Encoding"} {
		h.Del(name)
	}
	switch {
	case f.closes:
		h.Set("Connection", "close")
	case f.old:
		h.Set("Connection", "keep-alive")
	}
	switch {
	case !hasBody(a.status):
		h.Del("Content-Length")
	case a.stream != nil && a.stream.chunked:
		h.Del("Content-Length")
		h.Set("Transfer-Encoding", "chunked")
	case a.stream != nil:
		// The handler has given the length.
	case f.method != http.MethodHead:
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if h.Get("Date") == "" {
		h.Set("Date", f.now.UTC().Format(http.TimeFormat))
	}
}

// hasBody says whether answers with a status may have a body (RFC 9110, 6.4.1).
func hasBody(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
