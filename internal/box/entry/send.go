package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/box/policy"
	"github.com/sprucecrank/sprucecrank/core/box/health"
	"github.com/sprucecrank/sprucecrank/core/box/ledger"
	"github.com/sprucecrank/sprucecrank/internal/box/telemetry"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/internal/httpconn"
	"github.com/sprucecrank/sprucecrank/internal/resetconn"
	"github.com/sprucecrank/sprucecrank/verdict"
)

const (
	dialTimeout     = time.Second
	idleConnTimeout = 30 * time.Second
	maxHeaderBytes  = 64 << 10
	// shedPauseDefault is when to come back after a target shed the request.
	shedPauseDefault = 200 * time.Millisecond
	// longestShedPause bounds that pause where the target asks for a long one: others may be added.
	longestShedPause = time.Minute
)

// transports keeps one transport for each limit of connections per target.
type transports struct {
	dial  resetconn.Dial
	mu    sync.Mutex
	kept  map[int]*httpconn.Transport
	fresh map[int]*httpconn.Transport
}

func newTransports(dial resetconn.Dial) *transports {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &transports{dial: resetconn.Dialer(dial), kept: map[int]*httpconn.Transport{}, fresh: map[int]*httpconn.Transport{}}
}

// get finds the transport for a limit. A fresh one never uses a connection
// twice: no request on it can meet a connection that the target is closing,
// nor an answer that another request left behind.
func (t *transports) get(limit int, fresh bool) *httpconn.Transport {
	t.mu.Lock()
	defer t.mu.Unlock()
	set := t.kept
	if fresh {
		set = t.fresh
	}
	if set[limit] == nil {
		set[limit] = httpconn.NewTransport(&http.Transport{
			DialContext:            t.dial,
			MaxConnsPerHost:        limit,
			MaxIdleConnsPerHost:    limit,
			IdleConnTimeout:        idleConnTimeout,
			DisableCompression:     true,
			DisableKeepAlives:      fresh,
			MaxResponseHeaderBytes: maxHeaderBytes,
		})
	}
	return set[limit]
}

func (t *transports) closeIdle() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, one := range t.kept {
		one.CloseIdleConnections()
	}
}

// exchange is one request of a client on its way through the box.
type exchange struct {
	id       string
	in       *http.Request
	service  *policy.Service
	kind     *policy.Kind
	began    time.Time
	deadline time.Time
	// body is the whole body when it is small; otherwise stream holds it, and
	// only one try can be made.
	body   []byte
	stream io.Reader
}

func (x *exchange) repeatable() bool {
	return x.kind.Mode == policy.Repeatable && x.stream == nil
}

// reply is a target's answer whose body is still to come.
type reply struct {
	response *http.Response
	shed     bool
}

// outgoing makes the request of one try.
func (x *exchange) outgoing(ctx context.Context, target string, now time.Time) *http.Request {
	r := &http.Request{
		Method:        x.in.Method,
		URL:           &url.URL{Scheme: "http", Host: target, Path: x.in.URL.Path, RawPath: x.in.URL.RawPath, RawQuery: x.in.URL.RawQuery},
		Host:          x.in.Host,
		Header:        outbound(x.in, x.id, x.deadline.Sub(now)),
		ContentLength: x.in.ContentLength,
		Trailer:       x.in.Trailer,
	}
	telemetry.Inject(ctx, r.Header)
	r.Body = x.requestBody()
	return r.WithContext(ctx)
}

// requestBody gives the transport a body that it can't rewind wherever it would
// otherwise send the request again by itself.
func (x *exchange) requestBody() io.ReadCloser {
	switch {
	case x.stream != nil:
		return io.NopCloser(x.stream)
	case len(x.body) == 0 && !x.transportRepeats():
		return http.NoBody
	default:
		return io.NopCloser(bytes.NewReader(x.body))
	}
}

// transportRepeats says whether http.Transport would repeat this request, were
// it without a body, when a kept connection breaks, though its kind may not be
// repeated. Requests that run at most once never meet a kept connection.
func (x *exchange) transportRepeats() bool {
	if x.kind.Mode != policy.Single {
		return false
	}
	switch x.in.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	}
	return x.in.Header.Get(HeaderKey) != "" || x.in.Header.Get("X-Idempotency-Key") != ""
}

