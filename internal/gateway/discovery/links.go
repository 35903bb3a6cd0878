package discovery

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/internal/rpcconn"
)

// dialSlackDivisor is by how much less time a connection may take than the reply to a
// request that does not wait, since connecting involves no work on the other side. With a
// third of the fleet cut off, the gateways inside draw an unreachable gateway two out of
// three times, and lose that time with each.
const dialSlackDivisor = 3

const (
	// idleTimeout is how long an unused connection stays open: a peer that was just sent
	// something is usually needed again soon, and the codec describes all types on each new
	// connection.
	idleTimeout = 5 * time.Second
	// idleCheckEvery is the time between two checks for idle connections.
	idleCheckEvery = time.Second
	// maxIdle bounds the number of idle connections.
	maxIdle = 8
	// maxMessageBytes bounds a reply: a configuration has at most a megabyte, the packed
	// list of 10,000 targets somewhat less.
	maxMessageBytes = 16 << 20
)

// links holds the connections to other gateways, one for each address, which the background
// tasks share and which stay open for a while after their last use.
type links struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock func() time.Time

	mu   sync.Mutex
	open map[string]*link
	// closed says that connections are no longer kept open after their last use.
	closed bool
}

// link is one connection to another gateway.
type link struct {
	address string
	client  *rpc.Client
	users   int
	// idleSince is when its last user released it.
	idleSince time.Time
}

func newLinks(dial func(context.Context, string, string) (net.Conn, error), clock func() time.Time) *links {
	return &links{dial: dial, clock: clock, open: map[string]*link{}}
}

// watchedConn calls a function once its other end has closed it or it has failed.
type watchedConn struct {
	net.Conn
	onEnd func()
}

func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.onEnd()
	}
	return n, err
}

// acquire returns the connection to an address, and dials it with a timeout if there is
// none. The caller must release it.
func (ls *links) acquire(ctx context.Context, address string, timeout time.Duration) (*link, error) {
	if l := ls.join(address); l != nil {
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	conn, err := ls.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: address, users: 1}
	l.client = rpcconn.NewClient(&watchedConn{Conn: conn, onEnd: func() { ls.forget(l) }}, maxMessageBytes)
	return ls.add(l), nil
}

// join returns an existing connection; nil if there is none.
func (ls *links) join(address string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := ls.open[address]
	if l != nil {
		l.users++
	}
	return l
}

// add registers a new connection for others to join, unless another one was registered
// first.
func (ls *links) add(l *link) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.open[l.address] == nil {
		ls.open[l.address] = l
	}
	return l
}

// forget removes a connection that has ended.
func (ls *links) forget(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.drop(l)
}

// release returns a connection; one that failed is not used again.
func (ls *links) release(l *link, failed bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.users--
	l.idleSince = ls.clock()
	if failed || ls.closed || ls.idleCount() > maxIdle || ls.open[l.address] != l {
		ls.drop(l)
	}
}

// drop removes a connection and closes it unless it is in use; the lock is held.
func (ls *links) drop(l *link) {
	if ls.open[l.address] == l {
		delete(ls.open, l.address)
	}
	if l.users == 0 {
		_ = l.client.Close() // nothing to do if the peer is gone already
	}
}

// idleCount returns the number of unused connections; the lock is held.
func (ls *links) idleCount() (count int) {
	for _, l := range ls.open {
		if l.users == 0 {
			count++
		}
	}
	return count
}

// closeIdle is the background task that closes connections that were idle for a while, and
// at the end all of them.
func (ls *links) closeIdle(ctx context.Context) error {
	for pause.For(ctx, idleCheckEvery) {
		ls.closeUnused(idleTimeout)
	}
	ls.mu.Lock()
	ls.closed = true
	ls.mu.Unlock()
	ls.closeUnused(0)
	return nil
}

// closeUnused closes the connections that were unused for a time.
func (ls *links) closeUnused(unused time.Duration) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	now := ls.clock()
	for _, l := range ls.open {
		if l.users == 0 && now.Sub(l.idleSince) >= unused {
			ls.drop(l)
		}
	}
}

// ask starts a call; its Done channel signals the end.
func (l *link) ask(args UpdateArgs) *rpc.Call {
	return l.client.Go(methodNews, args, &UpdateReply{}, make(chan *rpc.Call, 1))
}
