package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/reader"
)

// start is the duty of a gateway that knows nothing while its clients wait: unless
// others tell it first, it takes a glance at the store. What it saw may be seconds old
// and is nothing to tell others; all is still asked of them.
func (f *Follower) start(ctx context.Context) error {
	for !f.options.FirstStart && !f.hasBegun() {
		if wait := f.untilGlance(); wait > 0 {
			if !f.idle(ctx, wait) {
				return nil
			}
			continue
		}
		if f.glance(ctx) || !f.idle(ctx, quietPause) {
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

func (f *Follower) untilGlance() (wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return reader.UntilGlance(f.readerState(f.options.Clock()))
}

// glance takes a glance at the store and says whether it saw anything.
func (f *Follower) glance(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, f.options.Timing.SilentAfter)
	defer cancel()
	seen, err := f.options.Source.Glance(ctx)
	if err != nil {
		f.options.Metrics.StoreCall(callGlance, callFailed)
		f.options.Log.Info("no glance at the store", "error", err.Error())
		return false
	}
	f.options.Metrics.StoreCall(callGlance, callAnswered)
	if seen.Config == nil {
		return false
	}
	guess, ok := f.guess(ctx, seen)
	if ok {
		f.apply(fromGlance, func(c *catalog.Catalog) catalog.Changed { return c.Guess(guess) })
	}
	return ok
}

// guess completes a glance with one at the evacuations and one at the rollouts, where these
// are followed; ok is false if it must not be served by.
func (f *Follower) guess(ctx context.Context, seen Glance) (guess catalog.Guess, ok bool) {
	guess = catalog.Guess{Version: seen.Config.Version, Body: seen.Config.Body, Targets: ownTargets(seen.Targets)}
	if f.options.Source.followsEvacuations() {
		evacuations, err := f.options.Source.GlanceEvacuations(ctx)
		if guess.Evacuations = evacuations.Items; err != nil {
			// It serves all the same: they are known before anything is due of it.
			f.options.Metrics.StoreCall(callGlance, callFailed)
			f.options.Log.Info("no glance at the evacuations", "error", err.Error())
		}
	}
	if f.options.Source.followsRollouts() {
		// Without them a version that is only on trial would be taken for one in service.
		rollouts, err := f.options.Source.GlanceRollouts(ctx)
		if guess.Rollouts = rollouts.Items; err != nil {
			f.options.Metrics.StoreCall(callGlance, callFailed)
			f.options.Log.Info("no glance at the rollouts; it does not serve by what it saw", "error", err.Error())
			return guess, false
		}
	}
	return guess, true
}
