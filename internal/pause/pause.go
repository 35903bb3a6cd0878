// Package pause provides delays and periodic calls that end when a context is cancelled.
//
// # Usage
//
//	if !pause.For(ctx, time.Second) {
//		return // ctx was cancelled first
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx is done if that is sooner. It reports whether d has elapsed.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every returns a background task that calls f at the end of each period until its context is
// cancelled. The next period begins when f returns.
func Every(period time.Duration, f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for For(ctx, period) {
			f(ctx)
		}
		return nil
	}
}
