// Package discovery keeps what a gateway believes of the configuration, of the targets,
// of the halls that are evacuated and of the rollouts up to date (service discovery). One
// gateway reads the store; the others learn of updates from each other. Each keeps
// exchanging with a few others, drawn at random, and both sides of such a link say how far
// they are; whoever is behind asks for what it lacks, of one of those that have it. A
// gateway that learns nothing in time reads for itself, so that nobody's knowledge depends
// on the others.
//
// It owns the catalog of the process (core/gateway/catalog), the view of the other
// gateways (core/gateway/peers), their freshness (core/gateway/freshness) and the tries
// to read that it has learnt of (core/gateway/reader), under one lock, and publishes a
// snapshot for the data path at each change. It relies on the store by a Source and on
// other gateways by net/rpc; without either it goes on with what it knows. Who reads is
// decided by core/gateway/reader, with whom to exchange by core/gateway/peers.
//
// The jobs, each with a file and, where it waits, a goroutine of its own:
//
//	read.go       the loop of a watch: whether to call the store, and how to go on
//	calls.go      the calls, and how their answers get into the catalog
//	role.go       who reads: this gateway's rank, and taking up or laying down the reading
//	start.go      a stale read of the store by a gateway that knows nothing
//	ping.go       confirming, between the answers of a watch, that the store is there
//	neighbour.go  the few gateways to exchange with: asking, telling
//	draw.go       drawing these; region.go: what is different between regions
//	exchange.go   working in what another gateway says
//	fetch.go      asking for what is missing here, once
//	heal.go       finding gateways again that were cut off
//	serve.go      answering other gateways
//	links.go      connections to them; protocol.go: what gateways say to each other
//	publish.go    the snapshot of the data path, and the log lines of changes
//	rewind.go     a store that comes back from an older copy
//	assign.go     which targets the snapshot leaves to the versions on trial
//	updates.go    what gateways exchange beside the catalog; changelog.go: a list of such changes
//	announce.go   updates that come one after the other leave together
//	saved.go      what is saved in the store of requests that end targets
//	rollout.go    what is reported of rollouts to whom decides on them
//
// # Usage
//
//	f := discovery.New(discovery.Options{Self: self, Source: source, Decode: decode, ...})
//	for _, duty := range f.Duties() {
//		group.Add(func() error { return duty(ctx) }, ...)
//	}
//	believed := f.Snapshot()
package discovery

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/core/gateway/rollout"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/gateway/snapshot"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/fatal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
)

// Timing holds the times of a Follower; gateway.timing derives them from the
// settings.
type Timing struct {
	// SilentAfter is how old knowledge may be: the gateways next in rank read the
	// store then, and others no longer turn to whoever has such knowledge.
	SilentAfter time.Duration
	// AloneAfter is how old the knowledge of any other gateway may be before it
	// may read the store itself, and LastAfter the age by which it does.
	AloneAfter time.Duration
	LastAfter  time.Duration
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
	// Seeds gives peer addresses of some gateways; they may be out of date. It may be
	// nil.
	Seeds  func() []string
	Source Source
	Decode func(body []byte) (*routing.Table, error)
	Timing Timing
	Clock  func() time.Time
	// TimeOfDay is what other lives of gateways can compare with; nil for time.Now.
	TimeOfDay func() time.Time
	// Places says how far halls are. It may be nil for a fleet of one region.
	Places func() *locality.Map
	// Fatal is what is known of requests that end targets, which gateways exchange;
	// nil where nobody notes any here.
	Fatal *fatal.Register
	// LimitsFor is for how much longer gateways share limits that targets name, which they
	// send each other, and ObserveLimits takes in what another one says; nil where nobody does here.
	LimitsFor     func() time.Duration
	ObserveLimits func(left time.Duration)
	// Updates are what gateways exchange besides, in the order in which versions began to.
	Updates []Updates
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// Draw gives a uniform number in [0, 1).
	Draw func() float64
}

