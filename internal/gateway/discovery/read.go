package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/internal/pause"
	"github.com/sprucecrank/sprucecrank/store"
)

const (
	// leastLook and mostLook bound the time between two looks at whether the
	// reading has fallen to this gateway.
	leastLook = 20 * time.Millisecond
	mostLook  = time.Second
	// firstRetry is the first pause after a call that failed, and rankedRetry and
	// otherRetry the longest, for gateways that others turn to first and others.
	firstRetry  = 100 * time.Millisecond
	rankedRetry = time.Second
	otherRetry  = 2 * time.Second
	// firstWait is how long the first watch waits.
	firstWait = time.Millisecond
)

// ReadConfig is the duty of watching the configuration in the store.
func (f *Follower) ReadConfig(ctx context.Context) error {
	return f.read(ctx, "config", &f.config, f.stepConfig)
}

// ReadTargets is the duty of watching the targets in the store.
func (f *Follower) ReadTargets(ctx context.Context) error {
	return f.read(ctx, "targets", &f.targets, f.stepTargets)
}

// step makes one call to the store; whole asks for a list and not a watch.
type step func(ctx context.Context, whole bool) error

func (f *Follower) read(ctx context.Context, name string, r *reading, next step) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	whole := false
	for ctx.Err() == nil {
		if wait := f.untilRead(r); wait > 0 {
			if !f.idle(ctx, wait) {
				return nil
			}
			continue
		}
		before := f.position()
		err := f.call(ctx, name, r, whole, next)
		whole = errors.Is(err, store.ErrGone)
		switch {
		case err == nil:
			retry.Reset()
			if moved := f.position() != before; moved && !pause.For(ctx, f.batch()) {
				return nil
			}
		case whole || errors.Is(err, errRestoring):
		default:
			retry.MaxInterval = f.longestRetry()
			if !pause.For(ctx, retry.NextBackOff()) {
				return nil
			}
		}
	}
	return nil
}

// call makes one call to the store. After one that failed it pings first: that
// costs less while the store stays away.
func (f *Follower) call(ctx context.Context, name string, r *reading, whole bool, next step) error {
	timing := f.options.Timing
	if f.begin(r) {
		callCtx, cancel := context.WithTimeout(ctx, timing.SilentAfter)
		defer cancel()
		if err := f.options.Source.Ping(callCtx); err != nil {
			f.end(name, r, err)
			return err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, timing.Watch+timing.WatchSlack)
	defer cancel()
	err := next(callCtx, whole)
	f.end(name, r, err)
	return err
}

// batch is the pause after news from the store. Where no other gateway asks for
// them, nothing is lost on their way, and more of them may gather.
func (f *Follower) batch() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAsked(f.options.Clock()) {
		return f.options.Timing.Batch
	}
	return f.options.Timing.AloneBatch
}

// longestRetry is the longest pause between two calls while the store fails.
// Gateways that others turn to first try more often.
func (f *Follower) longestRetry() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.rank(f.options.Clock()) < readers+standbys {
		return rankedRetry
	}
	return otherRetry
}

// Results of a call to the store, and the ping, as metrics name them.
const (
	callPing     = "ping"
	callAnswered = "answered"
	callFailed   = "failed"
)

// begin notes that a call begins and says whether the one before it failed.
func (f *Follower) begin(r *reading) (failedBefore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.began = f.options.Clock()
	return r.broken
}

// end works in how a call of a reading ended.
func (f *Follower) end(name string, r *reading, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r.began = time.Time{}
	now := f.options.Clock()
	switch {
	case err == nil:
		f.options.Metrics.StoreCall(name, callAnswered)
		f.noteReturn(now)
		f.setBroken(name, r, nil)
		r.answered, r.confirmed = now, now
		f.confirm(earlier(f.config.confirmed, f.targets.confirmed), f.options.Self.ID)
	case errors.Is(err, store.ErrGone):
		// The list that is asked for next tells whether the store is back.
		f.options.Metrics.StoreCall(name, callAnswered)
	case errors.Is(err, errRestoring):
		f.options.Metrics.StoreCall(name, callAnswered)
		f.setBroken(name, r, nil)
	default:
		f.options.Metrics.StoreCall(name, callFailed)
		f.setBroken(name, r, err)
		if f.isOutage(now) {
			f.returned = time.Time{}
		}
	}
}

// setBroken notes whether the latest call of a reading failed, and logs a change;
// the lock is held.
func (f *Follower) setBroken(name string, r *reading, err error) {
	broken := err != nil
	if broken == r.broken {
		return
	}
	r.broken = broken
	f.options.Log.Info("store", "watch", name, "lost", broken, "error", errorText(err))
	f.wake() // those that ask this gateway, and the other reading, look anew
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// confirm notes that what is believed was all that the store held at a moment,
// by the reading of the gateway origin; the lock is held.
func (f *Follower) confirm(at time.Time, origin string) {
	if at.After(f.confirmed) {
		if at.Sub(f.confirmed) > f.options.Timing.SilentAfter/2 {
			f.wake() // those that ask have old news, too
		}
		f.confirmed, f.origin = at, origin
	}
	if at.After(f.outranked) && f.ranksBefore(f.options.Clock(), origin) {
		f.outranked = at
	}
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// idle waits until the reading may fall to this gateway: after a time, or when
// something is heard.
func (f *Follower) idle(ctx context.Context, wait time.Duration) bool {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(min(max(wait, leastLook), mostLook))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

func (f *Follower) position() catalog.Position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalog.Position()
}

func (f *Follower) stepConfig(ctx context.Context, whole bool) error {
	from := f.position().ConfigRevision
	if whole || from == 0 {
		now, err := f.options.Source.Config(ctx)
		if err != nil {
			return err
		}
		f.takeConfig(now)
		return nil
	}
	changes, err := f.options.Source.WatchConfig(ctx, from, f.wait(&f.config))
	if err != nil {
		return err
	}
	f.takeConfig(changes)
	return nil
}

func (f *Follower) takeConfig(changes ConfigChanges) {
	f.apply("store", func(c *catalog.Catalog) (bool, bool) {
		latest := changes.Latest
		changed := latest != nil && c.SetConfig(latest.Version, latest.Body)
		c.SeenConfig(changes.Revision)
		return changed, false
	})
}

func (f *Follower) stepTargets(ctx context.Context, whole bool) error {
	from := f.position().Targets
	if whole || from == 0 {
		list, err := f.options.Source.Targets(ctx)
		if err != nil {
			return err
		}
		if f.isRestoring() {
			return errRestoring
		}
		f.apply("store", func(c *catalog.Catalog) (bool, bool) {
			return false, c.Replace(list.Revision, list.Targets)
		})
		return nil
	}
	changes, err := f.options.Source.WatchTargets(ctx, from, f.wait(&f.targets))
	if err != nil {
		return err
	}
	if f.isRestoring() {
		return errRestoring
	}
	f.apply("store", func(c *catalog.Catalog) (bool, bool) {
		return false, c.Advance(changes.Revision, changes.Changes)
	})
	return nil
}

// wait is how long the next watch of a reading waits for changes: hardly at all
// if it is the first, so that what is believed is confirmed at once. Others vary,
// so that they don't end together.
func (f *Follower) wait(r *reading) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r.answered.IsZero() || r.broken {
		return firstWait
	}
	return time.Duration((0.8 + 0.2*rand.Float64()) * float64(f.options.Timing.Watch))
}
