package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// ping is the duty of confirming, between the answers of the watches, that the
// store can be reached, as long as other gateways rely on this one: a watch
// whose path is cut waits in silence.
func (f *Follower) ping(ctx context.Context) error {
	for pause.For(ctx, f.options.Timing.PingInterval) {
		began := f.options.Clock()
		if !f.hasDependents(began) {
			continue
		}
		pingCtx, cancel := context.WithTimeout(ctx, f.options.Timing.StaleAfter)
		err := f.options.Source.Ping(pingCtx)
		cancel()
		f.recordPing(began, err)
	}
	return nil
}

// hasDependents says whether this gateway's watches are in order and others ask for
// what they report.
func (f *Follower) hasDependents(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Reads(now) && f.isAsked(now)
}

// isAsked says whether other gateways learn of updates from this one: they ask it, or it
// is linked to one; the lock is held.
func (f *Follower) isAsked(now time.Time) bool {
	timing := f.options.Timing
	asked := !f.lastAskedAt.IsZero() && now.Sub(f.lastAskedAt) < timing.PollWait+timing.PollSlack
	return asked || f.neighbourIDs != [neighbourCount]string{}
}

// recordPing works in how a ping that began at a moment ended. One that failed is
// counted and no more: the watches find out whether the store is lost.
func (f *Follower) recordPing(began time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.options.Metrics.StoreCall(callPing, callFailed)
		return
	}
	f.options.Metrics.StoreCall(callPing, callAnswered)
	f.wakeIfStale(f.fresh.Pinged(began, f.options.Self.ID))
}
