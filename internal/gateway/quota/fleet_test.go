package quota_test

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	corequota "github.com/sprucecrank/sprucecrank/core/gateway/quota"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
)

// Bounds of a customer, as they are agreed: in any window of quotaWindow no more than the
// limit allows, a share and a number of requests beyond it left to the product.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaTolerance = 20.0
)

// Delays of the fleet's network, one way.
const (
	leastDelay = 100 * time.Microsecond
	mostDelay  = 2 * time.Millisecond
)

// fleet is many gateways of the real code, in virtual time, over a network in memory. Who
// is there each hears late, by a lag of its own, as from its neighbours.
type fleet struct {
	t       testing.TB
	seed    uint64
	mu      sync.Mutex
	draws   *rand.Rand
	boxes   []*box
	limits  atomic.Bool
	changed chan struct{} // closed and renewed when ways are cut or healed
	part    []int         // by box; boxes of different parts don't reach each other
	history []state
	// views are the gateways' own views; nil where each hears of all after a lag of its own.
	views *views
	// looks counts how often a box took in word of who ranks first, and looked for homes.
	looks atomic.Int64
	bytes int64
}

// box is one gateway; its process may end and start again.
type box struct {
	index    int
	box      member.Box
	lag      time.Duration
	register *quota.Limiter
	server   *rpc.Server
	stop     context.CancelFunc
	conns    []net.Conn
}

// state is which boxes were there at a moment, and which reached each other.
type state struct {
	at   time.Time
	up   []bool
	part []int
}

func newFleet(t testing.TB, seed uint64, size int) *fleet {
	f := &fleet{
		t: t, seed: seed, draws: rand.New(rand.NewPCG(seed, 1)),
		changed: make(chan struct{}), part: make([]int, size),
	}
	f.limits.Store(true)
	for i := range size {
		f.boxes = append(f.boxes, &box{index: i, box: member.Box{ID: fmt.Sprint("gateway-", i), Peer: fmt.Sprint("10.0.0.", i, ":1")}})
	}
	return f
}

// sent is how many bytes were written so far.
func (f *fleet) sent() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.draws.Float64()
}

// start starts the process of a box.
func (f *fleet) start(i int) {
	b := f.boxes[i]
	ctx, cancel := context.WithCancel(f.t.Context())
	lag := time.Duration(20+300*f.float()) * time.Millisecond
	register := quota.New(quota.Options{
		Self: b.box, Homes: func(n int) []member.Box { return f.homes(i, n) },
		Ranked:         func(n int) []peers.Sighting { return f.ranked(i, n) },
		MergeSightings: func(s []peers.Sighting) { f.sighted(i, s) },
		FleetSize:      func() int { return f.gateways(i) },
		HasLimits:      f.limits.Load,
		Tolerance:      quotaTolerance,
		Dial:           func(ctx context.Context, _, address string) (net.Conn, error) { return f.dial(ctx, i, address) },
	})
	register.OnUpdate(func() { go f.tell(i, register) })
	server := rpc.NewServer()
	service := register.Service()
	if err := server.RegisterName(service.Name, service.Methods); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	b.register, b.server, b.stop, b.lag = register, server, cancel, lag
	f.mu.Unlock()
	f.note()
	if f.views != nil {
		f.views.start(ctx, i)
	}
	for _, duty := range register.Duties() {
		go func() { _ = duty(ctx) }()
	}
}

// kill ends the process of a box.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	b := f.boxes[i]
	conns := b.conns
	b.conns, b.register, b.server = nil, nil, nil
	f.mu.Unlock()
	b.stop()
	for _, c := range conns {
		_ = c.Close()
	}
	f.note()
}

// cut parts the boxes; those of one number reach each other.
func (f *fleet) cut(part func(i int) int) {
	f.mu.Lock()
	parts := make([]int, len(f.boxes))
	for i := range parts {
		parts[i] = part(i)
	}
	f.part = parts
	close(f.changed)
	f.changed = make(chan struct{})
	f.mu.Unlock()
	f.note()
}

func (f *fleet) heal() { f.cut(func(int) int { return 0 }) }

// note remembers how things stand, for those that hear of it late.
func (f *fleet) note() {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := state{at: time.Now(), part: f.part, up: make([]bool, len(f.boxes))}
	for i, b := range f.boxes {
		s.up[i] = b.register != nil
	}
	f.history = append(f.history, s)
}

