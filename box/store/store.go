// Package store is the client of the platform's object API: versioned
// objects, conditional updates, lists, watches and the lists of members.
//
// Every call may fail in three ways that matter: the platform refused it
// (Conflict, NotFound), it certainly did nothing (Unavailable), or nobody
// knows (Ambiguous). PutSettled turns an ambiguous write into a definite one:
// a conditional update may be sent again, because at most one of the copies
// can find the version that it expects.
//
// It owns the calls and their rate; it keeps no object. It relies on the versions of
// the object API growing. Errors say which of the three a failure was.
//
// # Usage
//
//	c := store.New(store.Options{Address: "10.0.0.2:7000"})
//	object, err := c.Get(ctx, "services/preview")
//	version, err := c.Objects().PutSettled(ctx, object.Key, value, object.Version, mine)
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/rawjson"
)

// Errors of the object API.
var (
	// ErrNotFound says that there is no such object.
	ErrNotFound = errors.New("no such object")
	// ErrConflict says that the object has another version than expected.
	ErrConflict = errors.New("the object has another version than expected")
	// ErrUnavailable says that the call certainly did nothing.
	ErrUnavailable = errors.New("the platform is unavailable")
	// ErrAmbiguous says that a write may or may not have been applied.
	ErrAmbiguous = errors.New("the platform's answer was lost; the write may have been applied")
	// ErrRejected says that the platform does not take the call as it is, such
	// as a value that is too large; sending it again would not help.
	ErrRejected = errors.New("the platform does not take this call")
	// ErrGone says that a watch asked for events that are no longer kept.
	ErrGone = errors.New("the events asked for are no longer kept")
)

// MaxValue is the largest value that the platform holds, in bytes.
const MaxValue = 1 << 20

// maxAnswer bounds an answer, in bytes: a list holds many values.
const maxAnswer = 64 * MaxValue

// Object is one value at one version. Versions of a key only grow.
type Object struct {
	Key     string          `json:"key"`
	Version uint64          `json:"version"`
	Value   json.RawMessage `json:"value"`
}

