// Package discovery keeps what a gateway believes of the configuration and of the
// targets up to date. A few gateways read the store; all others hear the news
// from those, through one gateway of their hall. A gateway that hears nothing
// in time reads for itself, so that nobody's knowledge depends on the others.
//
// Nothing is agreed: each gateway ranks those it has heard from by rendezvous
// hashing and takes up the duties that fall to it by its own view.
//
// # Usage
//
//	f := feed.New(feed.Options{Self: self, Source: source, Decode: decode, ...})
//	group.Add(f.Follow, ...); group.Add(f.ReadConfig, ...); group.Add(f.ReadTargets, ...)
//	view := f.View()
package discovery

import (
	"context"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/telemetry"
)

// ConfigObject is the configuration as the store holds it.
type ConfigObject struct {
	Version uint64
	Body    []byte
}

// TargetList is all targets at a revision of the store.
type TargetList struct {
	Revision uint64
	Targets  []catalog.Target
}

// TargetChanges is what happened to targets up to a revision.
type TargetChanges struct {
	Revision uint64
	Changes  []catalog.Change
}

// ConfigChanges is what happened to the configuration up to a revision.
type ConfigChanges struct {
	Revision uint64
	// Latest is nil when nothing changed, or when there is none yet.
	Latest *ConfigObject
}

// Source reads the store. A watch that asks for a forgotten history fails with
// store.ErrGone.
type Source struct {
	Config       func(ctx context.Context) (ConfigChanges, error)
	WatchConfig  func(ctx context.Context, from uint64, wait time.Duration) (ConfigChanges, error)
	Targets      func(ctx context.Context) (TargetList, error)
	WatchTargets func(ctx context.Context, from uint64, wait time.Duration) (TargetChanges, error)
	// Ping shows that the store can be reached, by the cheapest call there is.
	Ping func(ctx context.Context) error
}

// Timing holds the follower's times; see the settings for how they are derived.
type Timing struct {
	// SilentAfter is how old news may be: the gateways next in rank read the
	// store then, and others are no longer told by whoever has such news.
	SilentAfter time.Duration
	// AloneAfter is how old the news of any other gateway may be before it reads
	// the store itself.
	AloneAfter time.Duration
	// Ping is the pause between two pings of the store by a gateway whose watches
	// others rely on.
	Ping time.Duration
	// Poll is how long one question to another gateway waits for news.
	Poll time.Duration
	// PollSlack is how much later than Poll the answer may come.
	PollSlack time.Duration
	// Watch is how long one watch of the store waits for changes.
	Watch time.Duration
	// Batch is the pause after news from the store, in which more may gather.
	Batch time.Duration
	// AloneBatch is that pause where no other gateway asks for the news.
	AloneBatch time.Duration
	// OutageAfter is how long nothing can be confirmed before entries of targets
	// may have lapsed in the store, and Restore how soon after its return those
	// of targets that live are there again.
	OutageAfter time.Duration
	Restore     time.Duration
	// WatchSlack is how much later than Watch its answer may come.
	WatchSlack time.Duration
}

// Options configure a Follower.
type Options struct {
	Self member.Box
	// FirstStart says that all gateways are starting for the first time, so that
	// none is serving yet and each can wait for what the readers find.
	FirstStart bool
	Seeds      func() []string
	Source     Source
	Decode     func(body []byte) (*routing.Table, error)
	Timing     Timing
	Clock      func() time.Time
	// Metrics may be nil.
	Metrics *telemetry.Gateway
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
}

// Follower holds what is believed and how fresh it is.
type Follower struct {
	options Options
	started time.Time

	mu      sync.Mutex
	catalog *catalog.Catalog
	members *member.View
	table   *routing.Table
	changed chan struct{} // closed and renewed at each change
	// confirmed is the latest moment at which, by own calls or word of other
	// gateways, what is believed here was all that the store held.
	confirmed time.Time
	// origin is the id of the gateway whose reading confirmed it then.
	origin string
	// outranked is the latest such moment by the reading of a gateway that ranks
	// before this one.
	outranked time.Time
	config    reading
	packed    packed
	targets   reading
	// told is the address of the gateway that fresh news came from, lostPeers those
	// that did not answer and have not been heard since, and reads says whether
	// the store is read; all three are kept to log changes.
	told      string
	lostPeers map[string]bool
	reads     bool
	// triedFirst is when the first in rank of the readers was last asked.
	triedFirst time.Time
	// asked is when another gateway last asked this one for news.
	asked time.Time
	// returned is when the store first answered after its latest outage.
	returned time.Time

	view  atomic.Pointer[snapshot.Snapshot]
	ready chan struct{}
	once  sync.Once
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
		options: o, started: o.Clock(), catalog: catalog.New(), members: member.New(o.Self),
		changed: make(chan struct{}), ready: make(chan struct{}), lostPeers: map[string]bool{},
	}
	f.view.Store(snapshot.New(nil, nil))
	return f
}

