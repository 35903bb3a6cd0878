// Package gateway is the gateway daemon as a library: it forwards requests from clients
// to targets that report their load. It assembles and runs the data path
// (internal/gateway/forward), the discovery of configuration and targets
// (internal/gateway/discovery), the connections to targets (internal/gateway/upstream)
// and, if the settings configure them, rollouts (internal/gateway/delivery).
//
// It owns the sockets, the startup, the reload of settings and the shutdown. It holds
// no durable state: that is in the store that a Source reads. It depends on that store
// only to learn of changes; docs/ARCHITECTURE.md describes what happens when a
// dependency fails.
//
// # Usage
//
//	settings, err := gateway.ParseSettings(raw)
//	g, err := gateway.New(settings, gateway.Options{Source: source, Decode: decode, Wire: wire})
//	err = g.Run(ctx) // until ctx is cancelled; requests in flight are completed first
package gateway

import (
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/sprucecrank/sprucecrank/core/gateway/locality"
	"github.com/sprucecrank/sprucecrank/core/gateway/memory"
	"github.com/sprucecrank/sprucecrank/core/gateway/peers"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/boottime"
	"github.com/sprucecrank/sprucecrank/internal/gateway/delivery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/fatal"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/membudget"
	"github.com/sprucecrank/sprucecrank/internal/gateway/metrics"
	"github.com/sprucecrank/sprucecrank/internal/gateway/quota"
	"github.com/sprucecrank/sprucecrank/internal/gateway/signals"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
)

// Source reads the store; see discovery.Source.
type Source = discovery.Source

// Wire holds the names that the gateway uses on the wire, which depend on the deployment.
type Wire struct {
	Headers headers.Names
	// ReadyPath is the path of the readiness check.
	ReadyPath string
}

// Options are the dependencies that the process provides to a gateway.
type Options struct {
	Source Source
	// Decode builds a routing table from the configuration as the store holds it.
	Decode func(body []byte) (*routing.Table, error)
	Wire   Wire
	Log    *slog.Logger
	Clock  func() time.Time
	// LogDropped returns the number of log lines that were dropped because the buffer was
	// full; it may be nil.
	LogDropped func() uint64
}

// Gateway is one gateway process.
type Gateway struct {
	settings    atomic.Pointer[Settings]
	localityMap atomic.Pointer[locality.Map]
	options     Options
	log         *slog.Logger
	discovery   *discovery.Follower
	delivery    *delivery.Delivery // nil if the settings configure no rollouts
	pool        *upstream.Pool
	relayPool   *upstream.Pool    // connections to gateways that serve requests for this one
	memory      *membudget.Budget // bounds what is held in memory for callers
	forward     *forward.Handler
	fatal       *fatal.Register   // requests during which targets ended
	quota       *quota.Limiter    // requests of workspaces that have limits
	signals     *signals.Registry // state that targets advertised
	metrics     *metrics.Metrics  // nil if the settings name no address for them
	stopping    atomic.Bool
	assembled   atomic.Bool
	listeners   listeners
}

// New assembles a gateway and opens its sockets; it does not serve requests yet.
func New(s Settings, o Options) (*Gateway, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	g := &Gateway{options: o, log: o.Log.With("gateway", s.ID)}
	if o.Clock == nil {
		g.options.Clock = g.bootClock()
	}
	g.storeSettings(s)
	if err := g.listeners.open(s); err != nil {
		return nil, trace.Wrap(err)
	}
	g.listenMetrics(s)
	g.listenRelay(s)
	if err := g.assemble(s); err != nil {
		g.listeners.close()
		return nil, trace.Wrap(err)
	}
	return g, nil
}

// bootClock returns the clock that all parts of the gateway use. It counts the time for
// which the machine is suspended.
func (g *Gateway) bootClock() func() time.Time {
	clock, err := boottime.New()
	if err != nil {
		// The clock is usable, but stops while the machine is suspended.
		g.log.Warn("suspended time is not counted", "error", err.Error())
	}
	clock.OnResume(g.onResume)
	return clock.Now
}

// onResume handles a suspension of the machine: requests whose deadline has passed are
// answered, and pooled connections are closed, since the other end may have abandoned
// them meanwhile.
func (g *Gateway) onResume(suspended time.Duration) {
	g.log.Warn("machine was suspended", "slept_s", suspended.Seconds())
	if !g.assembled.Load() {
		return
	}
	g.pool.Close()
	g.relayPool.Close()
	g.forward.Wake()
	g.discovery.Wake()
}

