package pipeline

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

const (
	// lingerTime is how long the rest of what a client sends is read after the
	// last answer, since closing at once would destroy that answer on its way.
	// Some round trips.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read so, in bytes.
	lingerBytes = 256 << 10
)

// conn is one client's connection. One goroutine at a time reads from it and takes
// a request; each request is an exchange with a goroutine of its own.
type conn struct {
	server  *Server
	net     net.Conn
	remote  string          // the client's address
	ctx     context.Context // ends when the client has left
	cancel  context.CancelFunc
	in      input
	reading chan struct{} // hands the reading over to the goroutine that stands by
	waiting atomic.Bool   // one stands by
	limits  Limits        // in force for the request that is read
	inBody  bool          // of that request the head was read
	hold    *membudget.Hold
	arrival arrival // of the request that is read
	// readCtx ends when nothing more is to be read.
	readCtx     context.Context
	stopReading context.CancelFunc

	mu       sync.Mutex
	phase    phase
	window   window
	last     bool          // an answer that closes the connection was written
	finished bool          // the server shuts down
	bounded  bool          // a deadline shorter than the idle time is set for reads
	idle     time.Duration // how long the connection may rest
	resting  time.Time     // since when it rests
	evicted  bool          // the request that is read is given up for want of room
	tail     chan struct{} // closed once the latest request was answered
	barrier  chan struct{} // closed once the latest request that is not safe was
	room     chan struct{} // holds one token when a blocked reader should look again
}

func newConn(s *Server, accepted net.Conn, hold *membudget.Hold) *conn {
	ctx, cancel := context.WithCancel(s.ctx)
	readCtx, stopReading := context.WithCancel(ctx)
	none := make(chan struct{})
	close(none)
	c := &conn{
		server: s, net: accepted, remote: accepted.RemoteAddr().String(), ctx: ctx, cancel: cancel,
		window: newWindow(), tail: none, barrier: none, room: make(chan struct{}, 1),
		reading: make(chan struct{}), hold: hold, readCtx: readCtx, stopReading: stopReading,
	}
	c.in.read, c.in.grow = c.read, c.growInput
	return c
}

// close ends the connection at once. How that goes says nothing: it is not used
// again.
func (c *conn) close() {
	c.cancel()
	_ = c.net.Close()
}

// serve takes requests and serves them. While it serves one, another goroutine reads
// on: the one that has read a request need not be woken to serve it.
func (c *conn) serve() {
	for {
		r, err := c.receive()
		if err != nil {
			c.stop(err)
			return
		}
		x := c.admit(r)
		if x.closes {
			go c.conclude()
			x.serve()
			return
		}
		c.handOver()
		x.serve()
		if !c.standBy() {
			return
		}
	}
}

// handOver has another goroutine read on: the one that stands by, or a new one.
func (c *conn) handOver() {
	select {
	case c.reading <- struct{}{}:
	default:
		go c.serve()
	}
}

// standBy waits to take over the reading, since a goroutine that has run costs less
// than a new one. It says false if one waits already, or the connection has ended.
func (c *conn) standBy() bool {
	if !c.waiting.CompareAndSwap(false, true) {
		return false
	}
	defer c.waiting.Store(false)
	select {
	case <-c.reading:
		return true
	case <-c.ctx.Done():
		return false
	}
}

// receive waits until another request may be taken, and for all of it.
func (c *conn) receive() (incoming, error) {
	if err := c.awaitRoom(); err != nil {
		return incoming{}, err
	}
	return c.next()
}

// stop ends the taking of requests for want of another one.
func (c *conn) stop(err error) {
	if r := asRefused(err); r != nil {
		c.refuse(r)
	} else if !errors.Is(err, errFinished) {
		c.cancel()
	}
	c.conclude()
}

// conclude lets what was taken be answered and ends the connection.
func (c *conn) conclude() {
	defer c.server.remove(c)
	defer c.close()
	c.end()
	c.linger()
}

