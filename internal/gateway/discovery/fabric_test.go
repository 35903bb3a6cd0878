package discovery_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// One-way delays of the fabric.
const (
	sameHallDelay  = 100 * time.Microsecond
	otherHallDelay = 1400 * time.Microsecond
)

// Delays that a lost packet causes: the retransmission timeout, and the longer one of a
// connection's first packet (the defaults of Linux).
const (
	retransmitAfter = 200 * time.Millisecond
	redialAfter     = time.Second
)

var errRefused = errors.New("connection refused")

// fabric is an in-memory network for gateways in virtual time. Bytes arrive after a delay
// that depends on the halls, and wait without an error as long as their path is cut.
type fabric struct {
	mu        sync.Mutex
	listeners map[string]*fabricListener
	halls     map[string]string // by address
	// cut reports whether the path from one address to another is cut.
	cut     func(from, to string) bool
	changed chan struct{} // closed and replaced when cut changes
	// otherHallDelay is the delay between two halls of a region. regions holds the region
	// of each hall, if there are any, and otherRegionDelay is the delay between two of
	// them.
	otherHallDelay   time.Duration
	regions          map[string]string
	otherRegionDelay time.Duration
	// loss returns the share of packets that is lost between two regions.
	loss   func(from, to string) float64
	random *rand.Rand
	// all and betweenHalls count the bytes that were sent, in total and between halls, and
	// writes the number of writes.
	all          atomic.Int64
	betweenHalls atomic.Int64
	writes       atomic.Int64
	// betweenRegions and writesBetweenRegions count bytes and writes between regions.
	betweenRegions       atomic.Int64
	writesBetweenRegions atomic.Int64
}

func newFabric() *fabric {
	return &fabric{
		listeners: map[string]*fabricListener{}, halls: map[string]string{},
		cut: func(string, string) bool { return false }, changed: make(chan struct{}),
		otherHallDelay: otherHallDelay, loss: func(string, string) float64 { return 0 }, random: rand.New(rand.NewPCG(1, 1)),
	}
}

// setCut changes which paths are cut.
func (f *fabric) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
	close(f.changed)
	f.changed = make(chan struct{})
}

// isCut reports whether a path is cut; the channel is closed when that may have changed.
func (f *fabric) isCut(from, to string) (bool, chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut(from, to), f.changed
}

func (f *fabric) delay(from, to string) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.halls[from] == f.halls[to]:
		return sameHallDelay
	case f.region(from) == f.region(to):
		return f.otherHallDelay
	default:
		return f.otherRegionDelay
	}
}

// region returns the region of an address; the lock is held.
func (f *fabric) region(address string) string { return f.regions[f.halls[address]] }

// isBetweenRegions reports whether a path leads from one region to another.
func (f *fabric) isBetweenRegions(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.region(from) != f.region(to)
}

// isBetweenHalls reports whether a path leads from one hall to another.
func (f *fabric) isBetweenHalls(from, to string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halls[from] != f.halls[to]
}

// setLoss changes which share of packets is lost between regions.
func (f *fabric) setLoss(loss func(from, to string) float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss = loss
}

// lossDelay draws the delay of a packet by its lost transmissions. again is the delay that
// the first loss causes; it doubles with each further one.
func (f *fabric) lossDelay(from, to string, again time.Duration) (late time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	share := f.loss(f.region(from), f.region(to))
	for ; share > 0 && f.random.Float64() < share; again *= 2 {
		late += again
	}
	return late
}