// Snapshot is what is believed now.
func (f *Follower) Snapshot() *snapshot.Snapshot { return f.view.Load() }

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
// own watches would tell of a change.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	return f.live(now) || f.readsItself(now)
}

// Age is how long ago what is believed was confirmed.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age(f.options.Clock())
}

// live says whether what is believed was confirmed lately.
func (f *Follower) live(now time.Time) bool {
	return f.age(now) < f.options.Timing.SilentAfter
}

// age is how long ago what is believed was confirmed.
func (f *Follower) age(now time.Time) time.Duration {
	if f.confirmed.IsZero() {
		return neverConfirmed
	}
	return now.Sub(f.confirmed)
}

// loggedAge is the age in seconds for a log line, -1 where nothing was confirmed;
// the lock is held.
func (f *Follower) loggedAge() float64 {
	if f.confirmed.IsZero() {
		return -1
	}
	return f.age(f.options.Clock()).Seconds()
}

// neverConfirmed is the age of what no gateway has confirmed yet.
const neverConfirmed = time.Duration(math.MaxInt64)

// readsItself says whether this gateway's own watches are in order.
func (f *Follower) readsItself(now time.Time) bool {
	return f.config.live(now, f.options.Timing) && f.targets.live(now, f.options.Timing)
}

// Reads says whether this gateway's own watches are in order.
func (f *Follower) Reads() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsItself(f.options.Clock())
}

// wake tells those that wait for news; the lock is held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// apply works a change in under the lock and publishes what came of it.
func (f *Follower) apply(from string, change func(c *catalog.Catalog) (config, targets bool)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.catalog.Position()
	config, targets := change(f.catalog)
	if config {
		f.decode(from)
	}
	if config || targets {
		f.publish(from)
	}
	if f.catalog.Position() != before {
		f.wake()
	}
}

// decode puts the catalog's configuration in force.
func (f *Follower) decode(from string) {
	table, err := f.options.Decode(f.catalog.Config())
	if err != nil {
		f.options.Log.Error("configuration not understood; the one before stays in force", "version", f.catalog.Position().Config, "error", err.Error())
		return
	}
	f.table = table
	f.options.Log.Info("configuration in force", "version", table.Version(), "from", from)
}

// publish makes the view that the data path uses.
func (f *Follower) publish(from string) {
	before := f.view.Load().ByService()
	targets := map[string][]catalog.Target{}
	for _, t := range f.catalog.Targets() {
		if !t.Leaving {
			targets[t.Service] = append(targets[t.Service], t)
		}
	}
	f.view.Store(snapshot.New(f.table, targets))
	f.logTargets(from, before, targets)
	if f.table != nil && f.catalog.Position().Targets > 0 {
		f.once.Do(func() { close(f.ready) })
	}
}

// logTargets writes which targets take requests now that did not before, and
// which no longer do.
func (f *Follower) logTargets(from string, before, now map[string][]catalog.Target) {
	in, out := lacking(before, now), lacking(now, before)
	if len(in)+len(out) == 0 {
		return
	}
	f.options.Log.Info("targets changed", "in", in, "out", out, "revision", f.catalog.Position().Targets, "from", from)
}

// lacking lists the ids of the targets in all that some lacks.
func lacking(some, all map[string][]catalog.Target) []string {
	var ids []string
	for service, targets := range all {
		for _, s := range targets {
			if !slices.ContainsFunc(some[service], func(other catalog.Target) bool { return other.ID == s.ID }) {
				ids = append(ids, s.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}
