// Package rpclink provides a connection to another gateway for short net/rpc calls. It is
// dialed on demand, reused by the next call, and closed if a reply does not arrive in time.
//
// The package owns the connection. It does not retry calls. A Link is for use by one
// goroutine.
//
// # Usage
//
//	link := rpclink.New(dial, 300*time.Millisecond)
//	reply, err := rpclink.Call[ReportReply](ctx, link, "10.0.0.7:7000", "Delivery.Report", args)
//	link.Close()
package rpclink

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/rpcconn"
)

// maxMessageBytes bounds a reply: reports, limits and credits of one gateway have some
// kilobytes.
const maxMessageBytes = 1 << 20

// ErrNoAnswer says that the other gateway did not answer in time.
var ErrNoAnswer = errors.New("the gateway did not answer in time")

// Link is a connection to the gateway that was called last.
type Link struct {
	dial    func(ctx context.Context, network, address string) (net.Conn, error)
	timeout time.Duration
	address string
	client  *rpc.Client
}

// New creates a Link without a connection. The timeout bounds each call, from dialing to
// the reply.
func New(dial func(ctx context.Context, network, address string) (net.Conn, error), timeout time.Duration) *Link {
	return &Link{dial: dial, timeout: timeout}
}

// Call calls a method at an address and returns its reply, or the zero R with an error,
// since the reply of an abandoned call may still be written to. An error that the other
// side returned leaves the connection open.
func Call[R any](ctx context.Context, l *Link, address, method string, args any) (R, error) {
	var reply, zero R
	if err := l.call(ctx, address, method, args, &reply); err != nil {
		return zero, err
	}
	return reply, nil
}

func (l *Link) call(ctx context.Context, address, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	if err := l.connect(ctx, address); err != nil {
		if ctx.Err() != nil {
			return ErrNoAnswer
		}
		return err
	}
	call := l.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	var err error
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		l.Close() // the reply may still be written to
		return ErrNoAnswer
	}
	var serverError rpc.ServerError
	if err != nil && !errors.As(err, &serverError) {
		l.Close()
	}
	return err
}

// connect dials an address unless the link is connected to it already.
func (l *Link) connect(ctx context.Context, address string) error {
	if l.client != nil && l.address == address {
		return nil
	}
	l.Close()
	conn, err := l.dial(ctx, "tcp", address)
	if err != nil {
		return err
	}
	l.address, l.client = address, rpcconn.NewClient(conn, maxMessageBytes)
	return nil
}

// Close closes the connection.
func (l *Link) Close() {
	if l.client != nil {
		_ = l.client.Close() // nothing depends on an error here
	}
	l.client = nil
}
