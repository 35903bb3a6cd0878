// Package pause waits, and repeats, until a context ends.
//
// # Usage
//
//	if !pause.For(ctx, time.Second) {
//		return // ctx ended first
//	}
package pause

import (
	"context"
	"time"
)

// For waits for d and reports whether ctx still goes on.
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

// Every makes a duty that calls f regularly until its context ends.
func Every(period time.Duration, f func(context.Context)) func(context.Context) error {
	return func(ctx context.Context) error {
		for For(ctx, period) {
			f(ctx)
		}
		return nil
	}
}
