// Package gateway is the daemon that stands between clients and targets whose
// load is read at each request, as a library. It joins the data path
// (internal/forward), the following of configuration and targets
// (internal/feed) and the connections to targets (internal/upstream).
//
// It holds nothing that must last: the store that Source reads does.
//
// # Usage
//
//	settings, err := gateway.ParseSettings(raw)
//	g, err := gateway.New(settings, gateway.Options{Source: source, Decode: decode, Wire: wire})
//	err = g.Run(ctx) // until ctx ends; then requests in flight are ended first
package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/core/member"
	"github.com/sprucecrank/sprucecrank/internal/gateway/discovery"
	"github.com/sprucecrank/sprucecrank/internal/gateway/forward"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/lifecycle"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/internal/telemetry"
)

// Source reads the store; see discovery.Source.
type Source = discovery.Source

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
	options   Options
	log       *slog.Logger
	discovery *discovery.Follower
	pool      *upstream.Pool
	forward   *forward.Handler
	metrics   *telemetry.Gateway
	stopping  atomic.Bool
	listeners listeners
}

type listeners struct {
	clients, ready, peers, metrics net.Listener
}

// New puts a gateway together and opens its sockets; nothing is served yet.
func New(s Settings, o Options) (*Gateway, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	g := &Gateway{options: o, log: o.Log.With("gateway", s.ID)}
	g.settings.Store(&s)
	if err := g.listen(s); err != nil {
		return nil, trace.Wrap(err)
	}
	g.listenMetrics(s)
	if err := g.assemble(s); err != nil {
		g.listeners.close()
		return nil, trace.Wrap(err)
	}
	return g, nil
}

func (g *Gateway) listen(s Settings) error {
	for _, l := range []struct {
		at  string
		set *net.Listener
	}{
		{s.Listen, &g.listeners.clients},
		{s.ReadyListen, &g.listeners.ready},
		{s.PeerListen, &g.listeners.peers},
	} {
		listener, err := net.Listen("tcp", l.at)
		if err != nil {
			g.listeners.close()
			return trace.Wrap(err, "address %s of gateway %s cannot be used; is another process on it?", l.at, s.ID)
		}
		*l.set = listener
	}
	return nil
}

// listenMetrics opens the socket of the metrics. A port that is taken is no
// reason not to serve clients.
func (g *Gateway) listenMetrics(s Settings) {
	if s.MetricsListen == "" {
		return
	}
	var err error
	if g.listeners.metrics, err = net.Listen("tcp", s.MetricsListen); err != nil {
		g.log.Error("metrics are not served", "metrics_listen", s.MetricsListen, "error", err.Error())
	}
}

func (l *listeners) close() {
	for _, one := range []net.Listener{l.clients, l.ready, l.peers, l.metrics} {
		if one != nil {
			_ = one.Close()
		}
	}
}

// Parts of the time within which news must be in force that the ways of
// hearing them may take, so that two that fail one after the other still fit.
const (
	pollPart      = 0.15
	pollSlackPart = 0.12
	pingPart      = 0.1
	silentPart    = 0.5
	alonePart     = 0.65
	watchPart     = 0.8 // of the time for which a watch may be trusted
	batchPart     = 0.15
	aloneBatch    = 0.4
	watchSlack    = 200 * time.Millisecond
)

func timing(s Settings) discovery.Timing {
	return discovery.Timing{
		Poll:        seconds(pollPart * s.ApplyWithin),
		PollSlack:   seconds(pollSlackPart * s.ApplyWithin),
		SilentAfter: seconds(silentPart * s.ApplyWithin),
		AloneAfter:  seconds(alonePart * s.ApplyWithin),
		Ping:        seconds(pingPart * s.ApplyWithin),
		Watch:       seconds(watchPart*s.WatchTrust) - watchSlack,
		Batch:       seconds(batchPart * s.ApplyWithin),
		AloneBatch:  seconds(aloneBatch * s.ApplyWithin),
		WatchSlack:  watchSlack,
		OutageAfter: seconds(s.WatchTrust),
		Restore:     seconds(s.RestoreWithin),
	}
}

func (g *Gateway) assemble(s Settings) error {
	o := g.options
	if g.listeners.metrics != nil {
		var err error
		if g.metrics, err = telemetry.NewGateway(g.state); err != nil {
			return err
		}
	}
	self := member.Box{ID: s.ID, Peer: s.peerAddress(), Hall: s.Hall, Start: uint64(o.Clock().UnixNano())}
	g.discovery = discovery.New(discovery.Options{
		Self: self, FirstStart: s.FirstStart, Seeds: func() []string { return g.settings.Load().Seeds },
		Source: o.Source, Decode: o.Decode, Timing: timing(s), Clock: o.Clock, Log: g.log, Metrics: g.metrics,
	})
	g.pool = upstream.New(upstream.Options{Names: o.Wire.Headers, Clock: o.Clock, Opened: g.metrics.Opened})
	g.forward = forward.New(forward.Options{
		Names: o.Wire.Headers, Hall: s.Hall, Snapshot: g.discovery.Snapshot, Current: g.discovery.Current,
		Ready: g.discovery.Ready(), Stopping: g.stopping.Load, Pool: g.pool, Clock: o.Clock, Log: g.log, Metrics: g.metrics,
		Retry: forward.Retry{Window: seconds(s.RetryWindow), Ratio: s.RetryRatio},
	})
	return nil
}

