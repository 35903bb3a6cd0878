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
	// minRoleCheckInterval and maxRoleCheckInterval bound the time between two checks
	// whether this gateway has to read the store.
	minRoleCheckInterval = 20 * time.Millisecond
	maxRoleCheckInterval = time.Second
	// initialRetry is the first pause after a failed call. maxPreferredRetry and
	// maxOtherRetry are the longest, for the gateways that rank first as readers and for
	// all others. The store's rate limits bound the retries of a whole fleet.
	initialRetry      = 100 * time.Millisecond
	maxPreferredRetry = time.Second
	maxOtherRetry     = 2 * time.Second
	// firstWatchWait is how long the first watch waits: nearly not at all, so that the
	// known state is confirmed at once.
	firstWatchWait = time.Millisecond
	// minWaitShare is the least share of its longest time that a watch waits: the waits
	// vary, so that the watches of different gateways don't end at the same time.
	minWaitShare = 0.8
)

// watch is one of the watches of the store.
type watch struct {
	name  string
	state *freshness.Watch
	// delay returns for how long no call should be made although this gateway is a reader;
	// the lock is held.
	delay func(now time.Time) time.Duration
	// call makes one call; whole requests a list instead of a watch.
	call func(ctx context.Context, whole bool) error
	// urgent says that its changes are rare and needed at once: the next call follows
	// immediately, without a pause in which more may accumulate.
	urgent bool
}

// readConfig is the background task that watches the configuration in the store.
func (f *Follower) readConfig(ctx context.Context) error {
	return f.runWatch(ctx, &watch{
		name: "config", state: f.fresh.Config(), call: f.callConfig,
		delay: func(time.Time) time.Duration { return 0 },
	})
}

// readTargets is the background task that watches the targets in the store.
func (f *Follower) readTargets(ctx context.Context) error {
	return f.runWatch(ctx, &watch{name: "targets", state: f.fresh.Targets(), call: f.callTargets, delay: f.untilTargetsDue})
}

// readEvacuations is the background task that watches the evacuations in the store.
func (f *Follower) readEvacuations(ctx context.Context) error {
	return f.runWatch(ctx, &watch{name: "evacuations", state: f.fresh.Evacuations(), call: f.callEvacuations, delay: f.untilConfigAnswers})
}

// readRollouts is the background task that watches the rollouts in the store.
func (f *Follower) readRollouts(ctx context.Context) error {
	return f.runWatch(ctx, &watch{name: "rollouts", state: f.fresh.Rollouts(), call: f.callRollouts, delay: f.untilConfigAnswers, urgent: true})
}

// runWatch makes the calls of a watch while this gateway is a reader.
func (f *Follower) runWatch(ctx context.Context, w *watch) error {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialRetry
	whole := false
	for ctx.Err() == nil {
		if wait := f.updateRole(w); wait > 0 {
			if !f.waitForChange(ctx, wait) {
				return nil
			}
			continue
		}
		before := f.position()
		err := f.callStore(ctx, w, whole)
		whole = errors.Is(err, ErrGone)
		changed := f.position() != before
		if wait := f.untilNextCall(err, changed && !w.urgent, retry); wait > 0 && !pause.For(ctx, wait) {
			return nil
		}
	}
	return nil
}

// untilNextCall returns the pause after a call of a watch that ended with an error or none:
// 0 if a list is read next, the batch delay after changes, or an exponential back-off after
// a failure.
func (f *Follower) untilNextCall(err error, gathers bool, retry *backoff.ExponentialBackOff) time.Duration {
	switch {
	case err == nil && gathers:
		retry.Reset()
		return f.batchDelay()
	case err == nil:
		retry.Reset()
		return 0
	case errors.Is(err, ErrGone), errors.Is(err, errRestoring):
		return 0
	default:
		retry.MaxInterval = f.maxRetry()
		return retry.NextBackOff()
	}
}

