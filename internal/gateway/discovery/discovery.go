// Package discovery keeps a gateway's view of the configuration, the targets, the evacuated
// halls and the rollouts up to date (service discovery). One gateway reads the store; the
// others receive updates from each other. Each gateway keeps exchanging state with a few
// neighbours, drawn at random. Both sides of such a link advertise their positions, and the
// one that is behind requests what it lacks from one gateway that has it. A gateway that
// receives no updates in time reads the store itself, so that no gateway depends on the
// others to stay up to date.
//
// The package owns the catalog of the process (core/gateway/catalog), the view of the other
// gateways (core/gateway/peers), the freshness of the state (core/gateway/freshness) and
// the known attempts to read the store (core/gateway/reader), under one lock. It publishes
// a snapshot for the data path at each change. It reaches the store through a Source and
// the other gateways through net/rpc; without either, it continues with the last known
// state. core/gateway/reader decides which gateway reads, core/gateway/peers with which
// gateways to exchange.
//
// The tasks, each in a file of its own and, where it waits, in a goroutine of its own:
//
//	read.go       the loop of a watch: whether to call the store, and when to call again
//	calls.go      the calls, and how their responses are applied to the catalog
//	role.go       whether this gateway is a reader, by its rank
//	start.go      a stale read of the store by a gateway without any state
//	ping.go       pings that confirm between two responses of a watch that the store is reachable
//	neighbour.go  the neighbours: polling them and pushing updates to them
//	draw.go       how neighbours are drawn; region.go: what differs between regions
//	exchange.go   applying the replies of other gateways
//	fetch.go      requesting missing state from one gateway
//	heal.go       reconnecting to gateways after a partition
//	serve.go      answering other gateways
//	links.go      connections to other gateways; protocol.go: the messages
//	publish.go    the snapshot for the data path, and the log lines of changes
//	rewind.go     a store that was restored from an older copy
//	assign.go     which targets the snapshot leaves to the versions on trial
//	updates.go    what gateways exchange beside the catalog; changelog.go: a log of such changes
//	announce.go   batching of updates that follow each other closely
//	saved.go      the quarantined requests that are saved in the store
//	rollout.go    what the decider of rollouts needs to know
//
// # Usage
//
//	f := discovery.New(discovery.Options{Self: self, Source: source, Decode: decode, ...})
//	for _, task := range f.Tasks() {
//		group.Add(func() error { return task(ctx) }, ...)
//	}
//	snapshot := f.Snapshot()
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

// Timing holds the intervals and timeouts of a Follower; gateway.timing derives them from
// the settings.
type Timing struct {
	// StaleAfter is the age at which state is stale: the standbys read the store then, and
	// gateways no longer rely on a peer whose state is that old.
	StaleAfter time.Duration
	// MayReadAfter is the age of its state from which any other gateway may read the store
	// itself, and MustReadAfter the age by which it does.
	MayReadAfter  time.Duration
	MustReadAfter time.Duration
	// PingInterval is the pause between two pings of the store by a gateway whose watches
	// others rely on.
	PingInterval time.Duration
	// PollWait is how long one poll of another gateway waits for updates.
	PollWait time.Duration
	// PollSlack is how much later than PollWait the reply may arrive.
	PollSlack time.Duration
	// WatchWait is how long one watch of the store waits for changes.
	WatchWait time.Duration
	// WatchSlack is how much later than WatchWait its response may arrive.
	WatchSlack time.Duration
	// BatchDelay is the pause after an update from the store, so that more may accumulate.
	BatchDelay time.Duration
	// SoloBatchDelay is that pause while no other gateway polls this one for updates.
	SoloBatchDelay time.Duration
	// OutageAfter is how long nothing can be confirmed before entries of targets may have
	// expired in the store. RestoreWithin is how soon after the store's return the entries
	// of running targets have been written again.
	OutageAfter   time.Duration
	RestoreWithin time.Duration
}

func (t Timing) freshness() freshness.Timing {
	return freshness.Timing{Fresh: t.StaleAfter, Watch: t.WatchWait, WatchSlack: t.WatchSlack, Outage: t.OutageAfter}
}

