// Package lifecycle holds what both daemons need to run background tasks and to
// shut down gracefully under oklog/run.
//
// # Usage
//
//	group.Add(func() error { return lifecycle.RunUntilCancelled(ctx, task) }, ...)
//	group.Add(func() error { return lifecycle.ServeUntilDrained(server.Serve, listener, drained) }, ...)
//	if err := group.Run(); errors.Is(err, lifecycle.ErrStopped) { ... }
package lifecycle

import (
	"context"
	"errors"
	"net"
	"net/http"
)

// Task is background work that runs until its context is cancelled or it has no more to do.
type Task func(context.Context) error

// ErrStopped is returned by an actor of a group after a graceful shutdown.
var ErrStopped = errors.New("the daemon was shut down gracefully")

// RunUntilCancelled runs task and, if it finishes early without an error, waits until ctx
// is cancelled: the first actor that returns would stop the whole group.
func RunUntilCancelled(ctx context.Context, task Task) error {
	if err := task(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// ServeUntilDrained runs serve on l until the server has been shut down and drained is
// closed. On shutdown, serve returns http.ErrServerClosed at once, while requests are
// still in flight. ServeUntilDrained waits for them, since the first actor that
// returns stops the whole group.
func ServeUntilDrained(serve func(net.Listener) error, l net.Listener, drained <-chan struct{}) error {
	err := serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		<-drained
		return ErrStopped
	}
	return err
}
