// Package forward is the gateway's data path: it takes a client's request,
// finds its route, chooses a target by fresh readings of load, sends the
// request as often as its route, the budget and the clock allow, and passes
// the whole answer on.
//
// # Usage
//
//	h := forward.New(forward.Options{Names: names, View: feed.View, ...})
//	http.Serve(listener, h)
package forward

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/sprucecrank/sprucecrank/core/gateway/catalog"
	"github.com/sprucecrank/sprucecrank/core/gateway/routing"
	"github.com/sprucecrank/sprucecrank/internal/gateway/upstream"
	"github.com/sprucecrank/sprucecrank/internal/headers"
	"github.com/sprucecrank/sprucecrank/internal/telemetry"
	"github.com/sprucecrank/sprucecrank/verdict"
)

// View is what the process believes at one moment; it never changes once made.
type View struct {
	// Table is nil while no configuration is known.
	Table *routing.Table
	// Targets are the targets of each service that take new requests.
	Targets map[string][]catalog.Target
}

// Retry configures second sends.
type Retry struct {
	// Window is the span over which they are counted.
	Window time.Duration
	// Ratio is the greatest share of second sends among the requests.
	Ratio float64
}

// Options configure a Handler.
type Options struct {
	Names headers.Names
	// Hall is where this process stands.
	Hall string
	// View gives what is believed now.
	View func() *View
	// Ready is closed once enough is known to serve.
	Ready <-chan struct{}
	// StartPatience is how long a request waits for that; 0 means 200 ms.
	StartPatience time.Duration
	// Current says whether what is believed was confirmed lately.
	Current func() bool
	// Stopping says whether the process is stopping.
	Stopping func() bool
	Pool     *upstream.Pool
	Retry    Retry
	// Metrics may be nil.
	Metrics *telemetry.Gateway
	Clock   func() time.Time
	Log     *slog.Logger
	// Draw gives a uniform number in [0, 1).
	Draw func() float64
	// Explore says whether a search for a target takes no account of resting
	// connections, so that new targets are found; nil for one of four, at random.
	Explore func() bool
}

// explorePart is the part of the searches that explore.
const explorePart = 0.25

// Handler serves the clients' requests.
type Handler struct {
	options Options
	balance *balancer
	active  atomic.Int64
}

