package httpconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.RoundTripper whose connections are Conns.
type Transport struct{ base *http.Transport }

// NewTransport returns a Transport that uses base, which it changes to dial Conns, and that
// does not fail for answers that come before their request was written. It is for servers
// without TLS.
func NewTransport(base *http.Transport) *Transport {
	dial := base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := New(raw)
		conn.holdErrors = true // net/http would drop an answer that came before the error
		return conn, nil
	}
	return &Transport{base: base}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	traced := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.expectAnswer()
			used.Store(conn)
		}
	}})
	response, err := t.base.RoundTrip(r.WithContext(traced))
	if err != nil {
		return nil, withServerError(err, used.Load())
	}
	checkTrailer(response)
	return response, nil
}

// withServerError returns err with the error of the server that caused it. net/http may return
// the error of the write that an invalid answer ended.
func withServerError(err error, conn *Conn) error {
	if conn == nil {
		return err
	}
	cause := conn.serverError()
	if cause == nil || errors.Is(err, cause) {
		return err
	}
	return fmt.Errorf("%w: %w", cause, err)
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