// send sends one try and waits for the head of its answer.
func (h *Handler) send(ctx context.Context, x *exchange, target string) (*reply, *verdict.Error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	limit := max(x.service.ConnectionsOf(target)/h.options.MaxBoxes, 1)
	response, err := h.transports.get(limit, x.kind.Mode == policy.Once).RoundTrip(x.outgoing(traced, target, h.options.Clock()))
	if err != nil {
		return nil, sendFailure(ctx, err, connected.Load())
	}
	if foreign(x, response) {
		_ = response.Body.Close()
		return nil, verdict.New(verdict.MayHaveRun, verdict.ReasonTargetFailed, "the target answered with another request's id")
	}
	return &reply{response: response, shed: isShed(x.service, response)}, nil
}

// foreign says whether an answer belongs to another request: a target that
// answers twice leaves its second answer to the next request of the connection.
func foreign(x *exchange, r *http.Response) bool {
	echoed := r.Header.Get(HeaderRequestID)
	if echoed == "" {
		return x.service.EchoID
	}
	return echoed != x.id
}

func sendFailure(ctx context.Context, err error, connected bool) *verdict.Error {
	v := verdict.MayHaveRun
	reason := verdict.ReasonTargetFailed
	detail := "the connection to the target broke before its answer"
	if !connected {
		v = verdict.NotRun
		reason = verdict.ReasonUnreachable
		detail = "no connection to the target could be made"
	}
	switch {
	case errors.Is(context.Cause(ctx), context.DeadlineExceeded):
		reason = verdict.ReasonDeadline
		detail = "the target did not answer before the deadline"
	case ctx.Err() != nil:
		reason = verdict.ReasonClientGone
		detail = "the client hung up"
	}
	return verdict.New(v, reason, detail).WithCause(err).WithRetryAfter(shedPauseDefault)
}

// isShed believes a target's word that it did not run the request only where
// the service's settings say so.
func isShed(s *policy.Service, r *http.Response) bool {
	return s.TrustShed && r.StatusCode == http.StatusServiceUnavailable && r.Header.Get(HeaderTargetVerdict) == TargetNotRun
}

func shedFailure(r *http.Response) *verdict.Error {
	pause := shedPauseDefault
	if d, err := headers.BackOff(r, time.Now()); err == nil && d > 0 {
		pause = min(d, longestShedPause)
	}
	return verdict.New(verdict.NotRun, verdict.ReasonShed, "the target refused the request for its load").WithRetryAfter(pause)
}

// outcome describes how a try ended to the home's ledger.
func (h *Handler) outcome(r *http.Response, result health.Result, took time.Duration) ledger.Outcome {
	o := ledger.Outcome{Result: result, Took: took}
	if r == nil {
		return o
	}
	if err := ReadTargetState(r, &o); err != nil {
		h.options.Log.Warn("back-off of a target passed over", "target", r.Request.URL.Host, "error", err.Error())
	}
	return o
}

// resultOf judges the target by the status of its answer.
func resultOf(rep *reply) health.Result {
	switch {
	case rep.shed:
		return health.Shed
	case rep.response.StatusCode >= http.StatusInternalServerError:
		return health.Failed
	default:
		return health.OK
	}
}

// resultOfFailure judges the target by a try without an answer.
func resultOfFailure(f *verdict.Error) health.Result {
	switch f.Reason() {
	case verdict.ReasonUnreachable:
		return health.Unreachable
	case verdict.ReasonClientGone, verdict.ReasonDeadline:
		return health.Cancelled
	default:
		return health.Failed
	}
}

// ReadTargetState adds what a target's answer says of its start, of leaving and of back-off. A
// start that is left out or no number is 0: it tells no life from another. It fails if the
// back-off that the target asks for can't be read; then it asks for none.
func ReadTargetState(r *http.Response, o *ledger.Outcome) (err error) {
	h := r.Header
	if start, err := strconv.ParseUint(h.Get(HeaderTargetStart), 10, 64); err == nil {
		o.Start = start
	}
	o.Leaving = h.Get(HeaderTargetState) == TargetLeaving
	o.BackOff, err = headers.BackOff(r, time.Now())
	return err
}
