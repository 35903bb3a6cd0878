package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// Ping is the duty of confirming, between the answers of the watches, that the
// store can be reached, as long as other gateways rely on this one: a watch
// whose path is cut waits in silence.
func (f *Follower) Ping(ctx context.Context) error {
	for pause.For(ctx, f.options.Timing.Ping) {
		at := f.options.Clock()
		if !f.relied(at) {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, f.options.Timing.SilentAfter)
		err := f.options.Source.Ping(callCtx)
		cancel()
		f.pinged(at, err)
	}
	return nil
}

// relied says whether this gateway's watches are in order and others ask for
// what they tell.
func (f *Follower) relied(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.readsItself(now) && f.isAsked(now)
}

// isAsked says whether other gateways ask this one for news; the lock is held.
func (f *Follower) isAsked(now time.Time) bool {
	timing := f.options.Timing
	return !f.asked.IsZero() && now.Sub(f.asked) < timing.Poll+timing.PollSlack
}

func (f *Follower) pinged(at time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.options.Metrics.StoreCall(callPing, callFailed)
		return
	}
	f.options.Metrics.StoreCall(callPing, callAnswered)
	f.config.pinged(at, f.options.Timing)
	f.targets.pinged(at, f.options.Timing)
	f.confirm(earlier(f.config.confirmed, f.targets.confirmed), f.options.Self.ID)
}
