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

// The agreed bounds for a workspace: in any window of quotaWindow no more requests than the
// limit allows, plus a share of that and a constant number.
const (
	quotaWindow    = 5 * time.Second
	quotaOvershoot = 0.1
	quotaTolerance = 20.0
)

// One-way delays of the simulated network.
const (
	leastDelay = 100 * time.Microsecond
	mostDelay  = 2 * time.Millisecond
)

// fleet runs many gateways with the production code in virtual time over an in-memory network.
// Each gateway learns of changes in the fleet with its own delay, as it would from its
// neighbours.
type fleet struct {
	t             testing.TB
	seed          uint64
	mu            sync.Mutex
	rng           *rand.Rand
	boxes         []*box
	limits        atomic.Bool
	repartitioned chan struct{} // closed and replaced when the partition changes
	partition     []int         // by box; boxes with different numbers don't reach each other
	history       []state
	// views are the gateways' own views; nil if each learns of all others after its own delay.
	views *views
	// refreshes counts how often a box merged sightings from a home and refreshed its homes.
	refreshes atomic.Int64
	bytesSent int64
}

// box is one gateway; its process may be killed and started again.
type box struct {
	index   int
	box     member.Box
	lag     time.Duration
	limiter *quota.Limiter
	server  *rpc.Server
	stop    context.CancelFunc
	conns   []net.Conn
}

// state is which boxes were running at a given time, and how they were partitioned.
type state struct {
	at        time.Time
	up        []bool
	partition []int
}

func newFleet(t testing.TB, seed uint64, size int) *fleet {
	f := &fleet{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)),
		repartitioned: make(chan struct{}), partition: make([]int, size),
	}
	f.limits.Store(true)
	for i := range size {
		f.boxes = append(f.boxes, &box{index: i, box: member.Box{ID: fmt.Sprint("gateway-", i), Peer: fmt.Sprint("10.0.0.", i, ":1")}})
	}
	return f
}

// sent returns the number of bytes written so far.
func (f *fleet) sent() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytesSent
}

func (f *fleet) float() float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.Float64()
}

func (f *fleet) start(i int) {
	b := f.boxes[i]
	ctx, cancel := context.WithCancel(f.t.Context())
	lag := time.Duration(20+300*f.float()) * time.Millisecond
	limiter := quota.New(quota.Options{
		Self: b.box, Homes: func(n int) []member.Box { return f.homes(i, n) },
		Ranked:         func(n int) []peers.Sighting { return f.ranked(i, n) },
		MergeSightings: func(s []peers.Sighting) { f.mergeSightings(i, s) },
		FleetSize:      func() int { return f.estimatedSize(i) },
		HasLimits:      f.limits.Load,
		Tolerance:      quotaTolerance,
		Dial:           func(ctx context.Context, _, address string) (net.Conn, error) { return f.dial(ctx, i, address) },
	})
	limiter.OnUpdate(func() { go f.publish(i, limiter) })
	server := rpc.NewServer()
	service := limiter.Service()
	if err := server.RegisterName(service.Name, service.Methods); err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	b.limiter, b.server, b.stop, b.lag = limiter, server, cancel, lag
	f.mu.Unlock()
	f.recordState()
	if f.views != nil {
		f.views.start(ctx, i)
	}
	for _, task := range limiter.Tasks() {
		go func() { _ = task(ctx) }()
	}
}

// kill kills the process of a box.
func (f *fleet) kill(i int) {
	f.mu.Lock()
	b := f.boxes[i]
	conns := b.conns
	b.conns, b.limiter, b.server = nil, nil, nil
	f.mu.Unlock()
	b.stop()
	for _, c := range conns {
		_ = c.Close()
	}
	f.recordState()
}

// split partitions the boxes; those with the same number reach each other.
func (f *fleet) split(partitionOf func(i int) int) {
	f.mu.Lock()
	partition := make([]int, len(f.boxes))
	for i := range partition {
		partition[i] = partitionOf(i)
	}
	f.partition = partition
	close(f.repartitioned)
	f.repartitioned = make(chan struct{})
	f.mu.Unlock()
	f.recordState()
}

func (f *fleet) heal() { f.split(func(int) int { return 0 }) }

// recordState records the current state for boxes that learn of it later.
func (f *fleet) recordState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := state{at: time.Now(), partition: f.partition, up: make([]bool, len(f.boxes))}
	for i, b := range f.boxes {
		s.up[i] = b.limiter != nil
	}
	f.history = append(f.history, s)
}

