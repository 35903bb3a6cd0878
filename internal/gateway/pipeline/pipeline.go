// Package pipeline serves clients' connections over HTTP/1.0 and 1.1. Requests
// that a client pipelines (sends before the one before is answered) are served
// side by side where they are safe, and answered in the order in which they came.
// net/http reads the next request of a connection only after it has answered the
// one before, so that a quick lookup waits for a slow one.
//
// It owns the clients' connections: what may lie on them (head.go), the bounds on
// what is held for one (window.go), the order of answers, and the ways in which a
// connection ends. It uses the parser of net/http (http.ReadRequest) and nothing
// else of its server. What a request means and who serves it is the handler's.
//
// What it promises:
//
//   - A request that is not safe waits for those before it, and those behind it wait
//     for it.
//   - An answer that closes its connection is known to do so before anything
//     behind it is read: what lies behind is neither served nor answered.
//   - A client that leaves cancels all of its requests.
//   - The limits on a head (431), on the time to send it (408) and on the time to
//     rest are kept to; a body beyond its limit is not read, and the handler, which
//     answers 413, is told. Ambiguous framing is refused with 400 and the connection
//     closed.
//   - Requests in flight and bytes held for a connection are bounded; beyond the
//     bounds nothing more is read from it.
//   - What is held for all connections is bounded by Options.Memory. A long body is read
//     once there is room for all of it; the handler learns of one for which there is none
//     by membudget.ErrNoRoom or ErrTooLarge. Where room is short, connections that rest are closed and
//     requests that arrive too slowly are given up (reclaim.go).
//
// A handler cannot close the connection by a header: it may panic with
// http.ErrAbortHandler where no answer may be given, or no more of one.
//
// An answer is held whole until its turn comes, unless its handler flushes it by
// http.ResponseController: then it is passed on as it is made (stream.go).
//
// # Usage
//
//	server := pipeline.New(pipeline.Options{Handler: handler, Safe: handler.Repeatable, Limits: limits})
//	err := server.Serve(listener) // http.ErrServerClosed once Shutdown or Close was called
package pipeline

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Limits bound what a client may send and how long it may take. A field that is 0
// takes the default.
type Limits struct {
	// HeadBytes bounds the head of a request.
	HeadBytes int
	// BodyBytes bounds the body of a request; the default is no bound.
	BodyBytes int64
	// HeadTimeout bounds the time from the first byte of a head to its last.
	HeadTimeout time.Duration
	// IdleTimeout is how long a connection may rest without a request, and how
	// long a client may let a body rest.
	IdleTimeout time.Duration
}

// Defaults of Limits, until a configuration names others. Generous beside
// any client's needs.
const (
	defaultHeadBytes   = 1 << 20
	defaultHeadTimeout = 30 * time.Second
	defaultIdleTimeout = 5 * time.Minute
)

const (
	// writeTimeout is how long a client may take to accept one answer; a client
	// that reads more slowly than that would hold memory for ever. An
	// answer of 8 MB over 10 Mbit/s takes 7 s.
	writeTimeout = 30 * time.Second
	// acceptPause is the pause after a connection could not be accepted, as when
	// the process has no file descriptor left.
	acceptPause  = 20 * time.Millisecond
	shutdownPoll = 10 * time.Millisecond
)

// Options configure a Server.
type Options struct {
	// Handler serves one request; its answers are held whole unless it flushes them.
	Handler http.Handler
	// Safe says whether a request may be served beside others of its connection;
	// nil for none.
	Safe func(*http.Request) bool
	// Limits gives those in force now; nil for the defaults.
	Limits func() Limits
	// Stopping says whether the process is stopping, so that the next request of a
	// connection is its last; nil for never.
	Stopping func() bool
	// Memory bounds what is held for all connections; nil for no bound.
	Memory *membudget.Budget
	// Patience is how long a request may wait for room for its body before that is read; nil
	// for not at all.
	Patience func(*http.Request) time.Duration
	// Log takes what clients did wrong; nil for nothing.
	Log *slog.Logger
	// Clock is the time of the answers' Date; nil for time.Now.
	Clock func() time.Time
}

// withDefaults fills what was left out.
func (o Options) withDefaults() Options {
	if o.Safe == nil {
		o.Safe = func(*http.Request) bool { return false }
	}
	if o.Limits == nil {
		o.Limits = func() Limits { return Limits{} }
	}
	if o.Memory == nil {
		o.Memory = membudget.New(membudget.Options{})
	}
	if o.Patience == nil {
		o.Patience = func(*http.Request) time.Duration { return 0 }
	}
	if o.Stopping == nil {
		o.Stopping = func() bool { return false }
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	return o
}

func (o Options) limits() Limits {
	l := o.Limits()
	if l.HeadBytes <= 0 {
		l.HeadBytes = defaultHeadBytes
	}
	if l.HeadTimeout <= 0 {
		l.HeadTimeout = defaultHeadTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Server serves the connections of some listeners.
type Server struct {
	options Options
	ctx     context.Context // ends with Close
	cancel  context.CancelFunc

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	conns     map[*conn]struct{}
	reclaimed time.Time // when connections were last looked through for memory in vain
}

// New makes a server that serves nothing yet.
func New(o Options) *Server {
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{options: o.withDefaults(), ctx: ctx, cancel: cancel, conns: map[*conn]struct{}{}}
	s.options.Memory.OnShortage(s.reclaim)
	return s
}

// Serve accepts connections until Shutdown or Close, and returns
// http.ErrServerClosed then.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close() // nobody has used it
		return http.ErrServerClosed
	}
	for {
		accepted, err := l.Accept()
		if err != nil {
			if s.isClosed() {
				return http.ErrServerClosed
			}
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			s.options.Log.Error("no connection can be accepted", "error", err.Error())
			pause.For(s.ctx, acceptPause)
			continue
		}
		hold, ok := s.options.Memory.TryHold(memory.Connection, connBytes)
		if !ok {
			s.turnAway(accepted)
			continue
		}
		c := newConn(s, accepted, hold)
		if s.add(c) {
			go c.serve()
		}
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.listeners = append(s.listeners, l)
	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// add takes a connection in, or closes it if the server was closed meanwhile.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		c.close()
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) remove(c *conn) {
	c.hold.Release()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Shutdown accepts no more connections, closes those that rest, lets the others
// answer what they have taken, and returns once none is left or ctx has ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	for {
		if s.closeIdle() == 0 {
			return nil
		}
		if !pause.For(ctx, shutdownPoll) {
			return ctx.Err()
		}
	}
}

// closeListeners stops the accepting. How closing goes says nothing: nothing is
// accepted any more.
func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, l := range s.listeners {
		_ = l.Close()
	}
	s.listeners = nil
}

// closeIdle ends the connections that rest and returns how many are left.
func (s *Server) closeIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.finish()
	}
	return len(s.conns)
}

// Close ends all connections at once and cancels their requests.
func (s *Server) Close() error {
	s.closeListeners()
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.close()
	}
	return nil
}
