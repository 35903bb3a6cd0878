package pipeline

import (
	"bufio"
	"bytes"
	"context"
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
)

// Why no request can be read, where none is refused.
var (
	// errClientLeft says that the connection ended, or rested for too long.
	errClientLeft = errors.New("the client left")
	// errFinished says that the server shuts down before another request has come.
	errFinished = errors.New("the server shuts down")
)

// parsers are the readers that the library's parser needs, shared so that idle
// connections hold none.
var parsers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBytes) }}

// input is what has arrived on a connection and is not yet understood. One
// goroutine at a time, that which reads, uses it.
type input struct {
	read func([]byte) (int, error) // waits for bytes
	grow func(bytes int) error     // holds room for a longer buffer
	raw  []byte
	head int // bytes of raw that the parser may read as the head; 0 while it reads a body
}

// fill waits for more bytes.
func (in *input) fill() error {
	if len(in.raw) == cap(in.raw) {
		if err := in.growTo(max(2*cap(in.raw), readBytes)); err != nil {
			return err
		}
	}
	n, err := in.read(in.raw[len(in.raw):cap(in.raw)])
	in.raw = in.raw[:len(in.raw)+n]
	if n > 0 {
		return nil
	}
	return err
}

// growTo makes the buffer longer.
func (in *input) growTo(bytes int) error {
	if err := in.grow(bytes); err != nil {
		return err
	}
	in.resize(bytes)
	return nil
}

func (in *input) resize(bytes int) {
	resized := make([]byte, len(in.raw), bytes)
	copy(resized, in.raw)
	in.raw = resized
}

// shrink drops the memory of a long head, and reports whether there was any.
func (in *input) shrink() bool {
	if cap(in.raw) <= readBytes || len(in.raw) > readBytes {
		return false
	}
	in.resize(readBytes)
	return true
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

// incoming is a request that has arrived whole, but for a body that may not be read: the
// handler learns of that when it reads the body.
type incoming struct {
	*http.Request
	body *Body
	hold *membudget.Hold // of all but a long body
}

// parse reads the request whose head of the given length has arrived, and its body.
func (in *input) parse(ctx context.Context, length int, body *bodyReader) (*http.Request, *Body, error) {
	if err := checkHead(in.raw[:length]); err != nil {
		return nil, nil, err
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
		return nil, nil, errBadHead
	}
	got, err := body.read(ctx, r)
	if err != nil {
		return nil, nil, err
	}
	if got.err == nil {
		in.putBack(parser)
	}
	r.Body = http.NoBody
	if got.length > 0 || got.err != nil {
		r.Body = got
	}
	r.ContentLength, r.TransferEncoding = got.length, nil
	return r, got, nil
}

// expects says whether a client waits to be told before it sends a body.
func expects(r *http.Request) (bool, error) {
	expected := r.Header.Get("Expect")
	if expected != "" && !strings.EqualFold(expected, "100-continue") {
		return false, errExpectation
	}
	return expected != "" && r.ProtoAtLeast(1, 1), nil
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