// Follower holds what is believed and how fresh it is.
type Follower struct {
	options Options
	started time.Time

	mu      sync.Mutex
	changed chan struct{} // closed and renewed at each change
	catalog *catalog.Catalog
	table   *routing.Table
	fresh   *freshness.Tracker
	// versions holds which versions of each service were met in service or on trial.
	versions *rollout.Versions
	// withheld says that targets of some version wait for orders to be known.
	withheld bool
	view     *peers.View
	tries    reader.Tries
	// packedConfig and packedTargets are the catalog's as sent to others.
	packedConfig  packedConfig
	packedTargets packedTargets
	// neighbours are the ids of the gateways that have a place, "" for none.
	neighbours [neighbours]string
	// nextSeed counts the seeds that were tried.
	nextSeed int
	// met is when the first other gateway was found; zero before.
	met time.Time
	// offered is when another gateway last said that it knows more.
	offered time.Time
	// reads says whether the reading of the store falls to this gateway, and draw is
	// the random number by which it does.
	reads bool
	draw  float64
	// tried is this gateway's latest try to read the store on behalf of others.
	tried reader.Try
	// rereads are when all must be read again since the store came back older.
	rereads rereads
	// saved is what the store holds of requests that end targets.
	saved saved
	// asked is when another gateway last asked this one for updates.
	asked time.Time

	// Offers wait to be taken up: offers those of gateways of the own region,
	// otherRegionOffers those of others.
	offers, otherRegionOffers chan offer
	// announced is how far each kind of update is announced, and unannounced has a place for
	// the wish to announce more.
	announced   []announced
	unannounced chan struct{}
	links       *links
	// wholes bounds how often all that is known is sent.
	wholes *rate.Limiter

	believed atomic.Pointer[snapshot.Snapshot]
	ready    chan struct{}
	once     sync.Once
}

// New makes a follower that knows nothing.
func New(o Options) *Follower {
	o = o.withDefaults()
	f := &Follower{
		options: o, started: o.Clock(), catalog: catalog.New(), versions: rollout.NewVersions(), fresh: freshness.New(o.Timing.freshness(), peers.RanksBefore),
		view: peers.New(o.Self, func(n int) int { return int(o.Draw() * float64(n)) }), draw: o.Draw(),
		changed: make(chan struct{}), ready: make(chan struct{}), offers: make(chan offer, keptOffers), otherRegionOffers: make(chan offer, keptOffers),
		announced: make([]announced, len(o.Updates)), unannounced: make(chan struct{}, 1),
		links: newLinks(o.Dial, o.Clock), wholes: rate.NewLimiter(rate.Every(wholeEvery), wholesAtOnce),
	}
	f.nextSeed = int(o.Draw() * float64(len(o.Seeds())))
	f.view.SetTiers(f.tier)
	o.Fatal.OnUpdate(f.Wake)
	if o.Source.followsEvacuations() {
		f.fresh.FollowEvacuations()
	}
	if o.Source.followsRollouts() {
		f.fresh.FollowRollouts()
	}
	f.believed.Store(snapshot.New(nil, nil))
	return f
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.TimeOfDay == nil {
		o.TimeOfDay = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Fatal == nil {
		o.Fatal = fatal.New(fatal.Options{Clock: o.Clock, Log: o.Log})
	}
	if o.LimitsFor == nil {
		o.LimitsFor, o.ObserveLimits = func() time.Duration { return 0 }, func(time.Duration) {}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.Places == nil {
		places := locality.New(o.Self.Hall, "", nil)
		o.Places = func() *locality.Map { return places }
	}
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	return o
}

// Duties are what a gateway does to stay up to date, each until its context ends.
func (f *Follower) Duties() []func(context.Context) error {
	duties := []func(context.Context) error{f.start, f.readConfig, f.readTargets, f.ping, f.fetchOwnRegion, f.fetchOtherRegions, f.heal, f.links.closeIdle, f.announce}
	if f.options.Source.followsEvacuations() {
		duties = append(duties, f.readEvacuations)
	}
	if f.options.Source.followsRollouts() {
		duties = append(duties, f.readRollouts)
	}
	if f.options.Source.Saved != nil {
		duties = append(duties, f.readSaved, f.save)
	}
	for place := range neighbours {
		duties = append(duties, func(ctx context.Context) error { return f.follow(ctx, place) })
	}
	return duties
}

// Snapshot is what is believed now.
func (f *Follower) Snapshot() *snapshot.Snapshot { return f.believed.Load() }

// Ready is closed once a configuration and the targets are known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// SetLeaving notifies the other gateways that this one stops.
func (f *Follower) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetLeaving()
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

// Wake has everything that waits look anew: it should be called when the machine was
// suspended, which the timers don't count.
func (f *Follower) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
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

// knows says whether a configuration, the targets, and what else is followed are known;
// the lock is held.
func (f *Follower) knows() bool {
	position := f.catalog.Position()
	return position.ConfigRevision > 0 && position.Targets > 0 && f.canConfirm(position)
}

// knowsTargets says whether any targets were ever known; the lock is held.
func (f *Follower) knowsTargets() bool { return f.catalog.Position().Targets > 0 }