// Snapshot is a list of objects, or the events since a revision.
type Snapshot struct {
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// State is what the platform's list says of a member.
type State string

// The states of a member.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Member is a box or target in the platform's lagging list.
type Member struct {
	ID      string `json:"id"`
	Address string `json:"address"`
	// Admin is the address of a box's administration API.
	Admin string `json:"admin,omitempty"`
	Hall  string `json:"hall"`
	State State  `json:"state"`
	// Start numbers the member's starts; a restart has a greater one.
	Start uint64 `json:"start,omitempty"`
}

// Options configure a Client.
type Options struct {
	// Address is the platform's IP number and port.
	Address string
	// CallsPerSecond bounds all calls of this client; 0 means no bound.
	CallsPerSecond float64
	// Burst is how many calls may be made at once; 0 means 20.
	Burst int
	// Timeout bounds one call; 0 means 2 s.
	Timeout time.Duration
	// Log may be nil, which discards the log.
	Log *slog.Logger
}

// Client talks to the object API. It is safe for concurrent use.
type Client struct {
	base    string
	http    *http.Client
	limiter *rate.Limiter
	timeout time.Duration
	log     *slog.Logger
	reads   atomic.Uint64
	writes  atomic.Uint64
}

// New makes a client; it makes no call yet.
func New(o Options) *Client {
	if o.Timeout == 0 {
		o.Timeout = 2 * time.Second
	}
	if o.Burst == 0 {
		o.Burst = 20
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	limit := rate.Inf
	if o.CallsPerSecond > 0 {
		limit = rate.Limit(o.CallsPerSecond)
	}
	return &Client{
		base:    "http://" + o.Address,
		http:    &http.Client{Transport: httpconn.NewTransport(&http.Transport{MaxIdleConnsPerHost: 64})},
		limiter: rate.NewLimiter(limit, o.Burst),
		timeout: o.Timeout,
		log:     o.Log,
	}
}

// Calls counts the calls made: reads (watches among them) and writes.
func (c *Client) Calls() (reads, writes uint64) { return c.reads.Load(), c.writes.Load() }

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	res, err := c.call(ctx, http.MethodGet, objectPath(key), nil, "", c.timeout)
	if err != nil {
		return Object{}, err
	}
	version, err := strconv.ParseUint(unquoteTag(res.tag), 10, 64)
	if err != nil {
		return Object{}, fmt.Errorf("%w: ETag %q is not a version", ErrUnavailable, res.tag)
	}
	return Object{Key: key, Version: version, Value: res.body}, nil
}

// Put writes value if the object has the expected version; 0 expects none.
// It returns the new version.
func (c *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	res, err := c.call(ctx, http.MethodPut, objectPath(key), value, matchTag(expect), c.timeout)
	if err != nil {
		return 0, err
	}
	version, err := strconv.ParseUint(unquoteTag(res.tag), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: ETag %q is not a version", ErrAmbiguous, res.tag)
	}
	return version, nil
}

// Delete removes the object if it has the expected version.
func (c *Client) Delete(ctx context.Context, key string, expect uint64) error {
	_, err := c.call(ctx, http.MethodDelete, objectPath(key), nil, matchTag(expect), c.timeout)
	return err
}

// Objects are the two calls that a settled write is made of; tests put faults
// here.
func (c *Client) Objects() Objects { return Objects{Get: c.Get, Put: c.Put} }

// List reads all objects under a prefix; the list may lag.
func (c *Client) List(ctx context.Context, prefix string) (Snapshot, error) {
	return c.snapshot(ctx, "/v1/objects?prefix="+url.QueryEscape(prefix), c.timeout)
}

// Watch waits up to wait for events under prefix after revision from.
// It returns an empty snapshot when none came.
func (c *Client) Watch(ctx context.Context, prefix string, from uint64, wait time.Duration) (Snapshot, error) {
	path := fmt.Sprintf("/v1/watch?prefix=%s&from=%d&wait_ms=%d", url.QueryEscape(prefix), from, wait.Milliseconds())
	return c.snapshot(ctx, path, wait+c.timeout)
}

func (c *Client) snapshot(ctx context.Context, path string, timeout time.Duration) (Snapshot, error) {
	var s Snapshot
	res, err := c.call(ctx, http.MethodGet, path, nil, "", timeout)
	if err != nil {
		return s, err
	}
	if err := c.decodeList(res.body, &s); err != nil {
		return s, fmt.Errorf("%w: bad list: %w", ErrUnavailable, err)
	}
	return s, nil
}

// Members reads the lagging list of "boxes" or "targets".
func (c *Client) Members(ctx context.Context, list string) ([]Member, error) {
	res, err := c.call(ctx, http.MethodGet, "/v1/members/"+list, nil, "", c.timeout)
	if err != nil {
		return nil, err
	}
	var members []Member
	if err := c.decodeList(res.body, &members); err != nil {
		return nil, fmt.Errorf("%w: bad members: %w", ErrUnavailable, err)
	}
	return members, nil
}

// decodeList decodes a list. Elements that can't be decoded cost only themselves.
func (c *Client) decodeList(body []byte, into any) error {
	return rawjson.UnmarshalAndLog(body, into, c.log, "elements of a list can't be decoded")
}

type result struct {
	body []byte
	tag  string
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, match string, timeout time.Duration) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return result{}, fmt.Errorf("%w: call budget spent: %w", ErrUnavailable, err)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	setMatch(req, match)
	write := method != http.MethodGet
	c.count(write)
	res, err := c.http.Do(req)
	if err != nil {
		return result{}, transportError(write, err)
	}
	raw, err := httpconn.ReadBody(res, maxAnswer)
	if err != nil {
		return result{}, transportError(write, err)
	}
	return result{body: raw, tag: res.Header.Get("ETag")}, statusError(write, res.StatusCode)
}

func (c *Client) count(write bool) {
	if write {
		c.writes.Add(1)
		return
	}
	c.reads.Add(1)
}

// transportError tells a write that never left from one whose answer was lost.
func transportError(write bool, err error) error {
	var op *net.OpError
	neverSent := errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
	if write && !neverSent {
		return fmt.Errorf("%w: %w", ErrAmbiguous, err)
	}
	return fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func statusError(write bool, status int) error {
	switch {
	case status < http.StatusMultipleChoices:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusGone:
		return ErrGone
	case status == http.StatusTooManyRequests, status >= http.StatusInternalServerError && !write:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	case status < http.StatusInternalServerError:
		return fmt.Errorf("%w: status %d", ErrRejected, status)
	default:
		return fmt.Errorf("%w: status %d", ErrAmbiguous, status)
	}
}

func objectPath(key string) string { return "/v1/objects/" + key }

func matchTag(expect uint64) string {
	if expect == 0 {
		return anyTag
	}
	return Tag(expect)
}

func setMatch(req *http.Request, match string) {
	switch match {
	case "":
	case anyTag:
		req.Header.Set("If-None-Match", "*")
	default:
		req.Header.Set("If-Match", match)
	}
}

func unquoteTag(tag string) string {
	if s, err := strconv.Unquote(tag); err == nil {
		return s
	}
	return tag
}