// homes returns the gateways that rank first, as far as a box has learned by now. A box that
// has just started has learned nothing yet.
func (f *fleet) homes(i, n int) []member.Box {
	if f.views != nil {
		return f.views.first(i, n)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	b := f.boxes[i]
	known := f.history[0]
	for _, s := range f.history {
		if !s.at.After(time.Now().Add(-b.lag)) {
			known = s
		}
	}
	var reachable []*box
	for j, other := range f.boxes {
		if j == i || known.up[j] && known.partition[j] == known.partition[i] {
			reachable = append(reachable, other)
		}
	}
	slices.SortFunc(reachable, func(a, b *box) int {
		return cmp.Compare(corequota.ID(a.box.ID), corequota.ID(b.box.ID))
	})
	var out []member.Box
	for _, b := range reachable[:min(n, len(reachable))] {
		out = append(out, b.box)
	}
	return out
}

// estimatedSize returns the fleet size that a box assumes.
func (f *fleet) estimatedSize(i int) int {
	if f.views != nil {
		return f.views.size(i)
	}
	return len(f.boxes)
}

// ranked returns the sightings that a box reports of the gateways that rank first.
func (f *fleet) ranked(i, n int) []peers.Sighting {
	if f.views == nil {
		return nil
	}
	return f.views.ranked(i, n)
}

func (f *fleet) mergeSightings(i int, s []peers.Sighting) {
	f.refreshes.Add(1)
	if f.views != nil {
		f.views.mergeSightings(i, s)
	}
}

// index returns the index of the box with an ID.
func (f *fleet) index(id string) int {
	return slices.IndexFunc(f.boxes, func(b *box) bool { return b.box.ID == id })
}

// reaches reports whether a box is running and in the same partition.
func (f *fleet) reaches(from, to int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.boxes[to].limiter != nil && f.partition[from] == f.partition[to]
}

var errRefused = errors.New("connection refused")

// dial connects a box to another one.
func (f *fleet) dial(ctx context.Context, from int, address string) (net.Conn, error) {
	to := slices.IndexFunc(f.boxes, func(b *box) bool { return b.box.Peer == address })
	time.Sleep(f.delay())
	if !f.awaitPath(ctx.Done(), from, to) {
		return nil, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	remote := f.boxes[to]
	if remote.server == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	remote.conns = append(remote.conns, near, far)
	go remote.server.ServeConn(newDelayedConn(f, far, to, from))
	return newDelayedConn(f, near, from, to), nil
}

func (f *fleet) delay() time.Duration {
	return leastDelay + time.Duration(f.float()*float64(mostDelay-leastDelay))
}

// awaitPath waits until two boxes are in the same partition.
func (f *fleet) awaitPath(done <-chan struct{}, from, to int) bool {
	for {
		f.mu.Lock()
		open, repartitioned := f.partition[from] == f.partition[to], f.repartitioned
		f.mu.Unlock()
		if open {
			return true
		}
		select {
		case <-repartitioned:
		case <-done:
			return false
		}
	}
}

// delayedConn is one end of a connection. Bytes are delivered after a delay, and not while the
// boxes are partitioned; writes don't block meanwhile.
type delayedConn struct {
	net.Conn
	fleet    *fleet
	from, to int
	queue    chan []byte
	once     sync.Once
	done     chan struct{}
}

func newDelayedConn(f *fleet, conn net.Conn, from, to int) *delayedConn {
	c := &delayedConn{Conn: conn, fleet: f, from: from, to: to, queue: make(chan []byte, 64), done: make(chan struct{})}
	go c.forward()
	return c
}

func (c *delayedConn) Write(b []byte) (int, error) {
	c.fleet.mu.Lock()
	c.fleet.bytesSent += int64(len(b))
	c.fleet.mu.Unlock()
	select {
	case c.queue <- slices.Clone(b):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// forward delivers what was written.
func (c *delayedConn) forward() {
	for {
		select {
		case b := <-c.queue:
			time.Sleep(c.fleet.delay())
			if !c.fleet.awaitPath(c.done, c.from, c.to) {
				return
			}
			if _, err := c.Conn.Write(b); err != nil {
				return // the other end is closed
			}
		case <-c.done:
			return
		}
	}
}

func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// inVirtualTime runs a scenario with a fleet that has started and settled. Gateways learn of
// all others after their own delay; with VIEWS=1, for manual runs, by their own views.
func inVirtualTime(t *testing.T, seed uint64, size int, scenario func(f *fleet)) {
	if numberFromEnv("VIEWS", 0) > 0 {
		withViews(t, seed, size, scenario)
		return
	}
	runFleet(t, seed, size, func(*fleet) {}, scenario)
}

// withViews is inVirtualTime with gateways that learn of each other by their own views.
func withViews(t *testing.T, seed uint64, size int, scenario func(f *fleet)) {
	runFleet(t, seed, size, func(f *fleet) { f.views = newViews(f) }, scenario)
}

func runFleet(t *testing.T, seed uint64, size int, prepare, scenario func(f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, seed, size)
		prepare(f)
		f.recordState()
		for i := range f.boxes {
			f.start(i)
		}
		time.Sleep(7 * time.Second)
		scenario(f)
		for i, b := range f.boxes {
			if b.limiter != nil {
				f.kill(i)
			}
		}
		time.Sleep(time.Second) // for calls in progress
		synctest.Wait()
	})
}
