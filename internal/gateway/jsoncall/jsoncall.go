// Package jsoncall calls a server that speaks JSON over HTTP, such as the store.
//
// It owns the connections, the timeout for dialing them, and the keep-alive settings that
// detect a broken path. It does not retry calls: a request body can't be read twice.
//
// # Usage
//
//	client := jsoncall.New("http://10.0.0.9:8000/objects/", log)
//	response, err := client.Call(ctx, http.MethodGet, "config", nil, &page)
//	if response.Status() == http.StatusGone {
//		// the server's response; err does not report its status
//	}
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/rawjson"
)

const (
	// maxResponse bounds the size of a response, in bytes: a page of a list has about a
	// megabyte, the changes of some seconds a few.
	maxResponse = 16 << 20
	// connectTimeout bounds the dialing of a connection. The store answers within
	// milliseconds.
	connectTimeout = time.Second
	// keepAlive is the pause between two TCP keep-alive probes, and keepAliveProbes how
	// many may remain unanswered: a broken path ends a waiting call within a second.
	keepAlive       = 250 * time.Millisecond
	keepAliveProbes = 3
)

// Client calls one server.
type Client struct {
	base string
	log  *slog.Logger
	http *http.Client
}

// New creates a Client for the server whose URLs begin with base, which logs elements of lists
// that can't be decoded. It makes no call yet.
func New(base string, log *slog.Logger) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}}
	return &Client{base: base, log: log, http: &http.Client{
		Transport: httpconn.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableCompression: true}),
	}}
}

// Response is the status and header of a response.
type Response struct {
	status int
	header http.Header
}

// Status returns the status code; 0 if there was no complete response.
func (r Response) Status() int { return r.status }

// Header returns the value of a header.
func (r Response) Header(name string) string { return r.header.Get(name) }

// Call makes one call, with a body unless that is nil, and decodes the response into a
// value, as rawjson.Unmarshal does. The error says that there was no complete response, or
// that one of success can't be decoded; any other response is decoded as far as possible.
func (c *Client) Call(ctx context.Context, method, path string, body, into any) (Response, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return Response{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, err
	}
	content, err := httpconn.ReadBody(response, maxResponse)
	if err != nil {
		return Response{}, err
	}
	result := Response{status: response.StatusCode, header: response.Header}
	err = rawjson.UnmarshalAndLog(content, into, c.log, "elements of a list can't be decoded", "path", path)
	if err != nil && response.StatusCode < http.StatusMultipleChoices {
		return result, fmt.Errorf("decoding a response with status %d: %w", response.StatusCode, err)
	}
	return result, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.base+path, nil)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	// A plain reader: with one that it can rewind, net/http would retry by itself.
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(raw))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
