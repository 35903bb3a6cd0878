package box

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"github.com/sprucecrank/sprucecrank/internal/box/oncerun"
	"github.com/sprucecrank/sprucecrank/internal/lifecycle"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	reconcileEvery    = 500 * time.Millisecond
	handOverEvery     = 5 * time.Second
	handOverMost      = 64 // targets at a time: about 2 KB
	flushWithin       = 5 * time.Second
)

// Run serves until ctx ends or Stop is called. Then the box is drained: it goes
// on accepting for the lag of the platform's balancer, gives its home duties
// back, ends its requests, and stops.
func (b *Box) Run(ctx context.Context) error {
	ctx, b.stop = context.WithCancel(ctx)
	defer b.stop()
	// The duties outlive ctx: a draining box still needs them.
	duties, endDuties := context.WithCancel(context.WithoutCancel(ctx))
	defer endDuties()
	var group run.Group
	b.addDuties(duties, &group)
	b.addServers(&group)
	b.addClients(ctx, &group)
	b.log.Info("box started", "clients", b.ClientAddress(), "peers", b.PeerAddress(), "admin", b.AdminAddress())
	err := group.Run()
	b.members.Close()
	b.entry.Close()
	_ = b.telemetry.Shutdown(context.WithoutCancel(ctx))
	if errors.Is(err, lifecycle.ErrStopped) {
		b.log.Info("box stopped")
		return nil
	}
	return trace.Wrap(err)
}

// addDuties adds what works in the background until the group ends.
func (b *Box) addDuties(ctx context.Context, group *run.Group) {
	for _, duty := range b.duties() {
		dutyCtx, end := context.WithCancel(ctx)
		group.Add(func() error { return lifecycle.RunUntilCancelled(dutyCtx, duty) }, func(error) { end() })
	}
}

// addServers adds what answers other boxes and operators. The errors of closing
// say nothing: the group has ended then.
func (b *Box) addServers(group *run.Group) {
	peers, admin := b.peers, b.adminServer()
	group.Add(func() error { return peers.Serve(b.listeners.peers) }, func(error) {
		_ = b.listeners.peers.Close()
		peers.Close()
	})
	group.Add(func() error { return b.serveAdmin(admin) }, func(error) { _ = admin.Close() })
}

// addClients adds what serves clients, and what drains the box when ctx ends.
func (b *Box) addClients(ctx context.Context, group *run.Group) {
	clients := b.clientServer()
	drained := make(chan struct{})
	group.Add(func() error {
		return lifecycle.ServeUntilDrained(clients.Serve, b.listeners.clients, drained)
	}, func(error) { _ = clients.Close() })
	group.Add(func() error {
		defer close(drained)
		return b.drainAfter(ctx, clients)
	}, func(error) { b.stop() })
}

// Stop begins a planned stop, as a signal does.
func (b *Box) Stop() {
	if b.stop != nil {
		b.stop()
	}
}

func (b *Box) duties() []lifecycle.Task {
	return []lifecycle.Task{
		b.follower.Starter, b.follower.Watcher, b.follower.Exchanger, b.follower.Lister,
		b.broker.RunReturns, b.runner.Recorder, b.cleaner().Run, b.prober.Run,
		b.tick,
		pause.Every(reconcileEvery, b.broker.ReconcileAll),
		pause.Every(handOverEvery, b.handOver),
	}
}

// cleaner deletes old records of the services whose home this box is.
func (b *Box) cleaner() *oncerun.Cleaner {
	return oncerun.NewCleaner(oncerun.CleanerOptions{
		List: b.platform.List, Delete: b.platform.Delete,
		Services: b.homeServices, Clock: b.options.Clock, Log: b.log,
	})
}

func (b *Box) homeServices() []string {
	var out []string
	for _, s := range b.routes.Load().Services() {
		if b.isHome(s) {
			out = append(out, s.Name)
		}
	}
	return out
}

// tick is the duty that ends waits which ran out.
func (b *Box) tick(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-b.home.Queued():
		}
		timer.Reset(b.home.Tick(b.settings.ID))
	}
}

// handOver gives this box's measuring budget to the homes, which know what is
// worth measuring.
func (b *Box) handOver(context.Context) {
	for service, tokens := range b.prober.Take(handOverMost) {
		b.broker.TransferProbeTime(service, tokens)
	}
}

// drainAfter waits for the stop and then drains the box.
func (b *Box) drainAfter(ctx context.Context, clients *http.Server) error {
	<-ctx.Done()
	ctx = context.WithoutCancel(ctx)
	b.log.Info("draining", "lag_ms", b.settings.DrainLagMS)
	stopsAt := b.options.Clock().Add(time.Duration(b.settings.DrainLagMS+b.settings.StopWithinMS) * time.Millisecond)
	b.stopsAt.Store(&stopsAt)
	b.draining.Store(true)
	b.members.SetLeaving()
	b.home.Close(b.settings.ID)
	time.Sleep(time.Duration(b.settings.DrainLagMS) * time.Millisecond)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(b.settings.StopWithinMS)*time.Millisecond)
	defer cancel()
	if err := clients.Shutdown(ctx); err != nil {
		b.log.Error("requests were still in flight when the time for stopping ran out", "error", err)
	}
	b.finish(ctx)
	return lifecycle.ErrStopped
}

// finish waits for what goes on without a client: operations whose client hung
// up, and slots on their way back.
func (b *Box) finish(ctx context.Context) {
	b.runner.Wait(ctx, flushWithin)
	b.broker.Flush(ctx)
}

// clientHandler serves the data path.
func (b *Box) clientHandler() http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.Any("/*", func(c echo.Context) error {
		b.entry.ServeHTTP(c.Response(), c.Request())
		return nil
	})
	return e
}
