package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/sprucecrank/sprucecrank/core/gateway/freshness"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
	"github.com/sprucecrank/sprucecrank/internal/pause"
)

const (
	// minLook and maxLook bound the time between two looks at whether the reading
	// has fallen to this gateway.
	minLook = 20 * time.Millisecond
	maxLook = time.Second
	// firstRetry is the first pause after a call that failed, and preferredRetry
	// and otherRetry the longest, for gateways that others turn to first and for
	// others. The store's rates bound what a whole fleet may try.
	firstRetry     = 100 * time.Millisecond
	preferredRetry = time.Second
	otherRetry     = 2 * time.Second
	// firstWait is how long the first watch waits: hardly at all, so that what is
	// believed is confirmed at once.
	firstWait = time.Millisecond
	// minWaitShare is the least share of its longest time that a watch waits: the
	// waits vary, so that the watches of gateways don't end together.
	minWaitShare = 0.8
)

// watch is one of the watches of the store.
type watch struct {
	name  string
	state *freshness.Watch
	// until is how long no call should be made though the reading falls to this
	// gateway; the lock is held.
	until func(now time.Time) time.Duration
	// call makes one call; whole asks for a list and not a watch.
	call func(ctx context.Context, whole bool) error
	// urgent says that its changes are few and waited for: the next call follows at once,
	// without a pause in which more may gather.
	urgent bool
}

// readConfig is the duty of watching the configuration in the store.
func (f *Follower) readConfig(ctx context.Context) error {
	return f.read(ctx, &watch{
		name: "config", state: f.fresh.Config(), call: f.callConfig,
		until: func(time.Time) time.Duration { return 0 },
	})
}

// readTargets is the duty of watching the targets in the store.
func (f *Follower) readTargets(ctx context.Context) error {
	return f.read(ctx, &watch{name: "targets", state: f.fresh.Targets(), call: f.callTargets, until: f.untilTargets})
}

// readEvacuations is the duty of watching the evacuations in the store.
func (f *Follower) readEvacuations(ctx context.Context) error {
	return f.read(ctx, &watch{name: "evacuations", state: f.fresh.Evacuations(), call: f.callEvacuations, until: f.untilConfigAnswers})
}

// readRollouts is the duty of watching the rollouts in the store.
func (f *Follower) readRollouts(ctx context.Context) error {
	return f.read(ctx, &watch{name: "rollouts", state: f.fresh.Rollouts(), call: f.callRollouts, until: f.untilConfigAnswers, urgent: true})
}

// read makes the calls of a watch while the reading falls to this gateway.
func (f *Follower) read(ctx context.Context, w *watch) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	whole := false
	for ctx.Err() == nil {
		if wait := f.takeRole(w); wait > 0 {
			if !f.idle(ctx, wait) {
				return nil
			}
			continue
		}
		before := f.position()
		err := f.reach(ctx, w, whole)
		whole = errors.Is(err, ErrGone)
		changed := f.position() != before
		if wait := f.untilNextCall(err, changed && !w.urgent, retry); wait > 0 && !pause.For(ctx, wait) {
			return nil
		}
	}
	return nil
}

// untilNextCall is the pause after a call of a watch that ended so: none where a list
// follows at once, one in which more changes may gather, or one that grows with each
// failure.
func (f *Follower) untilNextCall(err error, gathers bool, retry *backoff.ExponentialBackOff) time.Duration {
	switch {
	case err == nil && gathers:
		retry.Reset()
		return f.batch()
	case err == nil:
		retry.Reset()
		return 0
	case errors.Is(err, ErrGone), errors.Is(err, errRestoring):
		return 0
	default:
		retry.MaxInterval = f.longestRetry()
		return retry.NextBackOff()
	}
}

// reach makes one call of a watch. After one that failed it pings first: that
// costs less while the store stays away.
func (f *Follower) reach(ctx context.Context, w *watch, whole bool) error {
	timing := f.options.Timing
	if failedBefore := f.begin(w); failedBefore {
		pingCtx, cancel := context.WithTimeout(ctx, timing.SilentAfter)
		defer cancel()
		if err := f.options.Source.Ping(pingCtx); err != nil {
			f.end(w, err)
			return err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, timing.Watch+timing.WatchSlack)
	defer cancel()
	err := w.call(callCtx, whole)
	f.end(w, err)
	return err
}

// begin notes that a call begins and says whether the one before it failed.
func (f *Follower) begin(w *watch) (failedBefore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if !w.state.InStep() && !f.fresh.Failing() {
		// Not each time that it tries again: gateways that are turned away for long must
		// not hold back those that are not.
		f.noteTry(now)
	}
	w.state.Begin(now)
	return w.state.Failing()
}

// Results of a call to the store, and the calls that are no watches, as metrics name
// them.
const (
	callPing      = "ping"
	callStaleRead = "glance"
	callAnswered  = "answered"
	callFailed    = "failed"
)

// end works in how a call of a watch ended.
func (f *Follower) end(w *watch, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.state.End()
	now := f.options.Clock()
	switch {
	case err == nil:
		f.options.Metrics.StoreCall(w.name, callAnswered)
		f.noteReturn(now)
		f.setFailing(w, nil)
		f.wakeIfOld(f.fresh.Answered(w.state, now, f.options.Self.ID))
	case errors.Is(err, ErrGone):
		// The list that is asked for next shows whether the store is back.
		f.options.Metrics.StoreCall(w.name, callAnswered)
	case errors.Is(err, errRestoring):
		f.options.Metrics.StoreCall(w.name, callAnswered)
		f.setFailing(w, nil)
	default:
		f.options.Metrics.StoreCall(w.name, callFailed)
		f.setFailing(w, err)
		f.tried.Failed = true
		if f.tries.Add(now, f.tried) {
			f.wake() // others need not wait for this one
		}
		f.fresh.NoteFailed(now)
		f.fresh.NoteAway(now, f.knowsTargets())
	}
}

// setFailing notes whether the latest call of a watch failed, and logs a change;
// the lock is held.
func (f *Follower) setFailing(w *watch, err error) {
	if !w.state.SetFailing(err != nil) {
		return
	}
	f.options.Log.Info("store", "watch", w.name, "lost", err != nil, "error", errorText(err))
	f.wake() // those that ask this gateway, and the other watch, look anew
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// batch is the pause after an update from the store. Where no other gateway asks
// for them, nothing is lost on their way, and more may gather.
func (f *Follower) batch() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAsked(f.options.Clock()) {
		return f.options.Timing.Batch
	}
	return f.options.Timing.AloneBatch
}

// longestRetry is the longest pause between two calls while the store fails.
func (f *Follower) longestRetry() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reader.IsPreferred(f.rank(f.options.Clock())) {
		return preferredRetry
	}
	return otherRetry
}

// idle waits until the reading may fall to this gateway: after a time, or when
// something changes.
func (f *Follower) idle(ctx context.Context, wait time.Duration) bool {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(min(max(wait, minLook), maxLook))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// waitFor is how long the next call of a watch waits for changes.
func (f *Follower) waitFor(state *freshness.Watch) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !state.InStep() {
		return firstWait
	}
	share := minWaitShare + (1-minWaitShare)*rand.Float64()
	return time.Duration(share * float64(f.options.Timing.Watch))
}