// New makes a handler.
func New(o Options) *Handler {
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.Draw == nil {
		o.Draw = rand.Float64
	}
	if o.Explore == nil {
		o.Explore = func() bool { return rand.Float64() < explorePart }
	}
	if o.StartPatience == 0 {
		o.StartPatience = startPatience
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	return &Handler{options: o, balance: newBalancer(o)}
}

// Active is how many requests are under way.
func (h *Handler) Active() int64 { return h.active.Load() }

// exchange is one request of a client on its way through the gateway.
type exchange struct {
	id       string
	in       *http.Request
	body     []byte
	route    *routing.Route
	service  string
	targets  []catalog.Target
	health   string
	began    time.Time
	deadline time.Time
	// clientDeadline is when the client stops waiting.
	clientDeadline time.Time
	sends          atomic.Int32
	avoid          []string
	waits          int
	config         uint64 // the version by which the request was handled
	sendLog        sendLog
	// mayHaveRun is set once a send ended without a promise.
	mayHaveRun bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.active.Add(1)
	defer h.active.Add(-1)
	x := &exchange{id: r.Header.Get(h.options.Names.RequestID), in: r, began: h.options.Clock()}
	if h.options.Stopping() {
		w.Header().Set("Connection", "close")
	}
	answer, failure := h.serve(w, x)
	if failure != nil {
		h.refuse(w, x, failure)
		return
	}
	h.pass(w, x, answer)
}

func (h *Handler) serve(w http.ResponseWriter, x *exchange) (*upstream.Answer, *verdict.Error) {
	h.awaitReady(x)
	view := h.options.View()
	if failure := h.prepare(view, x); failure != nil {
		return nil, failure
	}
	if failure := h.readBody(w, view.Table.Limits(), x); failure != nil {
		return nil, failure
	}
	ctx, cancel := context.WithDeadline(x.in.Context(), x.deadline)
	defer cancel()
	return h.balance.run(ctx, x)
}

// prepare finds the route, the service and the deadline of a request.
func (h *Handler) prepare(view *View, x *exchange) *verdict.Error {
	if view.Table == nil {
		return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no configuration is known yet").WithRetryAfter(notReadyPause)
	}
	x.config = view.Table.Version()
	route, ok := view.Table.Match(x.in.Host, x.in.URL.Path)
	if !ok {
		if !h.options.Current() {
			return verdict.New(verdict.NotRun, verdict.ReasonNotReady, "no route, but the configuration may be out of date").WithRetryAfter(notReadyPause)
		}
		return verdict.New(verdict.NotRun, verdict.ReasonNoService, "no route in force covers this host and path")
	}
	x.route = route
	x.service = route.Pick(h.options.Draw())
	x.targets = view.Targets[x.service]
	if service, ok := view.Table.Service(x.service); ok {
		x.health = service.HealthPath
	}
	h.setDeadlines(x)
	return nil
}

// startPatience is how long a request waits for a process that has just begun
// to learn the configuration and the targets.
const startPatience = 200 * time.Millisecond

// awaitReady waits a little for a process that has just begun.
func (h *Handler) awaitReady(x *exchange) {
	select {
	case <-h.options.Ready:
		return
	default:
	}
	timer := time.NewTimer(h.options.StartPatience)
	defer timer.Stop()
	select {
	case <-h.options.Ready:
	case <-timer.C:
	case <-x.in.Context().Done():
	}
}

// notReadyPause is when to come back to a process that knows too little.
const notReadyPause = 300 * time.Millisecond

// setDeadlines works out how long the client waits, and how long the request
// may be held: the lesser of what the client and the route allow.
func (h *Handler) setDeadlines(x *exchange) {
	most := x.route.Timeout
	if most <= 0 {
		most = defaultTimeout
	}
	x.deadline = x.began.Add(most)
	x.clientDeadline = x.deadline
	ms, err := strconv.ParseInt(x.in.Header.Get(h.options.Names.Deadline), 10, 64)
	if err != nil || ms < 0 || ms > maxDeadline.Milliseconds() {
		return
	}
	x.clientDeadline = x.began.Add(time.Duration(ms) * time.Millisecond)
	if x.clientDeadline.Before(x.deadline) {
		x.deadline = x.clientDeadline
	}
}

// maxDeadline is the longest time that a client can be believed to wait.
const maxDeadline = time.Hour

// defaultTimeout holds where neither client nor route names a time.
const defaultTimeout = 30 * time.Second

// readBody takes the body in whole, so that a slow client holds no target.
func (h *Handler) readBody(w http.ResponseWriter, limits routing.Limits, x *exchange) *verdict.Error {
	if x.in.Body == nil || x.in.Body == http.NoBody {
		return nil
	}
	most := limits.BodyBytes
	if most <= 0 {
		most = math.MaxInt64
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, x.in.Body, most))
	if err == nil {
		x.body = body
		return nil
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return verdict.New(verdict.NotRun, verdict.ReasonBodyTooLarge, "the body is larger than the limits allow")
	}
	return verdict.New(verdict.NotRun, verdict.ReasonBadRequest, "the body could not be read whole").WithCause(err)
}

// pass gives the client a target's answer.
func (h *Handler) pass(w http.ResponseWriter, x *exchange, a *upstream.Answer) {
	headers.RemoveHopByHop(a.Header)
	out := w.Header()
	for name, values := range a.Header {
		out[name] = values
	}
	out.Del(h.options.Names.Load)
	if x.in.Method != http.MethodHead {
		out.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	h.report(x, a.Status, nil)
}

// refuse gives the client an answer of the gateway's own.
func (h *Handler) refuse(w http.ResponseWriter, x *exchange, f *verdict.Error) {
	if f.Reason() == verdict.ReasonClientGone {
		h.report(x, 0, f)
		panic(http.ErrAbortHandler)
	}
	out := w.Header()
	out.Set(h.options.Names.RequestID, x.id)
	out.Set(verdict.Header, f.Verdict().String())
	if pause := f.RetryAfter(); pause > 0 {
		out.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 3, 64))
	}
	out.Set("Content-Length", "0")
	w.WriteHeader(f.Status())
	h.report(x, f.Status(), f)
}