// callStore makes one call of a watch. After a failed call it pings the store first, which
// costs less while the store remains unreachable.
func (f *Follower) callStore(ctx context.Context, w *watch, whole bool) error {
	timing := f.options.Timing
	if failedBefore := f.beginCall(w); failedBefore {
		pingCtx, cancel := context.WithTimeout(ctx, timing.StaleAfter)
		defer cancel()
		if err := f.options.Source.Ping(pingCtx); err != nil {
			f.endCall(w, err)
			return err
		}
	}
	callCtx, cancel := context.WithTimeout(ctx, timing.WatchWait+timing.WatchSlack)
	defer cancel()
	err := w.call(callCtx, whole)
	f.endCall(w, err)
	return err
}

// beginCall records the start of a call and reports whether the previous one failed.
func (f *Follower) beginCall(w *watch) (failedBefore bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.options.Clock()
	if !w.state.Synced() && !f.fresh.Failing() {
		// Not at each retry: gateways that the store refuses for long must not hold back
		// those that it does not.
		f.noteTry(now)
	}
	w.state.Begin(now)
	return w.state.Failing()
}

// Results of calls to the store, and the calls other than watches, as named in metrics.
const (
	callPing      = "ping"
	callStaleRead = "glance"
	callAnswered  = "answered"
	callFailed    = "failed"
)

// endCall records the result of a call of a watch.
func (f *Follower) endCall(w *watch, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.state.End()
	now := f.options.Clock()
	switch {
	case err == nil:
		f.options.Metrics.StoreCall(w.name, callAnswered)
		f.noteReturn(now)
		f.setFailing(w, nil)
		f.wakeIfStale(f.fresh.RecordAnswer(w.state, now, f.options.Self.ID))
	case errors.Is(err, ErrGone):
		// The list that is requested next shows whether the store is back.
		f.options.Metrics.StoreCall(w.name, callAnswered)
	case errors.Is(err, errRestoring):
		f.options.Metrics.StoreCall(w.name, callAnswered)
		f.setFailing(w, nil)
	default:
		f.options.Metrics.StoreCall(w.name, callFailed)
		f.setFailing(w, err)
		f.ownTry.Failed = true
		if f.tries.Add(now, f.ownTry) {
			f.wake() // others need not wait for this one
		}
		f.fresh.RecordFailure(now)
		f.fresh.RecordUnavailable(now, f.knowsTargets())
	}
}

// setFailing records whether the latest call of a watch failed, and logs a change; the lock
// is held.
func (f *Follower) setFailing(w *watch, err error) {
	if !w.state.SetFailing(err != nil) {
		return
	}
	f.options.Log.Info("store", "watch", w.name, "lost", err != nil, "error", errorText(err))
	f.wake() // callers that wait for a reply, and the other watches, check again
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// batchDelay returns the pause after an update from the store. While no other gateway polls
// this one, no further hops follow, and more updates may accumulate.
func (f *Follower) batchDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isAsked(f.options.Clock()) {
		return f.options.Timing.BatchDelay
	}
	return f.options.Timing.SoloBatchDelay
}

// maxRetry returns the longest pause between two calls while the store fails.
func (f *Follower) maxRetry() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reader.IsPreferred(f.rank(f.options.Clock())) {
		return maxPreferredRetry
	}
	return maxOtherRetry
}

// waitForChange waits until this gateway may have to read the store: for a time, or until
// something changes. It returns false if the context ended.
func (f *Follower) waitForChange(ctx context.Context, wait time.Duration) bool {
	f.mu.Lock()
	changed := f.changed
	f.mu.Unlock()
	timer := time.NewTimer(min(max(wait, minRoleCheckInterval), maxRoleCheckInterval))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// watchWait returns how long the next call of a watch waits for changes.
func (f *Follower) watchWait(state *freshness.Watch) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !state.Synced() {
		return firstWatchWait
	}
	share := minWaitShare + (1-minWaitShare)*rand.Float64()
	return time.Duration(share * float64(f.options.Timing.WatchWait))
}
