// Package jsoncall makes calls to a server that speaks JSON over HTTP, such as the store.
//
// It owns the connections, how long one may take to be made, and how soon a path that was
// cut is noticed. It repeats nothing: a body can't be read again.
//
// # Usage
//
//	caller := jsoncall.New("http://10.0.0.9:8000/objects/")
//	answer, err := caller.Call(ctx, http.MethodGet, "config", nil, &page)
//	if answer.Status() == http.StatusGone {
//		// the server's own answer; err says nothing of it
//	}
package jsoncall

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// maxResponse bounds one answer, in bytes; an object of the store has a megabyte at most.
	maxResponse = 64 << 20
	// connectTimeout bounds the making of a connection. The store answers in
	// milliseconds.
	connectTimeout = time.Second
	// keepAlive is the pause between two TCP keep-alive probes, and keepAliveProbes how many
	// may go without an answer: a cut path ends a call that waits within a second.
	keepAlive       = 250 * time.Millisecond
	keepAliveProbes = 3
)

// Client calls one server.
type Client struct {
	base string
	http *http.Client
}

// New makes a caller of the server whose addresses begin with base. It makes no call yet.
func New(base string) *Client {
	dialer := &net.Dialer{Timeout: connectTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAlive, Interval: keepAlive, Count: keepAliveProbes,
	}}
	return &Client{base: base, http: &http.Client{Transport: &http.Transport{DialContext: dialer.DialContext, DisableCompression: true}}}
}

// Response is what came back.
type Response struct {
	status int
	header http.Header
}

// Status is the answer's; 0 where there was no whole answer.
func (a Response) Status() int { return a.status }

// Header is the value of a header.
func (a Response) Header(name string) string { return a.header.Get(name) }

// Call makes one call, with a body unless that is nil, and reads the answer into a value. The
// error says that there was no whole answer, or one of success that can't be read; another
// answer is read as far as it goes.
func (c *Client) Call(ctx context.Context, method, path string, body, into any) (Response, error) {
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return Response{}, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = response.Body.Close() }() // an error of reading it counts, not of closing
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return Response{}, err
	}
	answer := Response{status: response.StatusCode, header: response.Header}
	err = json.Unmarshal(content, into)
	if err != nil && response.StatusCode < http.StatusMultipleChoices {
		return answer, fmt.Errorf("an answer with status %d can't be read: %w", response.StatusCode, err)
	}
	return answer, nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	if body == nil {
		return http.NewRequestWithContext(ctx, method, c.base+path, nil)
	}
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	// Behind a plain reader: net/http would send it again by itself where it can read it again.
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, io.NopCloser(bytes.NewReader(raw)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(raw))
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