// Options configures a Follower.
type Options struct {
	Self member.Box
	// FirstStart says that the whole fleet starts for the first time: no gateway is serving
	// yet, so each can wait for the state that the readers obtain.
	FirstStart bool
	// Seeds returns addresses of some gateways, which may be out of date. It may be nil.
	Seeds  func() []string
	Source Source
	Decode func(body []byte) (*routing.Table, error)
	Timing Timing
	Clock  func() time.Time
	// WallClock returns a time that other incarnations of gateways can compare with theirs;
	// nil for time.Now.
	WallClock func() time.Time
	// Locality returns the tiers of halls by distance; nil for a fleet of one region.
	Locality func() *locality.Map
	// Fatal records the requests that terminate targets, which gateways exchange; nil if
	// nothing here records any.
	Fatal *fatal.Register
	// SharingLeft returns for how much longer gateways share the limits that targets
	// advertise; gateways send each other this time. ExtendSharing receives what another
	// gateway sent. Both are nil where limits are not shared.
	SharingLeft   func() time.Duration
	ExtendSharing func(left time.Duration)
	// UpdateKinds are the kinds of updates that gateways exchange beside the catalog, in
	// the order in which versions of the gateway introduced them.
	UpdateKinds []UpdateKind
	// Metrics may be nil.
	Metrics *metrics.Metrics
	Log     *slog.Logger
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	// Random returns a uniform random number in [0, 1).
	Random func() float64
}

// Follower holds the known state and its freshness.
type Follower struct {
	options Options
	started time.Time

	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	catalog *catalog.Catalog
	table   *routing.Table
	fresh   *freshness.Tracker
	// versions holds which versions of each service have been seen in service or on trial.
	versions *rollout.Versions
	// withheld says that targets of some version are unused until the rollouts are known.
	withheld bool
	view     *peers.View
	tries    reader.Tries
	// packedConfig and packedTargets cache compressed parts of the catalog for sending.
	packedConfig  packedConfig
	packedTargets packedTargets
	// neighbourIDs are the ids of the neighbours by slot, "" for an empty slot.
	neighbourIDs [neighbourCount]string
	// seedIndex counts the seeds that were tried.
	seedIndex int
	// firstPeerAt is when the first other gateway was found; zero before.
	firstPeerAt time.Time
	// lastOfferAt is when another gateway last advertised a later position.
	lastOfferAt time.Time
	// isReader says whether this gateway has to read the store, and readerDraw is the
	// random number that enters into this decision.
	isReader   bool
	readerDraw float64
	// ownTry is this gateway's latest attempt to read the store on behalf of others.
	ownTry reader.Try
	// rereads holds when each kind must be read in full again after a restore of the store.
	rereads rereads
	// saved is the object in the store that holds the quarantined requests.
	saved saved
	// lastAskedAt is when another gateway last polled this one for updates.
	lastAskedAt time.Time

	// offers and otherRegionOffers queue the offers of gateways of the own region and of
	// other regions until they are fetched.
	offers, otherRegionOffers chan offer
	// announced is the announced position of each kind of update; announceRequests holds at
	// most one request to announce later ones.
	announced        []announced
	announceRequests chan struct{}
	links            *links
	// fullDeltas limits how often the full catalog is sent.
	fullDeltas *rate.Limiter

	published atomic.Pointer[snapshot.Snapshot]
	ready     chan struct{}
	readyOnce sync.Once
}

