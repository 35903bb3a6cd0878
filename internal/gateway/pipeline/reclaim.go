package pipeline

import (
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
)

// This file holds what connections hold in memory, and how they give it back when there is no
// room for others.

const (
	// connBytes is what a connection holds, in bytes: its buffer, its goroutines.
	connBytes = 16 << 10
	// slowAfter is how long a request may arrive before it may be found to be too slow.
	slowAfter = 5 * time.Second
	// maxArrivalTime is how long a request may take to arrive where room is short, at the
	// rate at which it has arrived so far: 64 MB at 4.5 Mbit/s.
	maxArrivalTime = 2 * time.Minute
	// minRestingTime is how long a connection must have rested before it is closed where room is
	// short: the request of one that has just been opened may be on its way.
	minRestingTime = time.Second
	// restingShare is the least share of the resting connections, as a divisor, that is closed
	// at once where room is short, so that they are not looked through for each request.
	restingShare = 16
	// reclaimPause is for how long connections are not looked through again after that was
	// in vain.
	reclaimPause = 20 * time.Millisecond
	// turnAwayTime bounds the answer to a connection that is not taken.
	turnAwayTime = 100 * time.Millisecond
)

// noRoomAnswer answers a connection for which there is no room.
const noRoomAnswer = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// turnAway answers a connection for which there is no room, and closes it. Whether the client
// sees the answer is not known: it may have sent a request, which is not read.
func (s *Server) turnAway(accepted net.Conn) {
	defer func() { _ = accepted.Close() }()
	if accepted.SetWriteDeadline(time.Now().Add(turnAwayTime)) != nil {
		return
	}
	if _, err := io.WriteString(accepted, noRoomAnswer); err != nil {
		s.options.Log.Debug("answer not taken", "client", accepted.RemoteAddr().String(), "error", err.Error())
	}
}

// growInput holds room for a longer buffer of what has arrived.
func (c *conn) growInput(bytes int) error {
	if bytes <= readBytes {
		return nil
	}
	if !c.hold.TryGrow(int64(connBytes+bytes) - c.hold.Bytes()) {
		return membudget.ErrNoRoom
	}
	return nil
}

// shrinkInput gives back the room for a long head.
func (c *conn) shrinkInput() {
	if c.in.shrink() {
		c.hold.Resize(connBytes)
	}
}

// holdRequest holds room for a request with a head of the given length; nil if there is none.
func (c *conn) holdRequest(head int) *membudget.Hold {
	hold, ok := c.server.options.Memory.TryHold(memory.Request, int64(requestBytes+headCopies*head))
	if !ok {
		return nil
	}
	return hold
}

// arrival is how a request arrives that is being read.
type arrival struct {
	mu        sync.Mutex
	active    bool
	waits     bool      // its body waits for room
	since     time.Time // of its head or its body
	announced int64     // bytes of its body; -1 if that is not known
	arrived   int64     // bytes of its body
}

// begin notes that a head, or a body with the announced length, begins to arrive.
func (a *arrival) begin(announced int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active, a.waits, a.since = true, false, time.Now()
	a.announced, a.arrived = announced, 0
}

// wait notes that nothing is read of a body until there is room for it, and its client is told to
// send it.
func (a *arrival) wait() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waits = true
}

// add notes that n more bytes of a body have arrived.
func (a *arrival) add(n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.arrived += n
}

// end notes that the request has arrived, or will not.
func (a *arrival) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.active = false
}

func (a *arrival) isActive() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.active
}

// slowBytes returns how many bytes are held for a request that arrives too slowly to be kept
// where room is short; 0 for any other one.
func (a *arrival) slowBytes(now time.Time) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	took := now.Sub(a.since)
	if !a.active || a.waits || took < slowAfter {
		return 0
	}
	length := max(a.announced, a.arrived)
	if length > 0 && float64(took)*float64(length) <= float64(maxArrivalTime)*float64(a.arrived) {
		return 0
	}
	return length + connBytes
}

// idleConn is a connection that rests.
type idleConn struct {
	conn  *conn
	since time.Time
}

// reclaim ends connections that rest, those that have rested longest first, and then requests
// that arrive too slowly, until enough is given back. It returns how many bytes are.
func (s *Server) reclaim(short membudget.Shortage) (freed int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.reclaimed) < reclaimPause {
		return 0
	}
	if !short.OfBodies() {
		freed = s.closeResting(now, short.Bytes())
	}
	if freed < short.Bytes() {
		freed += s.evictSlow(now, short.Bytes()-freed)
	}
	if freed == 0 {
		s.reclaimed = now
	}
	return freed
}

// closeResting ends resting connections; the lock is held.
func (s *Server) closeResting(now time.Time, n int64) (freed int64) {
	var idle []idleConn
	for c := range s.conns {
		if since, ok := c.restingSince(); ok && now.Sub(since) >= minRestingTime {
			idle = append(idle, idleConn{conn: c, since: since})
		}
	}
	slices.SortFunc(idle, func(a, b idleConn) int { return a.since.Compare(b.since) })
	for i, one := range idle {
		if freed >= n && i >= len(idle)/restingShare {
			break
		}
		if one.conn.hasUnread() {
			continue
		}
		freed += one.conn.hold.Bytes()
		one.conn.finish()
		one.conn.hold.Release()
	}
	return freed
}

// evictSlow gives up requests that arrive too slowly; the lock is held.
func (s *Server) evictSlow(now time.Time, n int64) (freed int64) {
	for c := range s.conns {
		if freed >= n {
			break
		}
		if bytes := c.arrival.slowBytes(now); bytes > 0 && c.evict() {
			freed += bytes
		}
	}
	return freed
}

// restingSince returns since when a connection rests; ok is false if it does not.
func (c *conn) restingSince() (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isResting := c.phase == resting && !c.resting.IsZero() && !c.arrival.isActive()
	return c.resting, isResting && !c.finished && !c.evicted && c.window.isEmpty()
}

// hasUnread reports whether bytes have arrived that were not read yet.
func (c *conn) hasUnread() bool {
	sysConn, ok := c.net.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sysConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := 0
	err = raw.Control(func(fd uintptr) {
		var first [1]byte
		// Without a byte there is an error, or the client has closed the connection.
		unread, _, _ = syscall.Recvfrom(int(fd), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && unread > 0
}

// evict gives up the request that is being read; false if it was given up before.
func (c *conn) evict() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted || c.finished || c.phase != arriving || !c.arrival.isActive() {
		return false
	}
	c.evicted = true
	c.setReadDeadline(past)
	return true
}