// listen opens an address in a hall.
func (f *fabric) listen(address, hall string) *fabricListener {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &fabricListener{fabric: f, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	f.listeners[address], f.halls[address] = l, hall
	return l
}

// dialFrom returns the dial function of the gateway at an address.
func (f *fabric) dialFrom(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, to string) (net.Conn, error) {
		there, _ := f.isCut(from, to)
		back, _ := f.isCut(to, from)
		if there || back {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		if !waitFor(ctx, 2*f.delay(from, to)+f.lossDelay(from, to, redialAfter)+f.lossDelay(to, from, redialAfter)) {
			return nil, ctx.Err()
		}
		f.mu.Lock()
		l := f.listeners[to]
		f.mu.Unlock()
		if l == nil {
			return nil, errRefused
		}
		near, far := newHalfConn(f, to, from), newHalfConn(f, from, to)
		select {
		case l.conns <- &fabricConn{in: far, out: near, at: to}:
			return &fabricConn{in: near, out: far, at: from}, nil
		case <-l.closed:
			return nil, errRefused
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// waitFor waits for a time and returns false if the context ended before.
func waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type fabricListener struct {
	fabric  *fabric
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

func (l *fabricListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *fabricListener) Close() error {
	l.once.Do(func() {
		l.fabric.mu.Lock()
		defer l.fabric.mu.Unlock()
		if l.fabric.listeners[l.address] == l {
			delete(l.fabric.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

func (l *fabricListener) Addr() net.Addr { return fabricAddr(l.address) }

type fabricAddr string

func (a fabricAddr) Network() string { return "fabric" }
func (a fabricAddr) String() string  { return string(a) }

// halfConn is one direction of a connection.
type halfConn struct {
	fabric         *fabric
	from, to       string
	delay          time.Duration
	betweenHalls   bool // between two halls
	betweenRegions bool // between two regions
	mu             sync.Mutex
	chunks         []chunk
	closed         bool
	woken          chan struct{}
}

type chunk struct {
	due  time.Time
	data []byte
}

func newHalfConn(f *fabric, from, to string) *halfConn {
	return &halfConn{
		fabric: f, from: from, to: to, delay: f.delay(from, to), betweenHalls: f.isBetweenHalls(from, to), betweenRegions: f.isBetweenRegions(from, to),
		woken: make(chan struct{}),
	}
}

func (h *halfConn) wake() {
	close(h.woken)
	h.woken = make(chan struct{})
}

func (h *halfConn) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.wake()
}

func (h *halfConn) write(p []byte) (int, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.closed {
		return 0, net.ErrClosed
	}
	h.fabric.all.Add(int64(len(p)))
	h.fabric.writes.Add(1)
	if h.betweenHalls {
		h.fabric.betweenHalls.Add(int64(len(p)))
	}
	late := time.Duration(0)
	if h.betweenRegions {
		h.fabric.betweenRegions.Add(int64(len(p)))
		h.fabric.writesBetweenRegions.Add(1)
		late = h.fabric.lossDelay(h.from, h.to, retransmitAfter)
	}
	h.chunks = append(h.chunks, chunk{due: time.Now().Add(h.delay + late), data: append([]byte(nil), p...)})
	h.wake()
	return len(p), nil
}

func (h *halfConn) read(p []byte) (int, error) {
	for {
		cut, changed := h.fabric.isCut(h.from, h.to)
		n, wait, woken, err := h.take(p, cut)
		if n > 0 || err != nil {
			return n, err
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-woken:
		case <-changed:
		}
		timer.Stop()
	}
}

// take reads data that has arrived, or returns how long to wait for it.
func (h *halfConn) take(p []byte, cut bool) (n int, wait time.Duration, woken chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait, woken = time.Hour, h.woken
	if cut {
		return 0, wait, woken, nil
	}
	if len(h.chunks) == 0 {
		if h.closed {
			err = net.ErrClosed
		}
		return 0, wait, woken, err
	}
	first := &h.chunks[0]
	if wait = time.Until(first.due); wait > 0 {
		return 0, wait, woken, nil
	}
	n = copy(p, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		h.chunks = h.chunks[1:]
	}
	return n, 0, woken, nil
}

// fabricConn is one end of a connection.
type fabricConn struct {
	in, out *halfConn
	at      string
}

func (c *fabricConn) Read(p []byte) (int, error)  { return c.in.read(p) }
func (c *fabricConn) Write(p []byte) (int, error) { return c.out.write(p) }

func (c *fabricConn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

func (c *fabricConn) LocalAddr() net.Addr              { return fabricAddr(c.at) }
func (c *fabricConn) RemoteAddr() net.Addr             { return fabricAddr(c.out.to) }
func (c *fabricConn) SetDeadline(time.Time) error      { return nil }
func (c *fabricConn) SetReadDeadline(time.Time) error  { return nil }
func (c *fabricConn) SetWriteDeadline(time.Time) error { return nil }
