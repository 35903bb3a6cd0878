package discovery

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// dialSlackDivisor is by how much a connection must come quicker than the answer to a question
// that does not wait, since nobody has to think about it. Where a third is cut off, those
// inside draw two out of three times a gateway that can't be reached, and lose that time.
const dialSlackDivisor = 3

const (
	// idleTimeout is how long a connection stays open that nobody uses: whoever has sent this
	// gateway something mostly does so again, and the codec describes all types on each new
	// connection.
	idleTimeout = 5 * time.Second
	// idleCheckEvery is the time between two looks for connections that have been idle for
	// long.
	idleCheckEvery = time.Second
	// maxIdle bounds how many connections stay open that nobody uses.
	maxIdle = 8
)

// links are the connections to other gateways, one an address, shared by the duties
// that use them and kept for a while after the last of these.
type links struct {
	dial  func(ctx context.Context, network, address string) (net.Conn, error)
	clock func() time.Time

	mu   sync.Mutex
	open map[string]*link
	// closed is whether none is kept any more that nobody uses.
	closed bool
}

// link is one connection to another gateway.
type link struct {
	address string
	client  *rpc.Client
	users   int
	// idleSince is when the last of its users released it.
	idleSince time.Time
}

func newLinks(dial func(context.Context, string, string) (net.Conn, error), clock func() time.Time) *links {
	return &links{dial: dial, clock: clock, open: map[string]*link{}}
}

// watchedConn calls a function once its other end has closed it or it broke.
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

// acquire gives the connection to an address, and makes it within a time if there is
// none. It must be released.
func (ls *links) acquire(ctx context.Context, address string, within time.Duration) (*link, error) {
	if l := ls.join(address); l != nil {
		return l, nil
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	conn, err := ls.dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{address: address, users: 1}
	l.client = rpc.NewClient(&watchedConn{Conn: conn, onEnd: func() { ls.forget(l) }})
	return ls.add(l), nil
}

// join gives a connection that stands already; nil if there is none.
func (ls *links) join(address string) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l := ls.open[address]
	if l != nil {
		l.users++
	}
	return l
}

// add keeps a new connection for others to join, unless another was quicker.
func (ls *links) add(l *link) *link {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	if ls.open[l.address] == nil {
		ls.open[l.address] = l
	}
	return l
}

// forget takes a connection that has ended off the list.
func (ls *links) forget(l *link) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	ls.drop(l)
}

// release gives a connection back; one that broke is not given to anybody any more.
func (ls *links) release(l *link, broke bool) {
	ls.mu.Lock()
	defer ls.mu.Unlock()
	l.users--
	l.idleSince = ls.clock()
	if broke || ls.closed || ls.idleCount() > maxIdle || ls.open[l.address] != l {
		ls.drop(l)
	}
}

// drop takes a connection off the list and closes it unless somebody uses it; the lock is
// held.
func (ls *links) drop(l *link) {
	if ls.open[l.address] == l {
		delete(ls.open, l.address)
	}
	if l.users == 0 {
		_ = l.client.Close() // that of a peer which is gone needs no more
	}
}

// idleCount is how many connections nobody uses; the lock is held.
func (ls *links) idleCount() (count int) {
	for _, l := range ls.open {
		if l.users == 0 {
			count++
		}
	}
	return count
}

// closeIdle is the duty of closing connections that nobody has used for a while, and in the
// end all of them.
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

// closeUnused closes the connections that nobody has used for a time.
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

// ask begins a call, whose end is signalled on the channel that it holds.
func (l *link) ask(args UpdateArgs) *rpc.Call {
	return l.client.Go(methodNews, args, &UpdateReply{}, make(chan *rpc.Call, 1))
}
