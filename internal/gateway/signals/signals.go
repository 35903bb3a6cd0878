// Package signals keeps the signals that targets sent in answers to this gateway, and those
// that other gateways share: which targets asked for back-off, and which are leaving.
// core/backoff and core/gateway/signal contain the rules.
//
// A back-off that a target asked of this gateway always applies. A target that asked several
// others is avoided as long as there are alternatives: in a large fleet each gateway would
// otherwise have to send it a request of its own to find out. It is not excluded altogether,
// since targets that are full for a moment may ask as well. A target that announces that it is
// leaving is drained like one whose store entry says so, whichever gateway received the
// announcement.
//
// # Usage
//
//	registry := signals.New(signals.Options{Self: id, Clock: clock, Log: log})
//	registry.OnLeaving(follower.Drain)
//	registry.OnUpdate(follower.Wake)
//	registry.Observe(target, signal.Signals{BackOff: 3 * time.Second})
//	if left := registry.BackOffLeft(target.Life()); left > 0 {
//		// send nothing to the target for now
//	}
package signals

import (
	"context"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/backoff"
	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/signal"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// drainEvery is the minimum time between two calls that drain targets. Each call iterates
	// over all known targets, and during a release many targets leave one after the other.
	drainEvery = 500 * time.Millisecond
	// tickEvery is the interval at which expired entries are removed.
	tickEvery = 10 * time.Second
)

// Options configures a Registry; zero values are usable.
type Options struct {
	// Self is the ID of this gateway.
	Self  string
	Clock func() time.Time
	// Draw returns random numbers that no other gateway draws as well.
	Draw func() uint64
	Log  *slog.Logger
}

// Registry holds the signals of targets. It is safe for concurrent use.
type Registry struct {
	options Options
	notify  func()
	drain   func(lives []catalog.Life)
	// wake makes drainPending drain the pending targets.
	wake chan struct{}
	// entries is the number of back-offs and shared signals; while it is 0, look-ups take no
	// lock.
	entries atomic.Int64

	mu       sync.Mutex
	backOffs *backoff.Tracker[catalog.Life]
	shared   *signal.Board
	// pending are leaving targets that are not drained yet, drainedAt is when targets were last
	// drained.
	pending   map[catalog.Life]struct{}
	drainedAt time.Time
}

// New returns a registry without signals.
func New(options Options) *Registry {
	if options.Clock == nil {
		options.Clock = time.Now
	}
	if options.Draw == nil {
		options.Draw = rand.Uint64
	}
	if options.Log == nil {
		options.Log = slog.New(slog.DiscardHandler)
	}
	return &Registry{
		options: options, notify: func() {}, drain: func([]catalog.Life) {}, wake: make(chan struct{}, 1),
		backOffs: backoff.New[catalog.Life](), shared: signal.NewBoard(options.Draw()), pending: map[catalog.Life]struct{}{},
	}
}

// OnUpdate sets a function that is called, without any lock held, once there is an update to
// share. It must be set before the registry is used.
func (r *Registry) OnUpdate(notify func()) { r.notify = notify }

// OnLeaving sets a function that is called, without any lock held, with targets that announced
// that they are leaving, at once or shortly after together with others. It must be set before
// the registry is used.
func (r *Registry) OnLeaving(drain func(lives []catalog.Life)) { r.drain = drain }

// Tasks returns the background tasks of the registry. Each runs until its context ends.
func (r *Registry) Tasks() []func(context.Context) error {
	return []func(context.Context) error{r.drainPending, pause.Every(tickEvery, r.tick)}
}

// drainPending drains the targets that were not drained at once.
func (r *Registry) drainPending(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
		}
		if lives := r.takePending(0); len(lives) > 0 {
			r.drain(lives)
		}
		if !pause.For(ctx, drainEvery) {
			return nil
		}
	}
}

// startDraining drains a target at once, or with others if targets were drained a moment ago.
func (r *Registry) startDraining(life catalog.Life) {
	r.mu.Lock()
	r.pending[life] = struct{}{}
	r.mu.Unlock()
	if lives := r.takePending(drainEvery); len(lives) > 0 {
		r.drain(lives)
		return
	}
	r.wakeDrain()
}

// takePending returns and clears the pending targets; none if targets were drained less than
// minInterval ago.
func (r *Registry) takePending(minInterval time.Duration) []catalog.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	if now.Sub(r.drainedAt) < minInterval {
		return nil
	}
	lives := slices.Collect(maps.Keys(r.pending))
	clear(r.pending)
	r.drainedAt = now
	return lives
}

func (r *Registry) wakeDrain() {
	select {
	case r.wake <- struct{}{}:
	default: // already triggered
	}
}

func (r *Registry) tick(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.shared.Tick(r.options.Clock())
	r.updateEntries()
}

// Observe records the signals in an answer of a target.
func (r *Registry) Observe(target catalog.Target, s signal.Signals) {
	if s.Leaving {
		r.startDraining(target.Life())
	}
	started, publish := r.record(target.Life(), s)
	if started {
		r.options.Log.Info("target asks for back-off", "target", target.ID, "service", target.Service, "for_s", s.BackOff.Seconds())
	}
	if publish && s.Leaving {
		r.options.Log.Info("target says that it leaves", "target", target.ID, "service", target.Service)
	}
	if publish {
		r.notify()
	}
}

func (r *Registry) record(life catalog.Life, s signal.Signals) (started, publish bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	started = r.backOffs.Extend(now, life, s.BackOff)
	publish = r.shared.Record(now, signal.Update{Life: life, From: r.options.Self, BackOff: s.BackOff, Leaving: s.Leaving})
	r.updateEntries()
	return started, publish
}

// updateEntries updates the number of entries. The lock is held.
func (r *Registry) updateEntries() { r.entries.Store(int64(r.backOffs.Len() + r.shared.Len())) }

// BackOffLeft returns for how much longer a target is sent nothing because it asked this
// gateway for back-off.
func (r *Registry) BackOffLeft(life catalog.Life) time.Duration {
	if r.entries.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.backOffs.Remaining(r.options.Clock(), life)
}

// Avoided returns the targets that asked several gateways for back-off, and which are used only
// if there is no other. The given targets are interchangeable: if most of them asked for
// back-off, Avoided returns none, since the remaining ones could not take over the load. The
// result must not be modified.
func (r *Registry) Avoided(targets []catalog.Target) map[catalog.Life]bool {
	if r.entries.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.shared.Avoided(r.options.Clock(), targets)
}

// BackOffs returns the targets that are sent nothing because they asked this gateway for
// back-off, and for how much longer.
func (r *Registry) BackOffs() map[catalog.Life]time.Duration {
	if r.entries.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	backOffs := r.backOffs.Active(r.options.Clock())
	r.updateEntries()
	return backOffs
}
