// Package gateway is the daemon that stands between clients and targets which
// report their load, as a library. It puts the data path (internal/gateway/forward),
// the discovery of configuration and targets (internal/gateway/discovery) and the
// connections to targets (internal/gateway/upstream) together and runs them, and with
// settings for them rollouts (internal/gateway/delivery).
//
// It owns the sockets, the start, the reload of settings and the stop. It holds
// nothing that must last: the store that a Source reads does. It relies on that
// store only to learn of changes; docs/ARCHITECTURE.md says what happens when a
// dependency fails.
//
// # Usage
//
//	settings, err := gateway.ParseSettings(raw)
//	g, err := gateway.New(settings, gateway.Options{Source: source, Decode: decode, Wire: wire})
//	err = g.Run(ctx) // until ctx ends; then requests in flight are ended first
package gateway

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/boottime"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/fatal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

// Source reads the store; see discovery.Source.
type Source = discovery.Source

// Wire says how the gateway's surroundings spell what it speaks.
type Wire struct {
	Headers headers.Names
	// ReadyPath is the path of the question whether clients may come.
	ReadyPath string
}

// Options are what a gateway takes from its process.
type Options struct {
	Source Source
	// Decode makes a table of the configuration as the store holds it.
	Decode func(body []byte) (*routing.Table, error)
	Wire   Wire
	Log    *slog.Logger
	Clock  func() time.Time
	// LogDropped counts the log lines that found no room; it may be nil.
	LogDropped func() uint64
}

// Gateway is one gateway process.
type Gateway struct {
	settings  atomic.Pointer[Settings]
	places    atomic.Pointer[locality.Map]
	options   Options
	log       *slog.Logger
	discovery *discovery.Follower
	delivery  *delivery.Delivery // nil where no rollout is ever ordered
	pool      *upstream.Pool
	answers   *upstream.MemoryBudget // for what is held of answers
	forward   *forward.Handler
	fatal     *fatal.Register   // requests that end targets
	quota     *quota.Limiter    // requests of workspaces that have limits
	signals   *signals.Registry // what targets said of themselves
	metrics   *metrics.Metrics  // nil without an address to serve them on
	stopping  atomic.Bool
	assembled atomic.Bool
	listeners listeners
}

// New puts a gateway together and opens its sockets; nothing is served yet.
func New(s Settings, o Options) (*Gateway, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	g := &Gateway{options: o, log: o.Log.With("gateway", s.ID)}
	if o.Clock == nil {
		g.options.Clock = g.bootClock()
	}
	g.put(s)
	if err := g.listeners.open(s); err != nil {
		return nil, trace.Wrap(err)
	}
	g.listenMetrics(s)
	if err := g.assemble(s); err != nil {
		g.listeners.close()
		return nil, trace.Wrap(err)
	}
	return g, nil
}

// bootClock is the clock that everything here goes by: it counts the time for which the
// machine is suspended.
func (g *Gateway) bootClock() func() time.Time {
	clock, err := boottime.New()
	if err != nil {
		g.log.Warn("suspended time is not counted", "error", err.Error())
	}
	clock.OnWake(g.woke)
	return clock.Now
}

// woke works in that the machine was suspended: requests whose time has passed are
// answered, and connections that may have been given up on meanwhile are not trusted.
func (g *Gateway) woke(slept time.Duration) {
	g.log.Warn("machine was suspended", "slept_s", slept.Seconds())
	if !g.assembled.Load() {
		return
	}
	g.pool.Close()
	g.forward.Wake()
	g.discovery.Wake()
}

func (g *Gateway) assemble(s Settings) error {
	if g.listeners.metrics != nil {
		var err error
		if g.metrics, err = metrics.New(g.state); err != nil {
			return err
		}
	}
	o := g.options
	self := member.Box{ID: s.ID, Peer: s.peerAddress(), Hall: s.Hall, Start: uint64(o.Clock().UnixNano())}
	g.fatal = fatal.New(fatal.Options{Clock: o.Clock, Log: g.log})
	g.quota = quota.New(g.quotaOptions(self, s.QuotaTolerance))
	g.signals = signals.New(signals.Options{Self: s.ID, Clock: o.Clock, Log: g.log})
	g.discovery = discovery.New(discovery.Options{
		Self: self, FirstStart: s.FirstStart, Seeds: func() []string { return g.settings.Load().Seeds },
		Source: followed(o.Source, s), Decode: g.decode, Timing: timing(s), Places: g.places.Load, Clock: o.Clock, Log: g.log, Metrics: g.metrics,
		Fatal: g.fatal, LimitsFor: g.quota.SharingLeft, ObserveLimits: g.quota.ExtendSharing, Updates: []discovery.Updates{g.quota.Updates(), g.signals.Updates()},
	})
	g.quota.OnUpdate(g.discovery.Wake)
	g.signals.OnUpdate(g.discovery.Wake)
	g.signals.OnLeaving(g.discovery.Drain)
	g.answers = upstream.NewMemoryBudget(answerRoom(s))
	g.pool = upstream.New(upstream.Options{Names: o.Wire.Headers, Clock: o.Clock, Budget: g.answers, Opened: g.metrics.Opened, Log: g.log})
	g.forward = forward.New(forward.Options{
		Names: o.Wire.Headers, Places: g.places.Load, Snapshot: g.discovery.Snapshot, Current: g.discovery.Current,
		Gateways: g.discovery.Gateways, Fatal: g.fatal, Quota: g.quota, TrustsKeys: g.trustsKeys,
		Signals: g.signals, Ready: g.discovery.Ready(), Pool: g.pool, Clock: o.Clock, Log: g.log, Metrics: g.metrics,
		Retry: forward.Retry{Window: seconds(s.RetryWindow), Ratio: s.RetryRatio},
	})
	if s.Rollout != nil {
		g.delivery = delivery.New(g.deliveryOptions(self, *s.Rollout))
	}
	g.assembled.Store(true)
	return nil
}