// New creates a Follower without any state.
func New(o Options) *Follower {
	o = o.withDefaults()
	f := &Follower{
		options: o, started: o.Clock(), catalog: catalog.New(), versions: rollout.NewVersions(), fresh: freshness.New(o.Timing.freshness(), peers.RanksBefore),
		view: peers.New(o.Self, func(n int) int { return int(o.Random() * float64(n)) }), readerDraw: o.Random(),
		changed: make(chan struct{}), ready: make(chan struct{}), offers: make(chan offer, offerQueueSize), otherRegionOffers: make(chan offer, offerQueueSize),
		announced: make([]announced, len(o.UpdateKinds)), announceRequests: make(chan struct{}, 1),
		links: newLinks(o.Dial, o.Clock), fullDeltas: rate.NewLimiter(rate.Every(fullDeltaInterval), fullDeltaBurst),
	}
	f.seedIndex = int(o.Random() * float64(len(o.Seeds())))
	f.view.SetTiers(f.tier)
	o.Fatal.OnUpdate(f.Wake)
	if o.Source.followsEvacuations() {
		f.fresh.FollowEvacuations()
	}
	if o.Source.followsRollouts() {
		f.fresh.FollowRollouts()
	}
	f.published.Store(snapshot.New(nil, nil))
	return f
}

// withDefaults replaces missing options by their defaults.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Fatal == nil {
		o.Fatal = fatal.New(fatal.Options{Clock: o.Clock, Log: o.Log})
	}
	if o.SharingLeft == nil {
		o.SharingLeft, o.ExtendSharing = func() time.Duration { return 0 }, func(time.Duration) {}
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.Seeds == nil {
		o.Seeds = func() []string { return nil }
	}
	if o.Locality == nil {
		tiers := locality.New(o.Self.Hall, "", nil)
		o.Locality = func() *locality.Map { return tiers }
	}
	if o.Random == nil {
		o.Random = rand.Float64
	}
	return o
}

// Tasks returns the background tasks that keep a gateway up to date; each runs until its
// context ends.
func (f *Follower) Tasks() []func(context.Context) error {
	tasks := []func(context.Context) error{f.bootstrap, f.readConfig, f.readTargets, f.ping, f.fetchOwnRegion, f.fetchOtherRegions, f.heal, f.links.closeIdle, f.announce}
	if f.options.Source.followsEvacuations() {
		tasks = append(tasks, f.readEvacuations)
	}
	if f.options.Source.followsRollouts() {
		tasks = append(tasks, f.readRollouts)
	}
	if f.options.Source.Saved != nil {
		tasks = append(tasks, f.readSaved, f.save)
	}
	for slot := range neighbourCount {
		tasks = append(tasks, func(ctx context.Context) error { return f.exchangeWithNeighbours(ctx, slot) })
	}
	return tasks
}

// Snapshot returns the known state for the data path.
func (f *Follower) Snapshot() *snapshot.Snapshot { return f.published.Load() }

// Ready returns a channel that is closed once a configuration and the targets are known.
func (f *Follower) Ready() <-chan struct{} { return f.ready }

// SetLeaving notifies the other gateways that this one is stopping.
func (f *Follower) SetLeaving() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.SetLeaving()
	f.wake()
}

// Current reports whether the known state was confirmed recently, or this gateway's own
// watches would report a change.
func (f *Follower) Current() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	return f.fresh.Fresh(now) || f.fresh.WatchesLive(now)
}

// Age returns the time since the known state was last confirmed; freshness.Never if it
// never was.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Age(f.options.Clock())
}

// ReadsStore reports whether this gateway's own watches of the store are working.
func (f *Follower) ReadsStore() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.WatchesLive(f.options.Clock())
}

// Wake makes all waiting tasks check the state again. It should be called after the machine
// was suspended, since timers don't count that time.
func (f *Follower) Wake() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
}

// wake wakes the tasks that wait for a change; the lock is held.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// wakeIfStale wakes the waiting tasks if the known state was stale; the lock is held.
func (f *Follower) wakeIfStale(wasOld bool) {
	if wasOld {
		f.wake()
	}
}

// position returns the position of the catalog.
func (f *Follower) position() catalog.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Position()
}

// isInitialized reports whether a configuration, the targets, and what else is followed are
// known; the lock is held.
func (f *Follower) isInitialized() bool {
	position := f.catalog.Position()
	return position.ConfigRevision > 0 && position.Targets > 0 && f.canConfirm(position)
}

// knowsTargets reports whether a list of targets was ever received; the lock is held.
func (f *Follower) knowsTargets() bool { return f.catalog.Position().Targets > 0 }
