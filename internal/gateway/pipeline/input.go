package pipeline

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

const (
	// readBytes is the room for what a connection brings, in bytes; it grows with
	// a longer head. Ordinary heads fit.
	readBytes = 4 << 10
	// wholeBytes is the longest body, in bytes, that gets its room at once.
	// A client may announce more than it sends.
	wholeBytes = 64 << 10
)

// Why no request can be read, where none is refused.
var (
	// errClientLeft says that the connection ended, or rested for too long.
	errClientLeft = errors.New("the client left")
	// errFinished says that the server shuts down before another request has come.
	errFinished = errors.New("the server shuts down")
	// errBodyTooLong says that a body is longer than the limits allow.
	errBodyTooLong = errors.New("the body is longer than the limits allow")
)

// parsers are the readers that the library's parser needs, shared so that idle
// connections hold none.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBytes) }}

// input is what has arrived on a connection and is not yet understood. One
// goroutine at a time, that which reads, uses it.
type input struct {
	read func([]byte) (int, error) // waits for bytes
	raw  []byte
	head int // bytes of raw that the parser may read as the head; 0 while it reads a body
}

// fill waits for more bytes.
func (in *input) fill() error {
	if len(in.raw) == cap(in.raw) {
		grown := make([]byte, len(in.raw), max(2*cap(in.raw), readBytes))
		copy(grown, in.raw)
		in.raw = grown
	}
	n, err := in.read(in.raw[len(in.raw):cap(in.raw)])
	in.raw = in.raw[:len(in.raw)+n]
	if n > 0 {
		return nil
	}
	return err
}

// hasRoom says whether fill may go on while nobody takes what has arrived.
func (in *input) hasRoom() bool { return len(in.raw) < readBytes }

// drop forgets the first n bytes.
func (in *input) drop(n int) { in.raw = in.raw[:copy(in.raw, in.raw[n:])] }

// Read gives the parser the head, and nothing behind it at once; then, while it
// reads a body, whatever comes.
func (in *input) Read(p []byte) (int, error) {
	for len(in.raw) == 0 {
		if err := in.fill(); err != nil {
			return 0, err
		}
	}
	most := len(in.raw)
	if in.head > 0 {
		most = in.head
	}
	n := copy(p, in.raw[:most])
	in.head = max(in.head-n, 0)
	in.drop(n)
	return n, nil
}

// putBack returns bytes that the parser took beyond its request.
func (in *input) putBack(parser *bufio.Reader) {
	if parser.Buffered() == 0 {
		return
	}
	ahead, err := parser.Peek(parser.Buffered())
	if err != nil {
		return // bytes that are buffered can always be seen
	}
	in.raw = append(bytes.Clone(ahead), in.raw...)
}

// hasHead says whether a whole head has arrived.
func (in *input) hasHead() bool { return bytes.Contains(in.raw, headEnd) }

// awaitHead waits until a whole head has arrived and returns its length.
func (in *input) awaitHead(limit int) (int, error) {
	for seen := 0; ; {
		if at := bytes.Index(in.raw[max(seen-len(headEnd), 0):], headEnd); at >= 0 {
			length := max(seen-len(headEnd), 0) + at + len(headEnd)
			if length > limit {
				return 0, errHeadTooLong
			}
			return length, nil
		}
		if len(in.raw) >= limit {
			return 0, errHeadTooLong
		}
		if hasBareLineFeed(in.raw) {
			return 0, errBadLine
		}
		seen = len(in.raw)
		if err := in.fill(); err != nil {
			return 0, err
		}
	}
}

// hasBareLineFeed says whether a line ends in LF alone: such a head would never
// be found to end.
func hasBareLineFeed(head []byte) bool {
	return bytes.Count(head, []byte("\n")) != bytes.Count(head, []byte("\r\n"))
}

// incoming is a request that has arrived whole, but for a body beyond the limit:
// the handler learns of that by an *http.MaxBytesError when it reads the body.
type incoming struct {
	*http.Request
	body    []byte
	hold    *membudget.Hold // of the body
	tooLong bool
}

// tooLongBody is a body beyond the limit.
type tooLongBody struct{ limit int64 }

// Read implements io.Reader.
func (b tooLongBody) Read([]byte) (int, error) { return 0, &http.MaxBytesError{Limit: b.limit} }

// parse reads the request whose head of the given length has arrived, and its body.
// bodyBegins is called between them; expects says that the client waits to be told
// to send the body.
func (in *input) parse(length int, limit int64, bodyBegins func(expects bool) error, hold *membudget.Hold) (incoming, error) {
	if err := checkHead(in.raw[:length]); err != nil {
		return incoming{}, err
	}
	parser := parsers.Get().(*bufio.Reader)
	parser.Reset(in)
	defer func() {
		parser.Reset(nil)
		parsers.Put(parser)
	}()
	in.head = length
	r, err := http.ReadRequest(parser)
	if err != nil {
		return incoming{}, errBadHead
	}
	body, err := readBody(r, limit, bodyBegins, hold)
	if errors.Is(err, errBodyTooLong) {
		r.Body = io.NopCloser(tooLongBody{limit: limit})
		return incoming{Request: r, hold: hold, tooLong: true}, nil
	}
	if err != nil {
		return incoming{}, err
	}
	in.putBack(parser)
	r.Body = http.NoBody
	if len(body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(body))
	}
	r.ContentLength, r.TransferEncoding = int64(len(body)), nil
	return incoming{Request: r, body: body, hold: hold}, nil
}

// expects says whether a client waits to be told before it sends a body.
func expects(r *http.Request) (bool, error) {
	expected := r.Header.Get("Expect")
	if expected != "" && !strings.EqualFold(expected, "100-continue") {
		return false, errExpectation
	}
	return expected != "" && r.ProtoAtLeast(1, 1), nil
}

// readBody reads a body whole.
func readBody(r *http.Request, limit int64, begins func(expects bool) error, hold *membudget.Hold) ([]byte, error) {
	waits, err := expects(r)
	switch {
	case err != nil:
		return nil, err
	case r.Body == http.NoBody:
		return nil, nil
	case limit > 0 && r.ContentLength > limit:
		return nil, errBodyTooLong
	}
	if err := begins(waits); err != nil {
		return nil, err
	}
	var body bytes.Buffer
	if r.ContentLength > 0 {
		body.Grow(int(min(r.ContentLength, wholeBytes)) + bytes.MinRead)
	}
	var from io.Reader = r.Body
	if limit > 0 {
		from = io.LimitReader(r.Body, limit+1)
	}
	if _, err := body.ReadFrom(&countedReader{from: from, buffer: &body, hold: hold}); err != nil {
		return nil, bodyError(err)
	}
	if limit > 0 && int64(body.Len()) > limit {
		return nil, errBodyTooLong
	}
	return body.Bytes(), nil
}

// countedReader counts the memory of the buffer that what it reads goes into.
type countedReader struct {
	from   io.Reader
	buffer *bytes.Buffer
	hold   *membudget.Hold
}

// Read implements io.Reader.
func (r *countedReader) Read(p []byte) (int, error) {
	r.hold.Resize(int64(r.buffer.Cap()))
	return r.from.Read(p)
}

// bodyError is what it means that a body could not be read whole.
func bodyError(err error) error {
	var broken *net.OpError
	switch {
	case errors.Is(err, errFinished):
		return errFinished
	case errors.Is(err, os.ErrDeadlineExceeded):
		return errBodyTooSlow
	case errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken):
		return errClientLeft
	default:
		return errBadBody
	}
}