func (g *Gateway) assemble(s Settings) error {
	if g.listeners.metrics != nil {
		var err error
		if g.metrics, err = metrics.New(g.metricsState); err != nil {
			return err
		}
	}
	o := g.options
	self := member.Box{ID: s.ID, Peer: s.peerAddress(), Hall: s.Hall, Start: uint64(o.Clock().UnixNano())}
	if g.listeners.relay != nil {
		self.Relay = g.listeners.relay.Addr().String()
	}
	g.fatal = fatal.New(fatal.Options{Clock: o.Clock, Log: g.log})
	g.quota = quota.New(g.quotaOptions(self, s.QuotaTolerance))
	g.signals = signals.New(signals.Options{Self: s.ID, Clock: o.Clock, Log: g.log})
	g.discovery = discovery.New(discovery.Options{
		Self: self, FirstStart: s.FirstStart, Seeds: func() []string { return g.settings.Load().Seeds },
		Source: withoutUnusedReads(o.Source, s), Decode: g.decode, Timing: timing(s), Locality: g.localityMap.Load, Clock: o.Clock, Log: g.log, Metrics: g.metrics,
		Fatal: g.fatal, SharingLeft: g.quota.SharingLeft, ExtendSharing: g.quota.ExtendSharing, UpdateKinds: []discovery.UpdateKind{g.quota.Updates(), g.signals.Updates()},
	})
	g.quota.OnUpdate(g.discovery.Wake)
	g.signals.OnUpdate(g.discovery.Wake)
	g.signals.OnLeaving(g.discovery.Drain)
	g.memory = membudget.New(membudget.Options{Limits: memoryLimits(s), Clock: o.Clock})
	g.pool = upstream.New(upstream.Options{Names: o.Wire.Headers, Clock: o.Clock, Budget: g.memory, Opened: g.metrics.Opened, Log: g.log})
	g.relayPool = upstream.New(upstream.Options{Names: o.Wire.Headers, Clock: o.Clock, Budget: g.memory, Log: g.log})
	g.forward = forward.New(forward.Options{
		Names: o.Wire.Headers, Places: g.localityMap.Load, Snapshot: g.discovery.Snapshot, Current: g.discovery.Current,
		Gateways: g.discovery.GatewayCount, Fatal: g.fatal, Quota: g.quota, TrustsKeys: g.trustsKeys,
		Signals: g.signals, Ready: g.discovery.Ready(), Pool: g.pool, Clock: o.Clock, Log: g.log, Metrics: g.metrics, UsualBodyTime: g.memory.UsualBodyTime,
		Retry: forward.Retry{Ratio: s.RetryRatio},
		Relay: forward.Relay{Self: s.ID, Gateways: g.discovery.Relays, Pool: g.relayPool},
	})
	if s.Rollout != nil {
		g.delivery = delivery.New(g.deliveryOptions(self, *s.Rollout))
	}
	g.assembled.Store(true)
	return nil
}

// quotaOptions returns the options of the quota limiter. The limiter is created before
// discovery, so that the options refer to discovery in closures.
func (g *Gateway) quotaOptions(self member.Box, tolerance float64) quota.Options {
	return quota.Options{
		Self:           self,
		Homes:          func(n int) []member.Box { return g.discovery.TopRanked(n) },
		Ranked:         func(n int) []peers.Sighting { return g.discovery.TopRankedSightings(n) },
		MergeSightings: func(s []peers.Sighting) { g.discovery.MergeSightings(s) },
		FleetSize:      func() int { return g.discovery.GatewayCount() }, HasLimits: g.hasLimits,
		Tolerance: tolerance, Clock: g.options.Clock, Metrics: g.metrics, Log: g.log,
	}
}

// withoutUnusedReads returns source without evacuations and rollouts where the settings do
// not configure them.
func withoutUnusedReads(source Source, s Settings) Source {
	if s.EvacuateWithin == 0 {
		source = source.WithoutEvacuations()
	}
	if s.Rollout == nil {
		source = source.WithoutRollouts()
	}
	return source
}

// decode builds a routing table from the configuration. Routes that name a region that is
// missing from the settings are in force nevertheless and refuse requests, which is logged
// once a version.
func (g *Gateway) decode(body []byte) (*routing.Table, error) {
	table, err := g.options.Decode(body)
	if err != nil {
		return nil, err
	}
	halls := g.localityMap.Load()
	unknown := slices.DeleteFunc(slices.Clone(table.Regions()), halls.HasRegion)
	if len(unknown) > 0 {
		g.log.Warn("configuration names unknown regions", "version", table.Version(), "regions", unknown)
	}
	if directory := table.Workspaces(); directory != nil && len(directory.Conflicting()) > 0 {
		g.log.Warn("keys that belong to several workspaces are ignored", "version", table.Version(), "workspaces", directory.Conflicting())
	}
	return table, nil
}

// hasLimits reports whether any workspace has a limit.
func (g *Gateway) hasLimits() bool {
	table := g.discovery.Snapshot().Table()
	return table != nil && table.Workspaces().HasLimits()
}

// trustsKeys reports whether keys of the known configuration may be accepted. With
// revoke_unconfirmed they count as revoked once the configuration has not been confirmed
// for revoke_within_s.
func (g *Gateway) trustsKeys() bool {
	s := g.settings.Load()
	return !s.RevokeUnconfirmed || g.discovery.Age() <= seconds(s.RevokeWithin)
}

// metricsState returns the current values of the gauges.
func (g *Gateway) metricsState() metrics.State {
	state := metrics.State{
		Active: g.forward.Active(), ConfigAge: g.discovery.Age().Seconds(), EvacuatedHalls: g.discovery.EvacuatedHallCount(),
		AnswerBytes: g.memory.Usage(memory.Answer).Held(), Memory: g.memoryUsage(), MemoryCounts: g.memory.Counts(), Quarantined: g.fatal.Quarantined(), LimitedTargets: g.quota.LimitedTargets(),
		CrossRegionServices: g.forward.FarServices(), RoundTrips: g.forward.Trips(),
		BackingOff: len(g.signals.BackOffs()), Leaving: g.discovery.Snapshot().Leaving(),
	}
	if table := g.discovery.Snapshot().Table(); table != nil {
		state.ConfigVersion = table.Version()
	}
	if g.options.LogDropped != nil {
		state.LogDropped = g.options.LogDropped()
	}
	state.Rollouts = g.rolloutMetrics()
	return state
}

// storeSettings applies the settings that may change while the gateway runs.
func (g *Gateway) storeSettings(s Settings) {
	g.settings.Store(&s)
	g.localityMap.Store(s.localityMap())
}

// Reload applies new settings. Addresses and names stay as they were at startup.
func (g *Gateway) Reload(s Settings) {
	g.storeSettings(s)
	g.memory.SetLimits(memoryLimits(s))
	g.log.Info("settings reloaded", "seeds", s.Seeds)
}
