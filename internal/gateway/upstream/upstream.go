// Package upstream holds the gateway's connections to targets and makes
// exchanges on them. It never sends a request twice by itself: whoever calls
// Exchange has made exactly one send, and the error's verdict says whether the
// target may have run it. Why it uses the parser of net/http and not its transport:
// docs/DESIGN.md, "Why our own connections".
//
// It owns the idle connections. It relies on targets for framing and ids only as
// far as it can check them; a connection on which anything is out of order is
// closed and not used again.
//
// An answer is given out only if it repeats the id of the request: a surplus answer
// of an earlier request is dropped, wherever it lies on the connection. A short
// answer is read whole first; a long one is given out from its head on and read as
// fast as it is taken, if the caller allows (body.go). All bytes that are held of
// answers are counted in a Room.
//
// # Usage
//
//	pool := upstream.New(upstream.Options{Names: names, Clock: time.Now})
//	pool.SetGate(gate) // asked before each write
//	pool.OnSignals(register.Observe)
//	pool.OnLimit(quota.ObserveLimit)
//	conn, failure := pool.Get(ctx, target)
//	answer, failure := conn.Exchange(ctx, request)
//	answer.OnEnd(func(*verdict.Error) { pool.Put(conn) })
//	for !answer.Whole() {
//		piece, err := answer.Next() // until io.EOF
//	}
//	answer.Close()
package upstream

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// defaultIdle is how long a connection may stay idle where targets don't say:
	// shorter than servers usually keep one.
	defaultIdle = 4 * time.Second
	// idleShare is the share of a target's own idle time that is used, so that a
	// request is not sent into a connection that is being closed.
	idleShare = 0.75
	// readBufferSize is that of each connection, in bytes: a head fits.
	readBufferSize = 4 << 10
	// maxAnswerBytes bounds an answer that must be held in memory whole.
	maxAnswerBytes = 8 << 20
	// roomBytes is the room for answers where none is given.
	roomBytes = 64 << 20
	// dialTimeout bounds the making of a connection. One takes about 1 ms.
	dialTimeout = time.Second
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Options configure a Pool; zero values are usable.
type Options struct {
	Names headers.Names
	Clock func() time.Time
	Dial  Dial
	// AnswerBytes bounds one answer that is read whole; 0 means 8 MB.
	AnswerBytes int64
	// WholeBytes is the longest answer that is read whole though it may be streamed,
	// in bytes; 0 takes the default.
	WholeBytes int
	// Room bounds what is held of answers; nil for room of 64 MB.
	Room *Room
	// Opened is called for each new connection.
	Opened func()
	// Log may be nil.
	Log *slog.Logger
}

// Pool keeps connections to targets between requests.
type Pool struct {
	options Options
	observe func(target catalog.Target, s signal.Signals)
	limit   func(life catalog.Life, via quota.Source, values []string)
	gate    func(life catalog.Life) *verdict.Error
	mu      sync.Mutex
	idle    map[catalog.Life][]*Conn // latest used last
}

// New makes an empty pool.
func New(o Options) *Pool {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.AnswerBytes == 0 {
		o.AnswerBytes = maxAnswerBytes
	}
	if o.WholeBytes == 0 {
		o.WholeBytes = wholeBytes
	}
	if o.Room == nil {
		o.Room = NewRoom(roomBytes)
	}
	if o.Opened == nil {
		o.Opened = func() {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Pool{
		options: o, idle: map[catalog.Life][]*Conn{},
		observe: func(catalog.Target, signal.Signals) {}, limit: func(catalog.Life, quota.Source, []string) {},
		gate: func(catalog.Life) *verdict.Error { return nil },
	}
}

// SetGate has gate asked right before anything is written to a target, a request or a probe: where it
// gives a reason, nothing is. It must be called before any connection is made.
func (p *Pool) SetGate(gate func(life catalog.Life) *verdict.Error) { p.gate = gate }

// OnSignals has observe called with what the head of an answer says of its target, if anything,
// before the answer is given out. It must be called before any connection is made.
func (p *Pool) OnSignals(observe func(target catalog.Target, s signal.Signals)) { p.observe = observe }

// OnLimit has observe called with what the head of an answer says of the limit of its target, by the values of
// the header that names it, before the answer is given out: none say that it has no limit. It must be
// called before any connection is made.
func (p *Pool) OnLimit(observe func(life catalog.Life, via quota.Source, values []string)) {
	p.limit = observe
}

// Conn is one connection to one start of a target. One exchange at a time may
// be made on it.
type Conn struct {
	pool      *Pool
	target    catalog.Target
	net       net.Conn
	reader    *bufio.Reader
	exchanges int
	opened    time.Duration
	idleLimit time.Duration
	idleSince time.Time
	reusable  bool
}

// Target is the target at the other end.
func (c *Conn) Target() catalog.Target { return c.target }

// Opened is the time that the making of the connection took; isNew says that nothing
// was exchanged on it yet.
func (c *Conn) Opened() (took time.Duration, isNew bool) { return c.opened, c.exchanges == 0 }

// Get takes an idle connection to a target, or makes a new one.
func (p *Pool) Get(ctx context.Context, target catalog.Target) (*Conn, *verdict.Error) {
	for {
		conn := p.takeIdle(target.Life())
		if conn == nil {
			return p.open(ctx, target)
		}
		if conn.quiet() {
			return conn, nil
		}
		conn.Close()
	}
}

func (p *Pool) takeIdle(life catalog.Life) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[life]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[life] = conns[:len(conns)-1]
	return conn
}

func (p *Pool) open(ctx context.Context, target catalog.Target) (*Conn, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	began := p.options.Clock()
	raw, err := p.options.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no connection to the target could be made").WithCause(err)
	}
	p.options.Opened()
	return &Conn{
		pool: p, target: target, net: raw, idleLimit: defaultIdle, reusable: true,
		opened: p.options.Clock().Sub(began),
		reader: bufio.NewReaderSize(raw, readBufferSize),
	}, nil
}

// Put gives a connection back; one that can't be used again is closed.
func (p *Pool) Put(c *Conn) {
	if !c.reusable {
		c.Close()
		return
	}
	c.idleSince = p.options.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	life := c.target.Life()
	p.idle[life] = append(p.idle[life], c)
}

// Close ends the connection. How that goes says nothing: it is not used again.
func (c *Conn) Close() {
	c.reusable = false
	_ = c.net.Close()
}

// quiet says whether an idle connection can be used: it has not been idle for
// too long, the target has not closed it, and nothing lies unread on it.
func (c *Conn) quiet() bool {
	if c.pool.options.Clock().Sub(c.idleSince) > c.idleLimit || c.reader.Buffered() > 0 {
		return false
	}
	system, ok := c.net.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	nothing := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, readErr := syscall.Read(int(fd), one[:])
		nothing = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && nothing
}

// Retain closes the idle connections that have been idle for too long and
// those to targets that keep does not name.
func (p *Pool) Retain(keep func(life catalog.Life) bool) {
	now := p.options.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for life, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if keep(life) && now.Sub(conn.idleSince) <= conn.idleLimit {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
		}
		clear(conns[len(kept):])
		p.idle[life] = kept
		if len(kept) == 0 {
			delete(p.idle, life)
		}
	}
}

// Idle counts the idle connections.
func (p *Pool) Idle() map[catalog.Life]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[catalog.Life]int, len(p.idle))
	for life, conns := range p.idle {
		counts[life] = len(conns)
	}
	return counts
}

// Close ends all idle connections.
func (p *Pool) Close() { p.Retain(func(catalog.Life) bool { return false }) }
