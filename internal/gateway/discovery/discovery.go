// Package discovery keeps what a gateway believes of the configuration and of the
// targets up to date (service discovery). One gateway reads the store; the others
// hear of updates from it, through one gateway of their hall, the relay. A gateway
// that hears nothing in time reads for itself, so that nobody's knowledge depends
// on the others.
//
// It owns the catalog of the process (core/gateway/catalog), the view of the other
// gateways (core/member) and their freshness (core/gateway/freshness), under one
// lock, and publishes a snapshot for the data path at each change. It relies on the
// store by a Source and on other gateways by net/rpc; without either it goes on
// with what it knows. Who reads is decided by core/gateway/reader.
//
// The jobs, each with a file and, where it waits, a goroutine of its own:
//
//	read.go      the loop of a watch: whether to call the store, and how to go on
//	calls.go     the calls, and how their answers get into the catalog
//	role.go      who reads: this gateway's rank, and taking up or laying down the reading
//	ping.go      confirming, between the answers of a watch, that the store is there
//	follow.go    asking other gateways for updates; peers.go: which one
//	serve.go     answering other gateways
//	protocol.go  what gateways say to each other
//	publish.go   the snapshot of the data path, and the log lines of changes
//
// # Usage
//
//	f := discovery.New(discovery.Options{Self: self, Source: source, Decode: decode, ...})
//	group.Add(f.Follow, ...); group.Add(f.ReadConfig, ...); group.Add(f.ReadTargets, ...)
//	believed := f.Snapshot()
package discovery

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
)

// Timing holds the times of a Follower; gateway.timing derives them from the
// settings.
type Timing struct {
	// SilentAfter is how old knowledge may be: the gateways next in rank read the
	// store then, and others no longer turn to whoever has such knowledge.
	SilentAfter time.Duration
	// AloneAfter is how old the knowledge of any other gateway may be before it
	// reads the store itself.
	AloneAfter time.Duration
	// Ping is the pause between two pings of the store by a gateway whose watches
	// others rely on.
	Ping time.Duration
	// Poll is how long one question to another gateway waits for updates.
	Poll time.Duration
	// PollSlack is how much later than Poll the answer may come.
	PollSlack time.Duration
	// Watch is how long one watch of the store waits for changes.
	Watch time.Duration
	// WatchSlack is how much later than Watch its answer may come.
	WatchSlack time.Duration
	// Batch is the pause after an update from the store, in which more may gather.
	Batch time.Duration
	// AloneBatch is that pause where no other gateway asks for updates.
	AloneBatch time.Duration
	// OutageAfter is how long nothing can be confirmed before entries of targets
	// may have lapsed in the store, and Restore how soon after its return those
	// of targets that live are there again.
	OutageAfter time.Duration
	Restore     time.Duration
}

func (t Timing) freshness() freshness.Timing {
	return freshness.Timing{Fresh: t.SilentAfter, Watch: t.Watch, WatchSlack: t.WatchSlack, Outage: t.OutageAfter}
}

// Options configure a Follower.
type Options struct {
	Self member.Box
	// FirstStart says that all gateways are starting for the first time, so that
	// none is serving yet and each can wait for what the readers find.
	FirstStart bool
	// Seeds gives peer addresses of some gateways; they may be out of date.
	Seeds  func() []string
	Source Source
	Decode func(body []byte) (*routing.Table, error)
	Timing Timing
	Clock  func() time.Time
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Follower holds what is believed and how fresh it is.
type Follower struct {
	options Options
	started time.Time

	mu      sync.Mutex
	changed chan struct{} // closed and renewed at each change
	catalog *catalog.Catalog
	table   *routing.Table
	packed  packed
	fresh   *freshness.Tracker
	members *member.View
	peers   peers
	// reads says whether the reading of the store falls to this gateway.
	reads bool
	// asked is when another gateway last asked this one for updates.
	asked time.Time

	believed atomic.Pointer[snapshot.Snapshot]
	ready    chan struct{}
	once     sync.Once
}

// New makes a follower that knows nothing.
func New(o Options) *Follower {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	f := &Follower{
		options: o, started: o.Clock(), catalog: catalog.New(), fresh: freshness.New(o.Timing.freshness()),
		members: member.New(o.Self), peers: newPeers(),
		changed: make(chan struct{}), ready: make(chan struct{}),
	}
	f.believed.Store(snapshot.New(nil, nil))
	return f
}

// Snapshot is what is believed now.
func (f *Follower) Snapshot() *snapshot.Snapshot { return f.believed.Load() }

// Ready is closed once a configuration and the targets are known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// SetLeaving tells the other gateways that this one stops.
func (f *Follower) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members.SetLeaving()
	f.wake()
}

// Current says whether what is believed was confirmed lately, or this gateway's
// own watches would report a change.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	return f.fresh.Fresh(now) || f.fresh.Reads(now)
}

// Age is how long ago what is believed was confirmed; freshness.Never if it was
// not.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Age(f.options.Clock())
}

// Reads says whether this gateway's own watches are in order.
func (f *Follower) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Reads(f.options.Clock())
}

// wake wakes those that wait for a change; the lock is held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// wakeIfOld wakes those that wait if what is believed had grown old; the lock is
// held.
func (f *Follower) wakeIfOld(wasOld bool) {
	if wasOld {
		f.wake()
	}
}

// position is how far the catalog has come.
func (f *Follower) position() catalog.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Position()
}

// knowsTargets says whether any targets were ever known; the lock is held.
func (f *Follower) knowsTargets() bool { return f.catalog.Position().Targets > 0 }
