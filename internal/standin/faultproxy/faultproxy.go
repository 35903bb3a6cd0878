// Package faultproxy stands between two processes on loopback and does to their
// connections what a bad network does: it delays, holds bytes back in one
// direction or both, resets, and refuses.
//
// # Usage
//
//	p, err := faultproxy.New("127.0.0.1:7000")
//	p.Set(faultproxy.Fault{HoldAnswers: true}) // cut one way
//	p.Set(faultproxy.Fault{})                  // healed: what was held back arrives
//	                                           // unless its sender reset the connection
//	p.Reset()
package faultproxy

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Fault is what a proxy does to connections, open ones among them.
type Fault struct {
	// Delay is added to each piece of bytes, in both directions.
	Delay time.Duration
	// HoldRequests and HoldAnswers keep the bytes of one direction back until the
	// fault is over.
	HoldRequests bool
	HoldAnswers  bool
	// Refuse closes new connections at once.
	Refuse bool
	// Origins are the names of those to whose connections this is done; nil for all.
	Origins []string
}

// Origin is the process that opened a connection; the zero value means that it is not known.
type Origin struct {
	Name string
	// Life counts the processes that had the name one after the other.
	Life int32
}

// affects reports whether the fault is done to connections of an origin.
func (f Fault) affects(origin Origin) bool {
	return f.Origins == nil || slices.Contains(f.Origins, origin.Name)
}

const (
	// bufferSize is the largest piece of bytes that is passed on at once.
	bufferSize = 16 << 10
	// tcpClose is the state of a socket whose connection was reset (TCP_CLOSE of Linux).
	tcpClose = 7
)

// Proxy passes connections on to one address.
type Proxy struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	fault   Fault
	changed chan struct{} // closed and renewed when the fault changes
	conns   map[*net.TCPConn]Origin
	// byAddress are the connections by the addresses from which they are passed on. An entry
	// is overwritten when its port is used again.
	byAddress map[string]*passed
	closed    bool
	held      int // pieces that are held back
	origin    func(client, own net.Addr) Origin
}

// passed is what is known of a connection that is passed on.
type passed struct {
	origin Origin
	// sentAt is when its latest bytes came from its origin.
	sentAt time.Time
}

// New listens on a free port of loopback and passes connections on to target.
func New(target string) (*Proxy, error) {
	return NewWithOrigins(target, func(net.Addr, net.Addr) Origin { return Origin{} })
}

// NewWithOrigins is New for faults of some origins: origin is called once for a connection,
// with the addresses of both its ends, before anything is passed on.
func NewWithOrigins(target string, origin func(client, own net.Addr) Origin) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{
		listener: listener, target: target, changed: make(chan struct{}), origin: origin,
		conns: map[*net.TCPConn]Origin{}, byAddress: map[string]*passed{},
	}
	go p.accept()
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// OriginOf returns the origin of the connection that the proxy passes on from an address.
func (p *Proxy) OriginOf(address string) Origin {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.byAddress[address]; ok {
		return c.origin
	}
	return Origin{}
}

// SentAt returns when the latest bytes of the connection that the proxy passes on from an
// address came from its origin, however long they were held back; zero if it is not known.
func (p *Proxy) SentAt(address string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.byAddress[address]; ok {
		return c.sentAt
	}
	return time.Time{}
}

// Set puts a fault in the place of the one before.
func (p *Proxy) Set(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Held returns the number of pieces of bytes that are held back.
func (p *Proxy) Held() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.held
}

// Reset ends all open connections with a reset.
func (p *Proxy) Reset() { p.ResetOf(nil) }

// ResetOf ends the open connections of some origins with a reset; nil for all.
func (p *Proxy) ResetOf(origins []string) {
	p.mu.Lock()
	conns := maps.Clone(p.conns)
	p.mu.Unlock()
	for conn, origin := range conns {
		if (Fault{Origins: origins}).affects(origin) {
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.wake()
}

func (p *Proxy) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(conn.(*net.TCPConn))
	}
}

func (p *Proxy) serve(client *net.TCPConn) {
	origin := p.origin(client.RemoteAddr(), client.LocalAddr())
	if !p.add(client, origin) {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	defer p.drop(client)
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		return
	}
	server := conn.(*net.TCPConn)
	if !p.add(server, origin) {
		_ = server.Close()
		return
	}
	defer p.drop(server)
	c := &passed{origin: origin}
	p.record(server, c)
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.pass(client, server, func() { p.recordSent(c) }, func(f Fault) bool { return f.HoldRequests && f.affects(origin) })
	}()
	p.pass(server, client, func() {}, func(f Fault) bool { return f.HoldAnswers && f.affects(origin) })
	<-done
}

func (p *Proxy) add(conn *net.TCPConn, origin Origin) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.fault.Refuse && p.fault.affects(origin) {
		return false
	}
	p.conns[conn] = origin
	return true
}

// record keeps a connection to the target for OriginOf and SentAt.
func (p *Proxy) record(server *net.TCPConn, c *passed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byAddress[server.LocalAddr().String()] = c
}

func (p *Proxy) recordSent(c *passed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.sentAt = time.Now()
}

func (p *Proxy) drop(conn *net.TCPConn) {
	p.mu.Lock()
	delete(p.conns, conn)
	p.mu.Unlock()
	_ = conn.Close()
}

// pass copies one direction of a connection until it ends, and calls read for each piece that
// came. A sender's reset overtakes what is held back; the end of its stream does not.
func (p *Proxy) pass(from, to *net.TCPConn, read func(), held func(Fault) bool) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			read()
		}
		p.hold(1)
		time.Sleep(p.await(held))
		p.hold(-1)
		if isReset(from) {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.SetLinger(0) // a reset of one side must not look like an orderly end to the other
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.CloseWrite()
			return
		}
	}
}

// isReset reports whether the other end has reset a connection that is still open here.
func isReset(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false // it is closed here
	}
	reset := false
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = err == nil && info.State == tcpClose
	})
	return err == nil && reset
}

func (p *Proxy) hold(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held += n
}

// await waits while a direction is held back and returns the delay.
func (p *Proxy) await(held func(Fault) bool) time.Duration {
	for {
		p.mu.Lock()
		fault, changed, closed := p.fault, p.changed, p.closed
		p.mu.Unlock()
		if closed || !held(fault) {
			return fault.Delay
		}
		<-changed
	}
}