// quotaOptions are those of the register of limits, which is made before discovery.
func (g *Gateway) quotaOptions(self member.Box, tolerance float64) quota.Options {
	return quota.Options{
		Self:           self,
		Homes:          func(n int) []member.Box { return g.discovery.First(n) },
		Ranked:         func(n int) []peers.Sighting { return g.discovery.Ranked(n) },
		MergeSightings: func(s []peers.Sighting) { g.discovery.Sighted(s) },
		FleetSize:      func() int { return g.discovery.Gateways() }, HasLimits: g.hasLimits,
		Tolerance: tolerance, Clock: g.options.Clock, Metrics: g.metrics, Log: g.log,
	}
}

// followed is a source without what the settings say is never ordered.
func followed(source Source, s Settings) Source {
	if s.EvacuateWithin == 0 {
		source = source.WithoutEvacuations()
	}
	if s.Rollout == nil {
		source = source.WithoutRollouts()
	}
	return source
}

// decode makes a table of the configuration. Routes that name a region that the settings
// don't are in force all the same and refuse, which is logged once a version.
func (g *Gateway) decode(body []byte) (*routing.Table, error) {
	table, err := g.options.Decode(body)
	if err != nil {
		return nil, err
	}
	places := g.places.Load()
	unknown := slices.DeleteFunc(slices.Clone(table.Regions()), places.HasRegion)
	if len(unknown) > 0 {
		g.log.Warn("configuration names unknown regions", "version", table.Version(), "regions", unknown)
	}
	if directory := table.Workspaces(); directory != nil && len(directory.Conflicting()) > 0 {
		g.log.Warn("keys name nobody since several workspaces give them", "version", table.Version(), "workspaces", directory.Conflicting())
	}
	return table, nil
}

// hasLimits says whether any workspace has a limit.
func (g *Gateway) hasLimits() bool {
	table := g.discovery.Snapshot().Table()
	return table != nil && table.Workspaces().HasLimits()
}

// trustsKeys says whether keys that are believed to be in force may be relied on. Where the
// settings say so, those that a gateway has not learnt of for long count as revoked.
func (g *Gateway) trustsKeys() bool {
	s := g.settings.Load()
	return !s.RevokeUnconfirmed || g.discovery.Age() <= seconds(s.RevokeWithin)
}

// state is what the metrics show of this moment.
func (g *Gateway) state() metrics.State {
	state := metrics.State{
		Active: g.forward.Active(), ConfigAge: g.discovery.Age().Seconds(), EvacuatedHalls: g.discovery.EvacuatedHalls(),
		AnswerBytes: g.answers.Held(), Quarantined: g.fatal.Quarantined(), LimitedTargets: g.quota.LimitedTargets(),
		CrossRegionServices: g.forward.FarServices(), RoundTrips: g.forward.Trips(),
		BackingOff: len(g.signals.BackOffs()), Leaving: g.discovery.Snapshot().Leaving(),
	}
	if table := g.discovery.Snapshot().Table(); table != nil {
		state.ConfigVersion = table.Version()
	}
	if g.options.LogDropped != nil {
		state.LogDropped = g.options.LogDropped()
	}
	state.Rollouts = g.rollouts()
	return state
}

// put puts those settings in force that may change while the gateway runs.
func (g *Gateway) put(s Settings) {
	g.settings.Store(&s)
	g.places.Store(s.places())
}

// Reload puts new settings in force. Addresses and names stay as they were at
// the start.
func (g *Gateway) Reload(s Settings) {
	g.put(s)
	g.answers.SetLimit(answerRoom(s))
	g.log.Info("settings reloaded", "seeds", s.Seeds)
}
