// Package upstream pools the gateway's connections to targets and exchanges
// requests and answers on them. It never retries: each call of Exchange sends the
// request at most once, and the error's verdict says whether the target may have
// run it. Why it uses the parser of net/http and not its transport:
// docs/DESIGN.md, "Why our own connections".
//
// It owns the idle connections. It trusts framing and request ids from targets only
// as far as it can check them (httpconn checks what the protocol allows); a connection
// with any irregularity is closed and not used again.
//
// An answer is returned only if it repeats the id of the request: a surplus answer
// to an earlier request is dropped, wherever it is on the connection. A short
// answer is buffered first; a long one is streamed as fast as the caller reads it,
// if the caller allows it (body.go). All bytes of answers that are held in memory
// are counted in a membudget.Budget.
//
// # Usage
//
//	pool := upstream.New(upstream.Options{Names: names, Clock: time.Now})
//	pool.SetGate(gate) // called before each write
//	pool.OnSignals(registry.Observe)
//	pool.OnLimit(limiter.ObserveLimit)
//	conn, failure := pool.Get(ctx, target)
//	answer, failure := conn.Exchange(ctx, request)
//	answer.OnEnd(func(*verdict.Error) { pool.Put(conn) })
//	for !answer.Buffered() {
//		piece, err := answer.Next() // until io.EOF
//	}
//	answer.Close()
package upstream

import (
	"bufio"
	"context"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/resetconn"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	// defaultIdleTimeout is how long a connection may stay idle if its target does not say:
	// shorter than servers usually keep one.
	defaultIdleTimeout = 4 * time.Second
	// idleTimeoutShare is the share of a target's own idle timeout that is used, so that
	// a request is not sent on a connection that the target is closing.
	idleTimeoutShare = 0.75
	// readBufferSize is the read buffer of each connection, in bytes: a head fits.
	readBufferSize = 4 << 10
	// defaultMaxAnswerBytes bounds an answer that must be buffered.
	defaultMaxAnswerBytes = 8 << 20
	// dialTimeout bounds dialling, which takes about 1 ms.
	dialTimeout = time.Second
)

// Options configure a Pool; zero values are usable.
type Options struct {
	Names headers.Names
	Clock func() time.Time
	Dial  resetconn.Dial
	// MaxAnswerBytes bounds one answer that is buffered; 0 means 8 MB.
	MaxAnswerBytes int64
	// MaxBufferedBytes is the longest answer, in bytes, that is buffered although it may be
	// streamed; 0 means the default.
	MaxBufferedBytes int
	// Budget bounds the bytes of answers held in memory; nil means 64 MB.
	Budget *membudget.Budget
	// Opened is called for each new connection.
	Opened func()
	// Log may be nil, which discards the log.
	Log *slog.Logger
}

// Pool keeps connections to targets between requests.
type Pool struct {
	options        Options
	observeSignals func(target catalog.Target, s signal.Signals)
	observeLimit   func(incarnation catalog.Life, source quota.Source, values []string)
	gate           func(incarnation catalog.Life) *verdict.Error
	mu             sync.Mutex
	idle           map[catalog.Life][]*Conn // most recently used last
}

