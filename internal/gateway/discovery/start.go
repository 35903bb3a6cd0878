package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// start is the duty of a gateway that knows nothing while its clients wait: unless
// others send it everything first, it reads the store's older copy. What it saw may be seconds old
// and is not sent to others; all is still asked of them.
func (f *Follower) start(ctx context.Context) error {
	for !f.options.FirstStart && !f.hasBegun() {
		if wait := f.untilStaleRead(); wait > 0 {
			if !f.idle(ctx, wait) {
				return nil
			}
			continue
		}
		if f.staleRead(ctx) || !f.idle(ctx, quietPause) {
			return nil
		}
	}
	return nil
}

// hasBegun says whether there is something to serve by.
func (f *Follower) hasBegun() bool {
	select {
	case <-f.ready:
		return true
	default:
		return false
	}
}

func (f *Follower) untilStaleRead() (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return reader.UntilStaleRead(f.readerState(f.options.Clock()))
}

// staleRead reads the store's older copy and says whether it saw anything.
func (f *Follower) staleRead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.SilentAfter)
	defer cancel()
	seen, err := f.options.Source.StaleRead(ctx)
	if err != nil {
		f.options.Metrics.StoreCall(callStaleRead, callFailed)
		f.options.Log.Info("no glance at the store", "error", err.Error())
		return false
	}
	f.options.Metrics.StoreCall(callStaleRead, callAnswered)
	if seen.Config == nil {
		return false
	}
	guess, ok := f.guess(ctx, seen)
	if ok {
		f.apply(fromStaleRead, func(c *catalog.Catalog) catalog.Changed { return c.LoadStale(guess) })
	}
	return ok
}

// guess completes a stale read with those of the evacuations and of the rollouts, where these
// are followed; ok is false if it must not be served by.
func (f *Follower) guess(ctx context.Context, seen StaleRead) (guess catalog.StaleCopy, ok bool) {
	guess = catalog.StaleCopy{Version: seen.Config.Version, Body: seen.Config.Body, Targets: ownTargets(seen.Targets)}
	if f.options.Source.followsEvacuations() {
		evacuations, err := f.options.Source.StaleEvacuations(ctx)
		if guess.Evacuations = evacuations.Items; err != nil {
			// It serves all the same: they are known before anything is due of it.
			f.options.Metrics.StoreCall(callStaleRead, callFailed)
			f.options.Log.Info("no glance at the evacuations", "error", err.Error())
		}
	}
	if f.options.Source.followsRollouts() {
		// Without them a version that is only on trial would be taken for one in service.
		rollouts, err := f.options.Source.StaleRollouts(ctx)
		if guess.Rollouts = rollouts.Items; err != nil {
			f.options.Metrics.StoreCall(callStaleRead, callFailed)
			f.options.Log.Info("no glance at the rollouts; it does not serve by what it saw", "error", err.Error())
			return guess, false
		}
	}
	return guess, true
}
