package pipeline

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

const (
	// pieceBytes is the length of the pieces in which a long body is held, in bytes, and
	// firstPieceBytes that of the first piece of a body whose length is not announced.
	pieceBytes      = 64 << 10
	firstPieceBytes = 4 << 10
	// requestBytes is what a request in flight holds beside its head and body, in bytes:
	// goroutines, timers, the exchange with a target.
	requestBytes = 24 << 10
	// headCopies and bodyCopies are how often the head and a short body are held: as they
	// were read, as they were parsed, and as they are written to a target.
	headCopies = 3
	bodyCopies = 2
)

// Body is the body of a request, held whole and in pieces.
type Body struct {
	pieces [][]byte
	length int64
	waited time.Duration
	err    error // why it was not read
	next   int   // piece that Read continues with, at offset
	offset int
	hold   *membudget.Hold // of a body that is longer than memory.SmallBody
}

// Pieces returns the body in pieces, which must not be changed.
func (b *Body) Pieces() [][]byte { return b.pieces }

// Err returns why the body was not read; nil if it was.
func (b *Body) Err() error { return b.err }

// Waited returns how long the body waited for room before it was read.
func (b *Body) Waited() time.Duration { return b.waited }

// Read implements io.Reader. It returns membudget.ErrNoRoom, membudget.ErrTooLarge or an
// *http.MaxBytesError for a body that was not read.
func (b *Body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.next == len(b.pieces) {
		return 0, io.EOF
	}
	n := copy(p, b.pieces[b.next][b.offset:])
	if b.offset += n; b.offset == len(b.pieces[b.next]) {
		b.next, b.offset = b.next+1, 0
	}
	return n, nil
}

// Close implements io.Closer.
func (b *Body) Close() error { return nil }

// refuse has the body not read; what was read of it is dropped.
func (b *Body) refuse(err error) {
	b.length, b.err = 0, err
	b.drop()
}

// drop gives back the memory of the body, which nobody reads any more.
func (b *Body) drop() {
	b.pieces = nil
	b.hold.Release()
}

// bodyReader reads the body of one request within the limits and the memory.
type bodyReader struct {
	conn    *conn
	limit   int64           // of its length; 0 for none
	request *membudget.Hold // of the request, with a short body; nil if there is no room
}

// read reads a body whole. What concerns the client's connection alone is returned as an error;
// a body that may not be read has its own.
func (br *bodyReader) read(ctx context.Context, r *http.Request) (*Body, error) {
	waits, err := expects(r)
	body := &Body{}
	switch {
	case err != nil:
		return nil, err
	case br.request == nil:
		body.refuse(membudget.ErrNoRoom)
		return body, nil
	case r.Body == http.NoBody:
		return body, nil
	case br.limit > 0 && r.ContentLength > br.limit:
		body.refuse(&http.MaxBytesError{Limit: br.limit})
		return body, nil
	}
	br.conn.arrival.wait()
	if err := br.reserve(ctx, body, r); err != nil {
		body.refuse(err)
		return body, nil
	}
	if err := br.conn.bodyBegins(waits); err != nil {
		body.hold.Release()
		return nil, err
	}
	br.conn.arrival.begin(r.ContentLength)
	err = br.readPieces(body, r.Body, r.ContentLength)
	if isOwn(err) {
		body.refuse(err)
		return body, nil
	}
	if err != nil {
		body.hold.Release()
		return nil, bodyError(err)
	}
	return body, nil
}

// isOwn reports whether an error belongs to the body rather than to its connection.
func isOwn(err error) bool {
	var tooLong *http.MaxBytesError
	return errors.Is(err, membudget.ErrNoRoom) || errors.Is(err, membudget.ErrTooLarge) || errors.As(err, &tooLong)
}

// reserve holds room for a body of an announced length, and waits for it.
func (br *bodyReader) reserve(ctx context.Context, body *Body, r *http.Request) error {
	length := r.ContentLength
	switch {
	case length < 0:
		return nil // room is held as it arrives
	case length <= memory.SmallBody:
		if !br.request.TryGrow(bodyCopies * length) {
			return membudget.ErrNoRoom
		}
		return nil
	}
	began := time.Now()
	options := &br.conn.server.options
	hold, err := options.Memory.Await(ctx, length, options.Patience(r))
	body.hold, body.waited = hold, time.Since(began)
	if err != nil && !errors.Is(err, membudget.ErrTooLarge) {
		return membudget.ErrNoRoom // also where the server shuts down, or the client has left
	}
	return err
}

// readPieces reads a body into pieces. The length is -1 if it is not announced.
func (br *bodyReader) readPieces(body *Body, from io.Reader, length int64) error {
	for length < 0 || body.length < length {
		size, err := br.nextPiece(body, length)
		if err != nil {
			return err
		}
		n, err := br.readPiece(body, from, make([]byte, size))
		if br.limit > 0 && body.length > br.limit {
			return &http.MaxBytesError{Limit: br.limit}
		}
		if err == io.EOF && length < 0 {
			return nil
		}
		if err == io.EOF && n < size {
			return io.ErrUnexpectedEOF
		}
		if err != nil && err != io.EOF {
			return err
		}
	}
	return nil
}

// nextPiece returns the length of the next piece, for which room is held.
func (br *bodyReader) nextPiece(body *Body, length int64) (int, error) {
	if length >= 0 {
		left := length - body.length
		if length <= memory.SmallBody {
			return int(left), nil
		}
		return int(min(left, pieceBytes)), nil
	}
	size := min(max(body.length, firstPieceBytes), pieceBytes)
	if br.grow(body, size) {
		return int(size), nil
	}
	if br.conn.server.options.Memory.MayEverFit(body.length + size) {
		return 0, membudget.ErrNoRoom
	}
	return 0, membudget.ErrTooLarge
}

// grow holds room for n more bytes of a body whose length was not announced. It does not wait:
// other bodies that wait halfway would keep the room that this one waits for.
func (br *bodyReader) grow(body *Body, n int64) bool {
	if body.length+n <= memory.SmallBody {
		return br.request.TryGrow(bodyCopies * n)
	}
	if body.hold != nil {
		return body.hold.TryGrow(n)
	}
	hold, ok := br.conn.server.options.Memory.TryHold(memory.Body, body.length+n)
	body.hold = hold
	return ok
}

// readPiece fills a piece as far as the body allows and adds it to the body.
func (br *bodyReader) readPiece(body *Body, from io.Reader, piece []byte) (n int, err error) {
	for n < len(piece) && err == nil {
		var more int
		more, err = from.Read(piece[n:])
		n += more
		br.conn.arrival.add(int64(more))
	}
	if n > 0 {
		body.pieces = append(body.pieces, piece[:n:n])
		body.length += int64(n)
	}
	return n, err
}
