package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// bootstrap is the background task of a gateway that starts without any state while its
// clients wait: it reads the store's older copy unless other gateways send it the full
// state first. What it reads may be seconds old and is not sent to others; the current
// state is still requested from them.
func (f *Follower) bootstrap(ctx context.Context) error {
	for !f.options.FirstStart && !f.isReady() {
		if wait := f.untilStaleRead(); wait > 0 {
			if !f.waitForChange(ctx, wait) {
				return nil
			}
			continue
		}
		if f.staleRead(ctx) || !f.waitForChange(ctx, noPeerPause) {
			return nil
		}
	}
	return nil
}

// isReady reports whether there is a state to serve by.
func (f *Follower) isReady() bool {
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

// staleRead reads the store's older copy and reports whether that gave a usable state.
func (f *Follower) staleRead(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.StaleAfter)
	defer cancel()
	stale, err := f.options.Source.StaleRead(ctx)
	if err != nil {
		f.options.Metrics.StoreCall(callStaleRead, callFailed)
		f.options.Log.Info("stale read of the store failed", "error", err.Error())
		return false
	}
	f.options.Metrics.StoreCall(callStaleRead, callAnswered)
	if stale.Config == nil {
		return false
	}
	staleCopy, ok := f.completeStaleRead(ctx, stale)
	if ok {
		f.apply(fromStaleRead, func(c *catalog.Catalog) catalog.Changed { return c.LoadStale(staleCopy) })
	}
	return ok
}

// completeStaleRead adds the stale evacuations and rollouts, where these are followed; ok
// is false if the result must not be used for serving.
func (f *Follower) completeStaleRead(ctx context.Context, stale StaleRead) (staleCopy catalog.StaleCopy, ok bool) {
	staleCopy = catalog.StaleCopy{Version: stale.Config.Version, Body: stale.Config.Body, Targets: ownTargets(stale.Targets)}
	if f.options.Source.followsEvacuations() {
		evacuations, err := f.options.Source.StaleEvacuations(ctx)
		if staleCopy.Evacuations = evacuations.Items; err != nil {
			// It serves nevertheless: the evacuations are known before it has to apply them.
			f.options.Metrics.StoreCall(callStaleRead, callFailed)
			f.options.Log.Info("stale read of the evacuations failed", "error", err.Error())
		}
	}
	if f.options.Source.followsRollouts() {
		// Without them, a version that is only on trial would be treated as one in service.
		rollouts, err := f.options.Source.StaleRollouts(ctx)
		if staleCopy.Rollouts = rollouts.Items; err != nil {
			f.options.Metrics.StoreCall(callStaleRead, callFailed)
			f.options.Log.Info("stale read of the rollouts failed; the stale state is not used", "error", err.Error())
			return staleCopy, false
		}
	}
	return staleCopy, true
}