// homes are the first in rank as a box has heard by now. One that has just started has
// heard nothing.
func (f *fleet) homes(i, n int) []member.Box {
	if f.views != nil {
		return f.views.first(i, n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.boxes[i]
	observed := f.history[0]
	for _, s := range f.history {
		if !s.at.After(time.Now().Add(-b.lag)) {
			observed = s
		}
	}
	var there []*box
	for j, other := range f.boxes {
		if j == i || observed.up[j] && observed.part[j] == observed.part[i] {
			there = append(there, other)
		}
	}
	slices.SortFunc(there, func(a, b *box) int {
		return cmp.Compare(corequota.ID(a.box.ID), corequota.ID(b.box.ID))
	})
	var out []member.Box
	for _, b := range there[:min(n, len(there))] {
		out = append(out, b.box)
	}
	return out
}

// gateways is how large a box takes the fleet for.
func (f *fleet) gateways(i int) int {
	if f.views != nil {
		return f.views.size(i)
	}
	return len(f.boxes)
}

// ranked is what a box tells of those that rank first.
func (f *fleet) ranked(i, n int) []peers.Sighting {
	if f.views == nil {
		return nil
	}
	return f.views.ranked(i, n)
}

func (f *fleet) sighted(i int, s []peers.Sighting) {
	f.looks.Add(1)
	if f.views != nil {
		f.views.sighted(i, s)
	}
}

// find is the index of a box.
func (f *fleet) find(id string) int {
	return slices.IndexFunc(f.boxes, func(b *box) bool { return b.box.ID == id })
}

// reaches says whether the process of a box is there and the way to it is open.
func (f *fleet) reaches(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[to].register != nil && f.part[from] == f.part[to]
}

var errRefused = errors.New("connection refused")

// dial connects a box to another.
func (f *fleet) dial(ctx context.Context, from int, address string) (net.Conn, error) {
	to := slices.IndexFunc(f.boxes, func(b *box) bool { return b.box.Peer == address })
	time.Sleep(f.delay())
	if !f.awaitWay(ctx.Done(), from, to) {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	target := f.boxes[to]
	if target.server == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	target.conns = append(target.conns, near, far)
	go target.server.ServeConn(newWay(f, far, to, from))
	return newWay(f, near, from, to), nil
}

func (f *fleet) delay() time.Duration {
	return leastDelay + time.Duration(f.float()*float64(mostDelay-leastDelay))
}

// awaitWay waits while the way between two boxes is cut.
func (f *fleet) awaitWay(done <-chan struct{}, from, to int) bool {
	for {
		f.mu.Lock()
		open, changed := f.part[from] == f.part[to], f.changed
		f.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-changed:
		case <-done:
			return false
		}
	}
}

// way is one end of a connection: bytes take their time, and wait while the way is cut, not
// the one who writes them.
type way struct {
	net.Conn
	fleet    *fleet
	from, to int
	written  chan []byte
	once     sync.Once
	done     chan struct{}
}

func newWay(f *fleet, conn net.Conn, from, to int) *way {
	w := &way{Conn: conn, fleet: f, from: from, to: to, written: make(chan []byte, 64), done: make(chan struct{})}
	go w.carry()
	return w
}

func (w *way) Write(b []byte) (int, error) {
	w.fleet.mu.Lock()
	w.fleet.bytes += int64(len(b))
	w.fleet.mu.Unlock()
	select {
	case w.written <- slices.Clone(b):
		return len(b), nil
	case <-w.done:
		return 0, net.ErrClosed
	}
}

// carry passes on what was written.
func (w *way) carry() {
	for {
		select {
		case b := <-w.written:
			time.Sleep(w.fleet.delay())
			if !w.fleet.awaitWay(w.done, w.from, w.to) {
				return
			}
			if _, err := w.Conn.Write(b); err != nil {
				return // the other end is closed
			}
		case <-w.done:
			return
		}
	}
}

func (w *way) Close() error {
	w.once.Do(func() { close(w.done) })
	return w.Conn.Close()
}

// inVirtualTime plays a fleet that has started and settled. Gateways hear of all others at
// once, each after a lag of its own; by hand, with VIEWS=1, by their own views.
func inVirtualTime(t *testing.T, seed uint64, size int, play func(f *fleet)) {
	if number("VIEWS", 0) > 0 {
		withViews(t, seed, size, play)
		return
	}
	playFleet(t, seed, size, func(*fleet) {}, play)
}

// withViews is inVirtualTime where gateways hear of each other by their own views.
func withViews(t *testing.T, seed uint64, size int, play func(f *fleet)) {
	playFleet(t, seed, size, func(f *fleet) { f.views = newViews(f) }, play)
}

func playFleet(t *testing.T, seed uint64, size int, prepare, play func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, size)
		prepare(f)
		f.note()
		for i := range f.boxes {
			f.start(i)
		}
		time.Sleep(7 * time.Second)
		play(f)
		for i, b := range f.boxes {
			if b.register != nil {
				f.kill(i)
			}
		}
		time.Sleep(time.Second) // for what is under way
		synctest.Wait()
	})
}
