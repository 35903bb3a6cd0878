package discovery

import (
	"context"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/pause"
)

// ping is the background task that confirms, between the responses of the watches, that the
// store is reachable, as long as other gateways rely on this one: a watch whose connection
// is cut keeps waiting without an error.
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

// hasDependents reports whether this gateway's watches are working and others poll it for
// what they report.
func (f *Follower) hasDependents(now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.WatchesLive(now) && f.isAsked(now)
}

// isAsked reports whether other gateways receive updates from this one: they poll it, or it
// has neighbours; the lock is held.
func (f *Follower) isAsked(now time.Time) bool {
	timing := f.options.Timing
	asked := !f.lastAskedAt.IsZero() && now.Sub(f.lastAskedAt) < timing.PollWait+timing.PollSlack
	return asked || f.neighbourIDs != [neighbourCount]string{}
}

// recordPing records the result of a ping that began at a time. A failure is only counted:
// the watches detect whether the store is lost.
func (f *Follower) recordPing(began time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.options.Metrics.StoreCall(callPing, callFailed)
		return
	}
	f.options.Metrics.StoreCall(callPing, callAnswered)
	f.wakeIfStale(f.fresh.RecordPing(began, f.options.Self.ID))
}
