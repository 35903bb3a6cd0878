// Package resetconn opens connections that are reset when they are closed, also by the end of the
// process: what a network partition holds up of an abandoned request is dropped then, and does not
// reach the target once the partition has healed.
//
// # Usage
//
//	dial := resetconn.Dialer(nil)
//	conn, err := dial(ctx, "tcp", "10.0.0.1:80")
package resetconn

import (
	"context"
	"net"
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a Dial whose TCP connections are reset when they are closed. It opens them by
// dial; nil means a net.Dialer.
func Dialer(dial Dial) Dial {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if err := setReset(conn); err != nil {
			_ = conn.Close() // the error that counts is the first
			return nil, err
		}
		return conn, nil
	}
}

func setReset(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.SetLinger(0)
}
