package peer

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/box/store"
	"github.com/sprucecrank/sprucecrank/internal/rpcconn"
)

// The errors of a link.
var (
	// ErrUnresponsive means that the other box does not respond; the call may have
	// reached it.
	ErrUnresponsive = errors.New("the box does not respond")
	// ErrUnreachable means that no connection could be made.
	ErrUnreachable = errors.New("the box is unreachable")
)

const (
	pingInterval = 20 * time.Millisecond
	pingTimeout  = 80 * time.Millisecond
	dialTimeout  = 100 * time.Millisecond
	// maxMessageBytes bounds an answer: it may hold all objects in force.
	maxMessageBytes = 64 * store.MaxValue
)

// LinkOptions configure a Link.
type LinkOptions struct {
	// Address is the other box's peer address.
	Address string
	// Dial opens a connection; nil means TCP. Tests inject delays and faults here.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// PingTimeout is how long to wait for the answer to a ping; 0 means 80 ms.
	PingTimeout time.Duration
}

// Link is a connection to one other box. It connects on first use and reconnects
// after the connection broke. It is safe for concurrent use.
type Link struct {
	options LinkOptions
	mu      sync.Mutex
	session *session
	sent    atomic.Uint64
	bytes   atomic.Uint64
}

// session is one connection with its outstanding calls.
type session struct {
	client  *rpc.Client
	pending atomic.Int64
	wake    chan struct{}
	closed  chan struct{}
	once    sync.Once
}

// NewLink returns a link that is not connected yet.
func NewLink(o LinkOptions) *Link {
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.PingTimeout == 0 {
		o.PingTimeout = pingTimeout
	}
	return &Link{options: o}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Sent returns the numbers of messages and bytes sent on this link.
func (l *Link) Sent() (messages, bytes uint64) { return l.sent.Load(), l.bytes.Load() }

// Call makes a call and waits for its answer. The error is ErrUnreachable (not
// sent), ErrUnresponsive, the error of ctx, or an error that the other box returned.
func (l *Link) Call(ctx context.Context, method string, args, reply any) error {
	s, err := l.connect(ctx)
	if err != nil {
		return err
	}
	s.callStarted()
	defer s.callEnded()
	l.sent.Add(1)
	call := s.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return l.checkError(s, call.Error)
	case <-s.closed:
		return ErrUnresponsive
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Send makes a call without waiting for its answer. It returns an error only if no
// connection could be made.
func (l *Link) Send(ctx context.Context, method string, args any) error {
	s, err := l.connect(ctx)
	if err != nil {
		return err
	}
	l.sent.Add(1)
	s.client.Go(method, args, &Empty{}, make(chan *rpc.Call, 1))
	return nil
}

// checkError drops the session if err means that its connection broke.
func (l *Link) checkError(s *session, err error) error {
	var remote rpc.ServerError
	if err == nil || errors.As(err, &remote) {
		return err
	}
	l.drop(s)
	return fmt.Errorf("%w: %w", ErrUnresponsive, err)
}

func (l *Link) connect(ctx context.Context) (*session, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session != nil {
		return l.session, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.options.Dial(ctx, l.options.Address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	s := &session{
		client: rpcconn.NewClient(&countedConn{Conn: conn, bytes: &l.bytes}, maxMessageBytes),
		wake:   make(chan struct{}, 1),
		closed: make(chan struct{}),
	}
	l.session = s
	go l.monitor(s)
	return s, nil
}

// drop closes a session; the next call reconnects.
func (l *Link) drop(s *session) {
	l.mu.Lock()
	if l.session == s {
		l.session = nil
	}
	l.mu.Unlock()
	s.close()
}

// Close closes the link's connection, if any.
func (l *Link) Close() {
	l.mu.Lock()
	s := l.session
	l.session = nil
	l.mu.Unlock()
	if s != nil {
		s.close()
	}
}

func (s *session) close() {
	s.once.Do(func() {
		close(s.closed)
		_ = s.client.Close()
	})
}

func (s *session) callStarted() {
	s.pending.Add(1)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *session) callEnded() { s.pending.Add(-1) }

// monitor pings while calls are outstanding and drops an unresponsive session.
func (l *Link) monitor(s *session) {
	for {
		select {
		case <-s.closed:
			return
		case <-s.wake:
		}
		if !l.pingWhilePending(s) {
			l.drop(s)
			return
		}
	}
}

func (l *Link) pingWhilePending(s *session) bool {
	tick := time.NewTimer(pingInterval)
	defer tick.Stop()
	for s.pending.Load() > 0 {
		tick.Reset(pingInterval)
		select {
		case <-s.closed:
			return true
		case <-tick.C:
		}
		if s.pending.Load() > 0 && !l.ping(s) {
			return false
		}
	}
	return true
}

func (l *Link) ping(s *session) bool {
	l.sent.Add(1)
	call := s.client.Go(MethodPing, Empty{}, &Empty{}, make(chan *rpc.Call, 1))
	timer := time.NewTimer(l.options.PingTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error == nil
	case <-timer.C:
		return false
	case <-s.closed:
		return true
	}
}

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(uint64(n))
	return n, err
}
