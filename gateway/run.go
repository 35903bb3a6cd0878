package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/oklog/run"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/internal/gateway/pipeline"
	"github.com/sprucecrank/sprucecrank/internal/lifecycle"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// cleanupInterval is how often idle connections and quarantined requests are cleaned up.
	cleanupInterval = time.Second
)

// Phases of a shutdown, as shares of the time within which it must end (stop_within_s).
const (
	// acceptShare is how long new requests are still served, since clients may not have
	// noticed the shutdown yet. The users' platform notices it within seconds.
	acceptShare = 0.5
	// maxEndShare bounds how long before the end of the time requests in flight are given up.
	maxEndShare = 0.1
)

// endMargin is how long before the end of the time for stopping, at which the process is killed,
// requests in flight are given up, and answered as such; the process exits within half of it.
const endMargin = 500 * time.Millisecond

// Run serves until ctx is cancelled. Then the gateway drains: it reports that it is not
// ready, still serves new requests for a while, completes the requests in flight and stops.
func (g *Gateway) Run(ctx context.Context) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	taskCtx, cancelTasks := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelTasks()
	var group run.Group
	g.addTasks(taskCtx, &group, cancelTasks)
	g.addServers(&group)
	g.addClients(ctx, &group, stop)
	g.log.Info("started", "listen", g.listeners.clients.Addr().String(), "hall", g.settings.Load().Hall)
	err := group.Run()
	g.pool.Close()
	g.relayPool.Close()
	if errors.Is(err, lifecycle.ErrStopped) {
		g.log.Info("stopped")
		return nil
	}
	return trace.Wrap(err)
}

// addTasks adds the background tasks, which run until the group ends.
func (g *Gateway) addTasks(ctx context.Context, group *run.Group, cancel func()) {
	tasks := append(g.discovery.Tasks(), pause.Every(cleanupInterval, g.cleanUp))
	tasks = append(tasks, g.quota.Tasks()...)
	tasks = append(tasks, g.signals.Tasks()...)
	if g.delivery != nil {
		tasks = append(tasks, g.delivery.Tasks()...)
	}
	for _, task := range tasks {
		group.Add(func() error { return lifecycle.RunUntilCancelled(ctx, task) }, func(error) { cancel() })
	}
}

// addServers adds the servers for other gateways, the platform and the operators.
// Errors on closing are ignored, since the group has ended by then.
func (g *Gateway) addServers(group *run.Group) {
	peers := g.listeners.peers
	group.Add(func() error { return g.discovery.Serve(peers, g.peerServices()...) }, func(error) { _ = peers.Close() })
	addServer(group, &http.Server{Handler: http.HandlerFunc(g.serveReady)}, g.listeners.ready)
	if g.listeners.metrics != nil {
		addServer(group, &http.Server{Handler: g.metrics.Handler()}, g.listeners.metrics)
	}
}

// addRelay adds the server for requests of other gateways, and returns it; nil where there is
// none.
func (g *Gateway) addRelay(group *run.Group, drained <-chan struct{}) *pipeline.Server {
	if g.listeners.relay == nil {
		return nil
	}
	relay := pipeline.New(pipeline.Options{Handler: g.forward.Relayed(), Safe: g.forward.Repeatable, Stopping: g.stopping.Load, Log: g.log, Memory: g.memory})
	group.Add(func() error {
		return lifecycle.ServeUntilDrained(relay.Serve, g.listeners.relay, drained)
	}, func(error) { _ = relay.Close() })
	return relay
}

func addServer(group *run.Group, server *http.Server, listener net.Listener) {
	group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
}

// addClients adds the server for clients and an actor that drains the gateway when ctx is
// cancelled.
func (g *Gateway) addClients(ctx context.Context, group *run.Group, stop func()) {
	clients := pipeline.New(pipeline.Options{
		Handler: g.forward, Safe: g.forward.Repeatable, Limits: g.forward.Limits,
		Stopping: g.stopping.Load, Log: g.log, Memory: g.memory, Patience: g.forward.BodyPatience,
	})
	drained := make(chan struct{})
	relay := g.addRelay(group, drained)
	group.Add(func() error {
		return lifecycle.ServeUntilDrained(clients.Serve, g.listeners.clients, drained)
	}, func(error) { _ = clients.Close() })
	group.Add(func() error {
		defer close(drained)
		<-ctx.Done()
		return g.drain(ctx, clients, relay)
	}, func(error) { stop() })
}

// drain shuts the gateway down gracefully.
func (g *Gateway) drain(ctx context.Context, clients, relay *pipeline.Server) error {
	within := seconds(g.settings.Load().StopWithin)
	g.log.Info("stopping", "within_s", within.Seconds(), "active", g.forward.Active())
	margin := min(endMargin, time.Duration(maxEndShare*float64(within)))
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), within-margin/2)
	defer cancel()
	g.stopping.Store(true)
	g.forward.StopAt(g.options.Clock().Add(within - margin))
	g.discovery.SetLeaving()
	time.Sleep(time.Duration(acceptShare * float64(within)))
	err := clients.Shutdown(ctx)
	if relay != nil {
		err = errors.Join(err, relay.Shutdown(ctx))
	}
	if err != nil {
		g.metrics.Cut(g.forward.Active())
		g.log.Error("requests were still in flight when the time for stopping ran out", "active", g.forward.Active(), "error", err.Error())
	}
	return lifecycle.ErrStopped
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

// cleanUp closes connections that have been idle for too long or whose targets are gone, and
// removes quarantined requests that have not been seen for a long time.
func (g *Gateway) cleanUp(context.Context) {
	g.fatal.Tick()
	known := map[catalog.Life]bool{}
	for _, t := range g.discovery.Snapshot().Connectable() {
		known[t.Life()] = true
	}
	g.pool.Retain(func(life catalog.Life) bool { return known[life] })
	g.relayPool.Retain(func(catalog.Life) bool { return true })
}