// next waits for a whole request.
func (c *conn) next() (incoming, error) {
	c.limits = c.server.options.limits()
	c.shrinkInput()
	for len(c.in.raw) == 0 {
		c.rest()
		if err := c.fill(); err != nil {
			return incoming{}, errOr(err, errClientLeft)
		}
	}
	c.arrival.begin(0)
	defer c.arrival.end()
	if !c.in.hasHead() {
		c.arrive(c.limits.HeadTimeout)
	}
	length, err := c.in.awaitHead(c.limits.HeadBytes)
	if err != nil {
		return incoming{}, errOr(err, errHeadTooSlow)
	}
	defer func() { c.inBody = false }()
	hold := c.holdRequest(length)
	r, body, err := c.in.parse(c.readCtx, length, &bodyReader{conn: c, limit: c.limits.BodyBytes, request: hold})
	if err != nil {
		hold.Release()
		return incoming{}, err
	}
	return incoming{Request: r, body: body, hold: hold}, nil
}

// bodyBegins is called between a request's head and its body. A client that waits
// to be told to send the body is told once all before it is answered.
func (c *conn) bodyBegins(expects bool) error {
	c.inBody = true
	if !expects {
		return nil
	}
	select {
	case <-c.tail: // nobody else makes a new one
	case <-c.ctx.Done():
		return errClientLeft
	}
	if c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil) != nil {
		return errClientLeft
	}
	return nil
}

// write writes a whole message, which only one goroutine does at a time.
func (c *conn) write(first, second []byte) error {
	return c.writeUntil(time.Now().Add(writeTimeout), first, second)
}

// errOr is what an error of reading means; late is what it means that the time
// ran out.
func errOr(err, late error) error {
	switch {
	case asRefused(err) != nil || errors.Is(err, errFinished):
		return err
	case errors.Is(err, membudget.ErrNoRoom):
		return errHeadNoRoom
	case errors.Is(err, os.ErrDeadlineExceeded):
		return late
	default:
		return errClientLeft
	}
}

// fill waits for bytes while the connection rests. A read that was ended for an
// idle time that no longer holds is repeated.
func (c *conn) fill() error {
	for {
		err := c.in.fill()
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.passOver() {
			return err
		}
	}
}

// read reads from the connection. While a body arrives, each part of it may take
// the idle time.
func (c *conn) read(p []byte) (int, error) {
	if c.inBody {
		c.arrive(c.limits.IdleTimeout)
	}
	n, err := c.net.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) {
		if ended := c.whyEnded(); ended != nil {
			return 0, ended
		}
	}
	if n > 0 {
		return n, nil
	}
	return 0, err
}

// awaitRoom waits until another request may be taken. What arrives meanwhile is
// kept as far as there is room for it, so that a client that leaves is noticed.
func (c *conn) awaitRoom() error {
	for !c.block(blocked, (*window).hasRoom) {
		if err := c.waitBlocked(); err != nil {
			return err
		}
	}
	return nil
}

// waitBlocked reads ahead, or waits if no more may be read, until woken.
func (c *conn) waitBlocked() error {
	if !c.in.hasRoom() {
		select {
		case <-c.room:
			return nil
		case <-c.ctx.Done():
			return errClientLeft
		}
	}
	err := c.in.fill()
	if err == nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, errFinished) {
		return nil
	}
	return errClientLeft
}

// end waits until everything that was taken is answered, or the client has left.
func (c *conn) end() {
	discarded := 0
	for !c.block(ending, (*window).isEmpty) {
		if discarded += len(c.in.raw); discarded < lingerBytes {
			c.in.raw = c.in.raw[:0] // nobody will read it
		}
		if err := c.waitBlocked(); err != nil {
			c.cancel()
			break
		}
	}
	<-c.tail
}

// linger lets the last answer arrive: what the client still sends is read and
// forgotten for a moment. Where no answer has said that it is the last, nothing that
// the client sends may be read any more.
func (c *conn) linger() {
	half, ok := c.net.(interface{ CloseWrite() error })
	if !ok || c.ctx.Err() != nil || !c.startLinger() || half.CloseWrite() != nil {
		return
	}
	ended := time.After(lingerTime)
	var scrap [1 << 10]byte
	for left := lingerBytes; left > 0; {
		n, err := c.net.Read(scrap[:])
		if err != nil {
			return
		}
		left -= n
	}
	select { // more is not read, but the answer is to arrive
	case <-ended:
	case <-c.ctx.Done():
	}
}
