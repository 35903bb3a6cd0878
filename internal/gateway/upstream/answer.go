package upstream

import (
	"io"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// Answer is a target's answer: its head and, unless it is long, its whole body. The
// rest of a long one still lies on the connection and is read piece by piece.
//
// Close must be called once an answer is done with; until then it holds its bytes,
// and an open one its connection.
type Answer struct {
	status  int
	header  http.Header
	notRun  bool
	signals signal.Signals
	length  int64 // of the body, -1 if the head did not give it
	body    []byte
	room    *Room
	taken   int   // bytes of room
	rest    *rest // nil if the body is whole
}

// Status is the HTTP status.
func (a *Answer) Status() int { return a.status }

// Header holds the headers as the target sent them; the caller may change them.
func (a *Answer) Header() http.Header { return a.header }

// NotRun says that the answer bears the target's promise that it did not run the
// request.
func (a *Answer) NotRun() bool { return a.notRun }

// Signals are what the target says of itself in the answer.
func (a *Answer) Signals() signal.Signals { return a.signals }

// Whole says whether the body was read whole.
func (a *Answer) Whole() bool { return a.rest == nil }

// Body is the body of a whole answer, decoded from its framing.
func (a *Answer) Body() []byte { return a.body }

// Length is how long the body is, in bytes; -1 if that is not known.
func (a *Answer) Length() int64 { return a.length }

// OnEnd has end called once: with nil when the last byte was read, or with why no more will
// be read. For a whole answer it is called at once.
func (a *Answer) OnEnd(end func(*verdict.Error)) {
	if a.rest == nil {
		end(nil)
		return
	}
	a.rest.onEnd = end
}

// BytesRead is how much of the body was read.
func (a *Answer) BytesRead() int {
	if a.rest == nil {
		return len(a.body)
	}
	return a.rest.read
}

// HeldBack is for how long the target had to wait because nobody took the next piece.
func (a *Answer) HeldBack() time.Duration {
	if a.rest == nil {
		return 0
	}
	return a.rest.heldBack
}

// Next reads the next piece of an open answer; it may be used until the next call.
// The error is io.EOF behind the last one, and a *verdict.Error if the answer ends
// early: what was passed on of it must not look whole then.
func (a *Answer) Next() ([]byte, error) { return a.rest.next(a) }

// Close gives back what the answer holds. An open one that was not read to its end
// closes its connection, so that the target stops.
func (a *Answer) Close() {
	if a.rest != nil {
		a.rest.abandon()
	}
	a.room.giveBack(a.taken)
	a.taken, a.body = 0, nil
}

// rest is the part of an answer that still lies on its connection.
type rest struct {
	exchange *exchange
	body     io.Reader
	framed   bool // another exchange may follow on the connection
	piece    []byte
	prefix   []byte // read, but not yet given out
	ended    bool
	onEnd    func(*verdict.Error)
	read     int
	given    time.Time // when the latest piece was given out
	heldBack time.Duration
}

func (r *rest) next(a *Answer) ([]byte, error) {
	r.takeBack()
	defer func() { r.given = r.exchange.conn.pool.options.Clock() }()
	if len(r.prefix) > 0 {
		piece := r.prefix
		r.prefix = nil
		return piece, nil
	}
	if r.ended {
		return nil, io.EOF
	}
	if r.piece == nil {
		r.piece = a.takePiece()
	}
	return r.fill()
}

// takeBack ends the time for which nobody took the next piece.
func (r *rest) takeBack() {
	if !r.given.IsZero() {
		r.heldBack += r.exchange.conn.pool.options.Clock().Sub(r.given)
		r.given = time.Time{}
	}
}

// takePiece makes the buffer by which the rest is read: a small one if there is no
// room, since waiting for room could wait for answers behind this one.
func (a *Answer) takePiece() []byte {
	n := pieceBytes
	if !a.room.take(n) {
		n = minPieceBytes
		a.room.takeAnyway(n)
	}
	a.taken += n
	return make([]byte, n)
}

// fill reads a piece as full as it gets.
func (r *rest) fill() ([]byte, error) {
	n, err := readFull(r.body, r.piece)
	r.read += n
	if err != nil && err != io.EOF {
		failure := r.exchange.fail(err)
		r.end(failure)
		return nil, failure
	}
	if err == io.EOF {
		r.exchange.finish(r.framed)
		r.end(nil)
	}
	if n == 0 {
		return nil, io.EOF
	}
	return r.piece[:n], nil
}

// abandon ends an answer of which no more is wanted.
func (r *rest) abandon() {
	if !r.ended {
		r.takeBack()
		r.end(r.exchange.abandon())
	}
}

func (r *rest) end(failure *verdict.Error) {
	r.ended = true
	if r.onEnd != nil {
		r.onEnd(failure)
	}
}

// readFull reads until p is full or an error, which it returns as it is: only io.EOF
// says that a body is whole.
func readFull(from io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var more int
		more, err = from.Read(p[n:])
		n += more
	}
	return n, err
}
