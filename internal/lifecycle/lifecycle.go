// Package lifecycle holds what the daemons share in running their duties and
// stopping as planned, under oklog/run.
//
// # Usage
//
//	group.Add(func() error { return lifecycle.UntilEnded(ctx, duty) }, ...)
//	group.Add(func() error { return lifecycle.ServeUntil(server.Serve, listener, drained) }, ...)
//	if err := group.Run(); errors.Is(err, lifecycle.ErrStopped) { ... }
package lifecycle

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Duty works until its context ends.
type Duty func(context.Context) error

// ErrStopped ends a group after a planned stop.
var ErrStopped = errors.New("the daemon was stopped as planned")

// UntilEnded keeps an actor of a group alive when its duty is done early.
func UntilEnded(ctx context.Context, d Duty) error {
	if err := d(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// ServeUntil serves clients. A shutdown makes serve return http.ErrServerClosed at
// once, while requests are still in flight: those are waited for, since the first
// actor that returns ends the whole group.
func ServeUntil(serve func(net.Listener) error, l net.Listener, drained <-chan struct{}) error {
	err := serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-drained
		return ErrStopped
	}
	return err
}
