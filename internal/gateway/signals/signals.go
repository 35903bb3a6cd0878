// Package signals guards what targets said of themselves in answers to this gateway, and what other
// gateways share of that: which asked for back-off, and which leave. The rules are core/backoff's
// and core/gateway/signal's.
//
// A back-off that a target asked of this gateway always holds. A target that asked several others is
// avoided while there are any else: in a large fleet each gateway would find it out by a request of its
// own. It is not passed over for good, since targets that are full for a moment may ask as well.
// A target that leaves is drained as one whose entry says so, whichever gateway got the answer.
//
// # Usage
//
//	register := signals.New(signals.Options{Self: id, Clock: clock, Log: log})
//	register.OnLeaving(follower.Drain)
//	register.OnUpdate(follower.Wake)
//	register.Observe(target, signal.Signals{BackOff: 3 * time.Second})
//	if left := register.Left(target.Life()); left > 0 {
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
	// drainEvery is the least time between two times that targets are drained: each goes through all
	// targets that are known, and of a release many leave one after the other.
	drainEvery = 500 * time.Millisecond
	// tickEvery is the pause between two looks at what is to be forgotten.
	tickEvery = 10 * time.Second
)

// Options configure a Register; zero values are usable.
type Options struct {
	// Self is the id of this gateway.
	Self  string
	Clock func() time.Time
	// Draw gives numbers that no other gateway draws as well.
	Draw func() uint64
	Log  *slog.Logger
}

// Register holds the signals of targets. It is safe for concurrent use.
type Register struct {
	options Options
	notify  func()
	drain   func(lives []catalog.Life)
	// wake has the duty drain what is pending.
	wake chan struct{}
	// known is how many back-offs are remembered, so that a gateway that knows of none takes no lock.
	known atomic.Int64

	mu      sync.Mutex
	tracker *backoff.Tracker[catalog.Life]
	board   *signal.Board
	// pending are targets that leave and are not drained yet, and drainedAt is when some last were.
	pending   map[catalog.Life]struct{}
	drainedAt time.Time
}

// New makes a register that knows of nothing.
func New(o Options) *Register {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Draw == nil {
		o.Draw = rand.Uint64
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Register{
		options: o, notify: func() {}, drain: func([]catalog.Life) {}, wake: make(chan struct{}, 1),
		tracker: backoff.New[catalog.Life](), board: signal.NewBoard(o.Draw()), pending: map[catalog.Life]struct{}{},
	}
}

// OnUpdate has a function called, without any lock held, once there is something to be shared. It
// must be set before the register is used.
func (r *Register) OnUpdate(notify func()) { r.notify = notify }

// OnLeaving has a function called, without any lock held, with targets that say that they leave, at
// once or with others soon. It must be set before the register is used.
func (r *Register) OnLeaving(drain func(lives []catalog.Life)) { r.drain = drain }

// Duties are what a gateway does for signals, each until its context ends.
func (r *Register) Duties() []func(context.Context) error {
	return []func(context.Context) error{r.drainPending, pause.Every(tickEvery, r.tick)}
}

// drainPending is the duty of draining targets that were not drained at once.
func (r *Register) drainPending(ctx context.Context) error {
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

// leave has a target drained: at once, unless others were a moment ago.
func (r *Register) leave(life catalog.Life) {
	r.mu.Lock()
	r.pending[life] = struct{}{}
	r.mu.Unlock()
	if lives := r.takePending(drainEvery); len(lives) > 0 {
		r.drain(lives)
		return
	}
	r.wakeUp()
}

// takePending takes the targets that are to be drained now; none if others were within a time.
func (r *Register) takePending(within time.Duration) []catalog.Life {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	if now.Sub(r.drainedAt) < within {
		return nil
	}
	lives := slices.Collect(maps.Keys(r.pending))
	clear(r.pending)
	r.drainedAt = now
	return lives
}

func (r *Register) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default: // it will
	}
}

func (r *Register) tick(context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.board.Tick(r.options.Clock())
	r.count()
}

// Observe takes in what a target said of itself in an answer.
func (r *Register) Observe(target catalog.Target, s signal.Signals) {
	if s.Leaving {
		r.leave(target.Life())
	}
	begins, isNew := r.observe(target.Life(), s)
	if begins {
		r.options.Log.Info("target asks for back-off", "target", target.ID, "service", target.Service, "for_s", s.BackOff.Seconds())
	}
	if isNew && s.Leaving {
		r.options.Log.Info("target says that it leaves", "target", target.ID, "service", target.Service)
	}
	if isNew {
		r.notify()
	}
}

func (r *Register) observe(life catalog.Life, s signal.Signals) (begins, isNew bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.options.Clock()
	begins = r.tracker.Extend(now, life, s.BackOff)
	isNew = r.board.Record(now, signal.Update{Life: life, From: r.options.Self, BackOff: s.BackOff, Leaving: s.Leaving})
	r.count()
	return begins, isNew
}

// count notes how much is remembered; the lock is held.
func (r *Register) count() { r.known.Store(int64(r.tracker.Len() + r.board.Len())) }

// Left is for how much longer a target is sent nothing since it asked this gateway for back-off.
func (r *Register) Left(life catalog.Life) time.Duration {
	if r.known.Load() == 0 {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tracker.Remaining(r.options.Clock(), life)
}

// Avoided are the targets that asked several gateways for back-off, so that they are sent something only
// where there is no other; none where they are most of some targets, which serve for each other. What it
// returns must not be changed.
func (r *Register) Avoided(targets []catalog.Target) map[catalog.Life]bool {
	if r.known.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.board.Avoided(r.options.Clock(), targets)
}

// All are the targets that are sent nothing since they asked this gateway for back-off, and for how
// much longer.
func (r *Register) All() map[catalog.Life]time.Duration {
	if r.known.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.tracker.Active(r.options.Clock())
	r.count()
	return all
}