// state is what the metrics tell of this moment.
func (g *Gateway) state() telemetry.State {
	state := telemetry.State{Active: g.forward.Active(), ConfigAge: g.discovery.Age().Seconds()}
	if table := g.discovery.Snapshot().Table(); table != nil {
		state.ConfigVersion = table.Version()
	}
	if g.options.LogDropped != nil {
		state.LogDropped = g.options.LogDropped()
	}
	return state
}

// Reload puts new settings in force. Addresses and names stay as they were at
// the start.
func (g *Gateway) Reload(s Settings) {
	g.settings.Store(&s)
	g.log.Info("settings reloaded", "seeds", s.Seeds)
}

const (
	retainEvery = time.Second
	// acceptPart is the part of the time for a stop in which clients that have
	// not yet heard of it are still served.
	acceptPart = 0.5
	// lastPart is the part after which the process ends, whatever goes on.
	lastPart       = 0.9
	maxHeaderBytes = 1 << 20
	// clientIdle is how long a client's connection may rest.
	clientIdle = 5 * time.Minute
)

// Run serves until ctx ends. Then the gateway is drained: it calls itself not
// ready, goes on serving while clients still come, ends its requests and stops.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	clients := g.clientServer()
	ready := &http.Server{Handler: http.HandlerFunc(g.serveReady)}
	var group run.Group
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	for _, duty := range []lifecycle.Duty{
		g.discovery.Follow, g.discovery.ReadConfig, g.discovery.ReadTargets, g.discovery.Ping, pause.Every(retainEvery, g.retain),
	} {
		group.Add(func() error { return lifecycle.UntilEnded(duties, duty) }, func(error) { endDuties() })
	}
	group.Add(func() error { return g.discovery.Serve(g.listeners.peers) }, func(error) { _ = g.listeners.peers.Close() })
	group.Add(func() error { return ready.Serve(g.listeners.ready) }, func(error) { _ = ready.Close() })
	if g.listeners.metrics != nil {
		metrics := &http.Server{Handler: g.metrics.Handler()}
		group.Add(func() error { return metrics.Serve(g.listeners.metrics) }, func(error) { _ = metrics.Close() })
	}
	drained := make(chan struct{})
	group.Add(func() error { return lifecycle.ServeUntil(clients, g.listeners.clients, drained) }, func(error) { _ = clients.Close() })
	group.Add(func() error {
		defer close(drained)
		return g.drainAfter(ctx, clients)
	}, func(error) { stop() })
	g.log.Info("started", "listen", g.listeners.clients.Addr().String(), "hall", g.settings.Load().Hall)
	err := group.Run()
	g.pool.Close()
	if errors.Is(err, lifecycle.ErrStopped) {
		g.log.Info("stopped")
		return nil
	}
	return trace.Wrap(err)
}

func (g *Gateway) clientServer() *http.Server {
	return &http.Server{
		Handler:        g.forward,
		IdleTimeout:    clientIdle,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       slog.NewLogLogger(g.log.Handler(), slog.LevelDebug),
	}
}

func (g *Gateway) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != g.options.Wire.ReadyPath {
		http.NotFound(w, r)
		return
	}
	if !g.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (g *Gateway) isReady() bool {
	if g.stopping.Load() {
		return false
	}
	select {
	case <-g.discovery.Ready():
		return true
	default:
		return false
	}
}

// retain closes connections to targets that are gone or that rest too long.
func (g *Gateway) retain(context.Context) {
	known := map[string]bool{}
	for _, targets := range g.discovery.Snapshot().ByService() {
		for _, s := range targets {
			known[s.ID] = true
		}
	}
	g.pool.Retain(func(id string) bool { return known[id] })
}

// drainAfter waits for the stop and then drains the gateway.
func (g *Gateway) drainAfter(ctx context.Context, clients *http.Server) error {
	<-ctx.Done()
	within := seconds(g.settings.Load().StopWithin)
	g.log.Info("stopping", "within_s", within.Seconds(), "active", g.forward.Active())
	g.stopping.Store(true)
	g.discovery.SetLeaving()
	time.Sleep(time.Duration(acceptPart * float64(within)))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration((lastPart-acceptPart)*float64(within)))
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		g.metrics.Cut(g.forward.Active())
		g.log.Error("requests were still in flight when the time for stopping ran out", "active", g.forward.Active(), "error", err.Error())
	}
	return lifecycle.ErrStopped
}
