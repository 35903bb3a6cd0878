package peer

import (
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
)

// Handlers handle the messages of a box's peers. Each is called on a goroutine of
// its own and may block.
type Handlers struct {
	Ask       func(AskArgs) AskReply
	Return    func(ReturnArgs)
	Reconcile func(ReconcileArgs)
	Exchange  func(ExchangeArgs) ExchangeReply
	Sync      func(SyncArgs) SyncReply
}

// Server serves the calls of a box's peers.
type Server struct {
	rpc    *rpc.Server
	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
	bytes  atomic.Uint64
}

// Sent returns the number of bytes of all answers.
func (s *Server) Sent() uint64 { return s.bytes.Load() }

// NewServer returns a server that calls the given handlers.
func NewServer(h Handlers) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(ServiceName, &methods{h: h}); err != nil {
		return nil, err
	}
	return s, nil
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		if !s.track(conn) {
			_ = conn.Close()
			continue
		}
		go func() {
			s.rpc.ServeConn(&countedConn{Conn: conn, bytes: &s.bytes})
			s.untrack(conn)
		}()
	}
}

func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	return true
}

func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Close closes all connections.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close()
	}
}

// methods adapts Handlers to net/rpc.
type methods struct{ h Handlers }

// Ping returns at once; an answer shows that the box is responsive.
func (m *methods) Ping(Empty, *Empty) error { return nil }

// Ask returns once the request for a slot is granted or refused.
func (m *methods) Ask(a AskArgs, r *AskReply) error {
	*r = m.h.Ask(a)
	return nil
}

// Return receives slots that a box returns.
func (m *methods) Return(a ReturnArgs, _ *Empty) error {
	m.h.Return(a)
	return nil
}

// Reconcile receives the grants that a box holds.
func (m *methods) Reconcile(a ReconcileArgs, _ *Empty) error {
	m.h.Reconcile(a)
	return nil
}

// Exchange receives an update and returns one.
func (m *methods) Exchange(a ExchangeArgs, r *ExchangeReply) error {
	*r = m.h.Exchange(a)
	return nil
}

// Sync exchanges configuration entries.
func (m *methods) Sync(a SyncArgs, r *SyncReply) error {
	*r = m.h.Sync(a)
	return nil
}