// New returns an empty pool.
func New(o Options) *Pool {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	o.Dial = resetconn.Dialer(o.Dial)
	if o.MaxAnswerBytes == 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	if o.MaxBufferedBytes == 0 {
		o.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	if o.Budget == nil {
		o.Budget = membudget.New(membudget.Options{})
	}
	if o.Opened == nil {
		o.Opened = func() {}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Pool{
		options: o, idle: map[catalog.Life][]*Conn{},
		observeSignals: func(catalog.Target, signal.Signals) {}, observeLimit: func(catalog.Life, quota.Source, []string) {},
		gate: func(catalog.Life) *verdict.Error { return nil },
	}
}

// SetGate sets the function that is called right before a request or a probe is written to a target: if
// it returns an error, nothing is written. SetGate must be called before any connection is made.
func (p *Pool) SetGate(gate func(incarnation catalog.Life) *verdict.Error) { p.gate = gate }

// OnSignals sets the function that is called with the signals in the head of an answer, if there are
// any, before the answer is returned. OnSignals must be called before any connection is made.
func (p *Pool) OnSignals(observe func(target catalog.Target, s signal.Signals)) {
	p.observeSignals = observe
}

// OnLimit sets the function that is called with the limit that the head of an answer advertises, as the
// values of its limit header, before the answer is returned: no values mean no limit. OnLimit must be
// called before any connection is made.
func (p *Pool) OnLimit(observe func(incarnation catalog.Life, source quota.Source, values []string)) {
	p.observeLimit = observe
}

// Conn is one connection to one incarnation of a target. Only one exchange at a
// time may be made on it.
type Conn struct {
	pool        *Pool
	target      catalog.Target
	net         *httpconn.Conn
	reader      *bufio.Reader
	exchanges   int
	dialTime    time.Duration
	idleTimeout time.Duration
	idleSince   time.Time
	reusable    bool
}

// Target returns the target that the connection leads to.
func (c *Conn) Target() catalog.Target { return c.target }

// DialTime returns how long dialling took; isNew reports that nothing was exchanged on the
// connection yet.
func (c *Conn) DialTime() (took time.Duration, isNew bool) { return c.dialTime, c.exchanges == 0 }

// Get returns an idle connection to a target, or opens a new one.
func (p *Pool) Get(ctx context.Context, target catalog.Target) (*Conn, *verdict.Error) {
	for {
		conn := p.takeIdle(target.Life())
		if conn == nil {
			return p.Open(ctx, target)
		}
		if conn.isUsable() {
			return conn, nil
		}
		conn.Close()
	}
}

// Renew opens a new connection to a target in place of an idle one, which may lead nowhere.
func (p *Pool) Renew(ctx context.Context, target catalog.Target) (*Conn, *verdict.Error) {
	conn, failure := p.Open(ctx, target)
	if failure != nil {
		return nil, failure
	}
	if idle := p.takeIdle(target.Life()); idle != nil {
		idle.Close()
	}
	return conn, nil
}

func (p *Pool) takeIdle(incarnation catalog.Life) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[incarnation]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[incarnation] = conns[:len(conns)-1]
	return conn
}

// Open opens a new connection to a target.
func (p *Pool) Open(ctx context.Context, target catalog.Target) (*Conn, *verdict.Error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	start := p.options.Clock()
	raw, err := p.options.Dial(ctx, "tcp", target.Address)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.ReasonUnreachable, "no connection to the target could be made").WithCause(err)
	}
	p.options.Opened()
	conn := httpconn.New(raw)
	return &Conn{
		pool: p, target: target, net: conn, idleTimeout: defaultIdleTimeout, reusable: true,
		dialTime: p.options.Clock().Sub(start),
		reader:   bufio.NewReaderSize(conn, readBufferSize),
	}, nil
}

// Put returns a connection to the pool, or closes it if it can't be reused.
func (p *Pool) Put(c *Conn) {
	if !c.reusable {
		c.Close()
		return
	}
	c.idleSince = p.options.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	incarnation := c.target.Life()
	p.idle[incarnation] = append(p.idle[incarnation], c)
}

// Close closes the connection. It ignores the error because the connection is not used again.
func (c *Conn) Close() {
	c.reusable = false
	_ = c.net.Close()
}

// isUsable reports whether an idle connection can be used: it has not been idle for
// too long, the target has not closed it, and it holds no unread bytes.
func (c *Conn) isUsable() bool {
	if c.pool.options.Clock().Sub(c.idleSince) > c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	sysConn, ok := c.net.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, readErr := syscall.Read(int(fd), buffer[:])
		noData = readErr == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// Retain closes the connections that have been idle for too long and those to
// incarnations of targets for which keep returns false.
func (p *Pool) Retain(keep func(incarnation catalog.Life) bool) {
	now := p.options.Clock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, conns := range p.idle {
		kept := conns[:0]
		for _, conn := range conns {
			if keep(incarnation) && now.Sub(conn.idleSince) <= conn.idleTimeout {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
		}
		clear(conns[len(kept):])
		p.idle[incarnation] = kept
		if len(kept) == 0 {
			delete(p.idle, incarnation)
		}
	}
}

// Idle returns the number of idle connections to each incarnation of a target.
func (p *Pool) Idle() map[catalog.Life]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	counts := make(map[catalog.Life]int, len(p.idle))
	for incarnation, conns := range p.idle {
		counts[incarnation] = len(conns)
	}
	return counts
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(func(catalog.Life) bool { return false }) }
